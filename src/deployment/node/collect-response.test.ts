import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {SystemClock} from '../../base/node/system-clock.js';
import {collectResponse} from './collect-response.js';
import {PooledConnection} from './connection-pool.js';

const codings = ['gzip, chunked', 'gzip\r\nTransfer-Encoding: chunked', 'chunked, gzip', 'gzip', 'xchunked'];

/** Makes a call to a server that responds as given and returns the outcome. */
async function callTo(t: Test, respond: (socket: Socket) => void) {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const connection = PooledConnection.create({
		serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, hall: 'a', slots: 1, isLeaving: false,
	}, SystemClock.create());
	t.teardown(() => {
		connection.dispose();
		server.close();
	});
	return collectResponse(connection, {method: 'GET', path: '/'}, new AbortController().signal);
}

/*
Guards against a body that is still encoded and passes for the server's: the HTTP client decodes no transfer coding besides chunked, and ends the body of a
response with an unknown one with its connection.
*/
t.test('a response with a transfer coding besides chunked is no complete response', async t => {
	for (const coding of codings) {
		const outcome = await callTo(t, socket => {
			socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n4\r\n\u001F\u008B\u0008a\r\n0\r\n\r\n`, 'latin1');
		});
		t.notOk(outcome.ok, coding.replace('\r\n', ', '));
	}
});

/*
Guards against a part of a response without a framing that passes for the whole one: if its last bytes and the reset of its connection arrive before they are read,
as when the event loop is busy for a moment, Node reports the reset as an orderly end.
*/
t.test('a response without a framing whose connection is reset together with its last bytes is not complete', async t => {
	for (const sizeBytes of [1, 1000, 70_000, 200_000]) {
		const reset = await callTo(t, socket => {
			socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(sizeBytes)}`);
			socket.resetAndDestroy();
		});
		t.notOk(reset.ok, `${sizeBytes} bytes`);
		const closed = await callTo(t, socket => {
			socket.end(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(sizeBytes)}`);
		});
		t.equal(closed.ok && closed.value.body.byteLength, sizeBytes);
	}
});

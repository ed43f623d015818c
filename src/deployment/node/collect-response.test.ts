import {createServer, type AddressInfo} from 'node:net';
import t from 'tap';
import {SystemClock} from '../../base/node/system-clock.js';
import {collectResponse} from './collect-response.js';
import {PooledConnection} from './connection-pool.js';

const codings = ['gzip, chunked', 'gzip\r\nTransfer-Encoding: chunked', 'chunked, gzip', 'gzip', 'xchunked'];

/*
Guards against a body that is still encoded and passes for the server's: the HTTP client decodes no transfer coding besides chunked, and ends the body of a
response with an unknown one with its connection.
*/
t.test('a response with a transfer coding besides chunked is no complete response', async t => {
	for (const coding of codings) {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n4\r\n\u001F\u008B\u0008a\r\n0\r\n\r\n`, 'latin1');
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const connection = PooledConnection.create({
			serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, hall: 'a', slots: 1, isLeaving: false,
		}, SystemClock.create());
		const outcome = await collectResponse(connection, {method: 'GET', path: '/'}, new AbortController().signal);
		t.notOk(outcome.ok, coding.replace('\r\n', ', '));
		connection.dispose();
		server.close();
	}
});

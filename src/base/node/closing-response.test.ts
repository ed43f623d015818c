import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {endResponse} from './closing-response.js';

const text = 'not run\n';
const partBytes = 20_000;

async function listen(t: Test, closesConnection: boolean): Promise<number> {
	const server = createServer((_request, response) => {
		response.shouldKeepAlive = !closesConnection;
		response.writeHead(503, {'content-length': text.length});
		endResponse(response, text);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
}

/** Sends a request in parts, reads only afterwards, and returns what was received until the connection closed. */
async function sendThenRead(port: number, bodyBytes: number, sentBytes = bodyBytes): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	socket.setEncoding('utf8').on('data', (data: string) => {
		received += data;
	});
	socket.on('error', () => undefined);
	const closed = new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
	socket.pause();
	socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
	for (let offsetBytes = 0; offsetBytes < sentBytes; offsetBytes += partBytes) {
		await sleep(5);
		socket.write(Buffer.alloc(Math.min(partBytes, sentBytes - offsetBytes)));
	}

	socket.resume();
	await closed;
	return received;
}

// A response that closes the connection before the request was read must not be lost by a reset.
t.test('a caller that sends its whole body before it reads receives a response that closes the connection', async t => {
	const port = await listen(t, true);
	for (const bodyBytes of [20_000, 55_000, 300_000]) {
		const responses = await Promise.all(Array.from({length: 10}, async () => sendThenRead(port, bodyBytes)));
		t.equal(responses.filter(response => response.startsWith('HTTP/1.1 503 ') && response.endsWith(text)).length, 10, `${bodyBytes} bytes`);
	}
});

// A caller that never sends the rest of its body must not hold its connection open.
t.test('a connection whose caller does not send the rest of its body is closed', async t => {
	const port = await listen(t, true);
	const response = await sendThenRead(port, 50_000, 20_000);
	t.ok(response.endsWith(text), 'after the complete response');
});

/** Tests a real host that receives many large bodies at once, or one in small chunks. */
import {connect, type Socket} from 'node:net';
import t from 'tap';
import {
	configOf, sendRequest, waitUntil, type RunningEntry,
} from './direct-harness.js';
import {makeFleet} from './direct-load.js';

const bodyBytes = 3 * 1024 * 1024;
/** More than the memory for bodies holds. */
const uploadCount = 25;
const smallChunks = 200_000;

/** Sends all of a request but its last bytes. */
function beginUpload({callers: {address, port}}: RunningEntry, id: string): {readonly socket: Socket; readonly answer: () => string} {
	const socket = connect(port, address);
	let answer = '';
	socket.on('data', data => {
		answer += data.toString();
	});
	socket.on('error', () => undefined);
	socket.write(`GET /look/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
	socket.write('x'.repeat(bodyBytes - 1));
	return {socket, answer: () => answer};
}

// Guards against hosts that end because the bodies of their callers fill the memory, each of them within the limit.
t.test('large bodies that do not fit into the memory of a host are refused as not run, and small ones are served', async t => {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', configOf(2, {
		reqLimits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 60_000,
		},
	}));
	await fleet.addServers('plain', 1);
	const host = await fleet.addReadyEntry();
	const uploads = Array.from({length: uploadCount}, (_, index) => beginUpload(host, `large-${index}`));
	await waitUntil(() => uploads.some(({answer}) => answer() !== ''));
	const refusals = uploads.filter(({answer}) => answer() !== '').map(({answer}) => answer());
	t.ok(refusals.every(answer => /^HTTP\/1\.1 503 [\s\S]*Retry-After: 0\.50[\s\S]*Not run: /iv.test(answer)), refusals[0]);
	t.equal((await sendRequest(host, {path: '/look/2', id: 'small', deadlineMs: 60_000})).status, 200);
	for (const {socket} of uploads) {
		socket.destroy();
	}

	const [first, ...others] = Array.from({length: 5}, (_, index) => beginUpload(host, `later-${index}`));
	first.socket.write('x');
	await waitUntil(() => first.answer().includes('\r\n\r\n'));
	t.match(first.answer(), /^HTTP\/1\.1 200 /v, 'their memory is free again');
	for (const {socket} of [first, ...others]) {
		socket.destroy();
	}
});

t.test('a body in chunks of one byte is forwarded whole', async t => {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', configOf(2, {
		reqLimits: {
			maxHeaderBytes: 16_384, maxBodyBytes: smallChunks, headerTimeoutMs: 3000, idleTimeoutMs: 60_000,
		},
	}));
	const [server] = await fleet.addServers('plain', 1);
	const host = await fleet.addReadyEntry();
	const {address, port} = host.callers;
	const socket = connect(port, address);
	let answer = '';
	socket.on('data', data => {
		answer += data.toString();
	});
	socket.write('POST /look/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: pieces\r\nDeadline-Ms: 60000\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n');
	socket.write(`${'1\r\nx\r\n'.repeat(smallChunks)}0\r\n\r\n`);
	await waitUntil(() => answer !== '');
	t.match(answer, /^HTTP\/1\.1 200 /v);
	t.equal(server.seen[0].body, 'x'.repeat(smallChunks));
	socket.destroy();
});

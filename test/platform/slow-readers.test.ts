/** Tests planned stops of hosts while callers read large responses slowly. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import t from 'tap';
import {
	DirectFleet, longTimeoutConfig, waitUntil, type RunningEntry,
} from './direct-harness.js';

const bodyBytes = 12 * 1024 * 1024;
const readerCount = 8;
/** Part of the body that a slow caller takes at once, and the time that it waits behind it. */
const partBytes = 1024 * 1024;
const pauseMs = 400;

/** Reads a response in parts, with pauses between them. @returns the number of its bytes. */
async function readSlowly({callers}: RunningEntry, id: string, onBegun: () => void): Promise<number> {
	const socket = connect({host: callers.address, port: callers.port});
	socket.on('error', () => undefined);
	socket.write(`GET /look/large HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: ${id}\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 30000\r\n\r\n`);
	let sizeBytes = 0;
	let partEndBytes = 0;
	socket.on('data', (data: Uint8Array) => {
		if (sizeBytes === 0) {
			onBegun();
		}

		sizeBytes += data.byteLength;
		if (sizeBytes >= partEndBytes) {
			partEndBytes = sizeBytes + partBytes;
			socket.pause();
			setTimeout(() => {
				socket.resume();
			}, pauseMs);
		}

		if (sizeBytes > bodyBytes) {
			socket.end();
		}
	});
	await once(socket, 'close');
	return sizeBytes;
}

/*
Guards against large responses that are cut by a planned stop: they had been handed to their sockets, and the host closed these as idle,
or exited, before they were written out.
*/
t.test('large responses that callers read slowly arrive whole when the host stops', async t => {
	const fleet = await DirectFleet.create();
	t.teardown(() => {
		fleet.dispose();
	});
	fleet.store.put('op', 'config', longTimeoutConfig(1));
	const body = Buffer.alloc(bodyBytes);
	const servers = await fleet.addServers('plain', 2);
	for (const server of servers) {
		server.responder = async (request, response) => {
			response.writeHead(200, {'attempt-id': String(request.headers['attempt-id']), 'server-stamp': 's'}).end(body);
		};
	}

	const host = await fleet.addReadyEntry({stopGraceMs: 20_000});
	let begunCount = 0;
	const reads = Array.from({length: readerCount}, async (_, index) => readSlowly(host, `s${index}`, () => {
		begunCount++;
	}));
	await waitUntil(() => begunCount === readerCount);
	const stopped = host.entry.lifecycle.stop();
	const sizes = await Promise.all(reads);
	await stopped;
	t.equal(sizes.filter(sizeBytes => sizeBytes > bodyBytes).length, readerCount);
});

import {createServer, type AddressInfo, type Server} from 'node:net';
import t from 'tap';
import {isListening} from './server-liveness.js';

const loopback = '127.0.0.1';
const timeoutMs = 20_000;

async function listen(server: Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, loopback, resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

t.test('a port listens until its server is closed', async t => {
	const server = createServer();
	const port = await listen(server);
	t.equal(await isListening(loopback, port, timeoutMs), true);
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	t.equal(await isListening(loopback, port, timeoutMs), false);
});

// Guards against whole responses that count as cut off while their server resets connections, as it has too many.
t.test('a server that resets connections once it has accepted them listens', async t => {
	const port = await listen(createServer(socket => {
		socket.resetAndDestroy();
	}));
	for (let index = 0; index < 50; index++) {
		t.equal(await isListening(loopback, port, timeoutMs), true);
	}
});

t.test('no process counts as listening once the time limit has passed', async t => {
	const port = await listen(createServer());
	const pending = isListening(loopback, port, 0);
	// Keeps the event loop busy, so that the time limit passes before the connection can be reported.
	const untilMs = performance.now() + 20;
	while (performance.now() < untilMs) {
		// Nothing to do.
	}

	t.equal(await pending, false);
});

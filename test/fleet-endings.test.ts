import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {upstreamDriverToken} from '../src/agent/common/upstream-driver.js';
import {HttpDriver} from '../src/agent/node/http-driver.js';
import {call, smallFleet, startFleet} from './fleet-harness.js';

/** Time between the bytes of a response and the end of its connection, so that the bytes are read before. */
const readMs = 30;

/** A plain service that writes bytes of the test's choice. */
type RawService = {
	readonly server: Server;
	/** Responds to one call. */
	respond: (socket: Socket) => Promise<void> | void;
	callCount: number;
};

async function startRawService(t: Test): Promise<RawService> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// Some of these connections are reset on purpose.
		});
		socket.on('data', data => {
			if (String(data).startsWith('GET /v1/state ')) {
				socket.write('HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n');
			} else {
				service.callCount++;
				void service.respond(socket);
			}
		});
	});
	const service: RawService = {
		server,
		respond(socket) {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
		},
		callCount: 0,
	};
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return service;
}

/** Starts a fleet with one plain service. */
async function startService(t: Test) {
	const service = await startRawService(t);
	const {port} = service.server.address() as AddressInfo;
	const fleet = await startFleet({
		...smallFleet,
		entries: 1,
		pools: [{
			pool: 'stock', kind: 'service', count: 1, isReporting: false,
		}],
		adjust(parts) {
			parts.register(upstreamDriverToken, {useFactory: () => HttpDriver.create(`http://127.0.0.1:${port}`)});
		},
	});
	t.teardown(() => {
		fleet.dispose();
	});
	return {service, fleet, origin: fleet.callersOrigin(0)};
}

// Guards against a caller's getting the first part of a service's response as the whole of it: the response has no length, and the reset of its connection was taken for its end.
t.test('a caller gets no part of a service\'s response as complete whose connection was reset', async t => {
	const {service, origin} = await startService(t);
	service.respond = async socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of the ans');
		await sleep(readMs);
		socket.resetAndDestroy();
	};

	t.match(await call(origin, 'services/stock/lots', {method: 'GET'}), {status: 502, body: {outcome: 'failed'}});
	const options = {body: '{}', headers: {'idempotency-key': 'reset-1', 'not-repeatable': 'true'}};
	t.match(await call(origin, 'services/stock/reservations', options), {status: 504, body: {outcome: 'unknown'}});
	const {callCount} = service;
	t.match(await call(origin, 'services/stock/reservations', options), {status: 409, body: {code: 'duplicateRequest', outcome: 'unknown'}});
	t.equal(service.callCount, callCount, 'the repeat has run nothing');
});

// Guards against a caller's getting the first part of a service's response as the whole of it when the service crashes: the kernel closes its connections in order.
t.test('a caller gets no part of a service\'s response as complete whose process has crashed', async t => {
	const {service, origin} = await startService(t);
	service.respond = async socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf of the ans');
		await sleep(readMs);
		service.server.close();
		await sleep(readMs);
		socket.end();
	};

	const options = {body: '{}', headers: {'idempotency-key': 'crash-1', 'not-repeatable': 'true'}};
	t.match(await call(origin, 'services/stock/reservations', options), {status: 504, body: {outcome: 'unknown'}});
	t.match(await call(origin, 'services/stock/reservations', options), {status: 409, body: {code: 'duplicateRequest', outcome: 'unknown'}});
	t.equal(service.callCount, 1, 'the repeat has run nothing');
});

import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {request} from 'undici';
import {upstreamDriverToken} from '../src/agent/common/upstream-driver.js';
import {HttpDriver} from '../src/agent/node/http-driver.js';
import {
	call, readEvents, readStatus, smallFleet, startFleet, waitUntil,
} from './fleet-harness.js';

/** Time between the bytes of a response and the end of its connection, so that the bytes are read before. */
const readMs = 30;
/** More than the sockets between a host and its caller buffer. */
const largeBodyBytes = 24 * 1024 * 1024;

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

/** Sends a request over a plain socket that reads nothing until the host has stopped. Returns the head of the response and the number of bytes of its body. */
async function readAfterStop(t: Test, version: '1.0' | '1.1') {
	const {service, fleet, origin} = await startService(t);
	service.respond = socket => {
		socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${largeBodyBytes}\r\n\r\n`);
		socket.write('x'.repeat(largeBodyBytes));
	};

	const {hostname, port} = new URL(origin);
	const caller = connect(Number(port), hostname);
	t.teardown(() => {
		caller.destroy();
	});
	caller.pause();
	caller.write(`GET /v1/workspaces/buyers/services/stock/lots HTTP/${version}\r\nhost: a\r\nauthorization: Bearer demo-buyers\r\ndeadline-ms: 20000\r\n\r\n`);
	await waitUntil(() => service.callCount > 0);
	await waitUntil(async () => (await readStatus(fleet, 0)).requestsInFlight === 0);
	await fleet.entries[0].lifecycle.stop();
	const received: Uint8Array[] = [];
	await new Promise<void>(resolve => {
		caller.on('data', data => {
			received.push(data);
		});
		caller.on('error', () => {
			// A reset shows as well that the response is not complete.
		});
		caller.on('close', () => {
			resolve();
		});
		caller.resume();
	});
	const bytes = Buffer.concat(received);
	const headBytes = bytes.indexOf('\r\n\r\n') + 4;
	return {head: bytes.subarray(0, headBytes).toString(), body: bytes.subarray(headBytes)};
}

/** Sends a request of HTTP/1.0. Returns the head and the body of the response. */
async function callOld(origin: string, requestLine: string, fields: string[] = []) {
	const {hostname, port} = new URL(origin);
	const caller = connect(Number(port), hostname);
	caller.write([`${requestLine} HTTP/1.0`, 'authorization: Bearer demo-buyers', ...fields, '', ''].join('\r\n'));
	const [head, body] = (await text(caller)).split('\r\n\r\n');
	return {head, body};
}

// Guards against responses to callers of HTTP/1.0 that end only with their connection: one that a stop of the host breaks off looks complete.
t.test('a caller can tell that a stop of the host has broken off its response', async t => {
	for (const version of ['1.0', '1.1'] as const) {
		const {head, body} = await readAfterStop(t, version);
		t.ok(body.byteLength < largeBodyBytes, 'the response was broken off');
		t.match(head, new RegExp(`content-length: ${largeBodyBytes}`, 'iv'));
	}
});

// Guards against single kinds of responses that are still sent without a length.
t.test('responses to a caller of HTTP/1.0 have a length, unless they have no body', async t => {
	const {service, origin} = await startService(t);
	service.respond = socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
	};

	const path = '/v1/workspaces/buyers/services/stock/reservations';
	const fields = ['content-length: 0', 'idempotency-key: old-1', 'not-repeatable: true'];
	for (const isReplay of [false, true]) {
		await waitUntil(async () => {
			const {head, body} = await callOld(origin, `POST ${path}`, fields);
			if (/idempotent-replay/iv.test(head) !== isReplay) {
				return false;
			}

			t.match(head, /content-length: 5/iv);
			t.equal(body, 'whole');
			return true;
		});
	}

	const problem = await callOld(origin, 'GET /v1/workspaces/buyers/services/nothing/x');
	t.match(problem.head, new RegExp(`content-length: ${problem.body.length}`, 'iv'));
	const health = await callOld(origin, 'GET /healthz');
	t.match(health.head, new RegExp(`content-length: ${health.body.length}`, 'iv'));
	for (const status of ['204 No Content', '304 Not Modified']) {
		service.respond = socket => {
			socket.write(`HTTP/1.1 ${status}\r\n\r\n`);
		};

		const {head} = await callOld(origin, 'GET /v1/workspaces/buyers/services/stock/lots');
		t.match(head, new RegExp(`^HTTP/1.1 ${status}`, 'v'));
		t.notMatch(head, /content-length/iv);
	}
});

// Guards against one response's ending all calls at its agent: an entry host closed the connection when it received more headers than a message may have, and received them again on each new one.
t.test('a response with more headers than are forwarded ends only its own call', async t => {
	const {service, origin} = await startService(t);
	for (const fields of ['x-a: 1\r\n'.repeat(201), `${'x'.repeat(257)}: 1\r\n`]) {
		service.respond = async socket => {
			await sleep(readMs);
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
		};

		const other = call(origin, 'services/stock/other', {body: '{}'});
		const {callCount} = service;
		await waitUntil(() => service.callCount > callCount);
		service.respond = socket => {
			socket.write(`HTTP/1.1 200 OK\r\n${fields}content-length: 5\r\n\r\nother`);
		};

		t.match(await call(origin, 'services/stock/lots', {body: '{}'}), {status: 504, body: {code: 'resultUnknown', outcome: 'unknown'}});
		t.match(await other, {status: 200, text: 'whole'});
		t.match(await call(origin, 'services/stock/lots', {method: 'GET'}), {status: 502, body: {outcome: 'failed'}});
		service.respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
		};

		t.match(await call(origin, 'services/stock/lots', {method: 'GET'}), {status: 200, text: 'whole'}, 'a later call');
	}
});

// Guards against one request's ending all calls of its host at the agents it is sent to: an agent closed the connection when it received a call that no message may have.
t.test('a request of a service that can\'t be forwarded is refused and ends no other call', async t => {
	const {service, origin} = await startService(t);
	service.respond = async socket => {
		await sleep(5 * readMs);
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
	};

	const manyHeaders = Object.fromEntries(Array.from({length: 201}, (_, index) => [`x-${index}`, '1']));
	for (const [place, path, headers] of [
		['headers', 'lots', manyHeaders],
		['headers', 'lots', {['x'.repeat(257)]: '1'}],
		['path', 'x'.repeat(8200), {}],
	] as const) {
		service.callCount = 0;
		const other = call(origin, 'services/stock/other', {method: 'GET'});
		await waitUntil(() => service.callCount > 0);
		t.match(await call(origin, `services/stock/${path}`, {method: 'GET', headers}), {status: 400, body: {code: 'badRequest', place, notRun: true}});
		t.match(await other, {status: 200, text: 'whole'});
		t.equal(service.callCount, 1, 'the other call ran once');
	}
});

// Guards against a repeat's getting other bytes than the first response had: responses are stored as text with their content type alone, so bytes that are not UTF-8 were replaced, and a content coding was lost.
t.test('a repeat gets the bytes of the first response, or what became of its request', async t => {
	const {service, origin} = await startService(t);
	const path = `${origin}/v1/workspaces/buyers/services/stock/reservations`;
	const callTwice = async (key: string, fields: string, body: Uint8Array) => {
		service.respond = socket => {
			socket.write(`HTTP/1.1 200 OK\r\n${fields}content-length: ${body.byteLength}\r\n\r\n`);
			socket.write(body);
		};

		const headers = {authorization: 'Bearer demo-buyers', 'idempotency-key': key, 'not-repeatable': 'true'};
		const send = async () => {
			const response = await request(path, {method: 'POST', headers, body: '{}'});
			return {status: response.statusCode, headers: response.headers, body: Buffer.from(await response.body.arrayBuffer())};
		};

		const first = await send();
		t.strictSame(first.body, Buffer.from(body));
		let repeat = await send();
		await waitUntil(async () => {
			repeat = await send();
			return !repeat.body.includes('requestInProgress');
		});
		return repeat;
	};

	for (const [key, fields, body] of [
		['binary', 'content-type: application/pdf\r\n', Buffer.from([0x25, 0x50, 0xFF, 0xFE, 0x80])],
		['coded', 'content-type: text/plain\r\ncontent-encoding: x-rot13\r\n', Buffer.from('jubyr')],
	] as const) {
		const repeat = await callTwice(key, fields, body);
		t.match({...repeat, body: String(repeat.body)}, {status: 409, body: /"code":"duplicateRequest".*"outcome":"completed"/v}, key);
	}

	for (const [key, fields, body] of [
		['text', 'content-type: text/plain\r\n', Buffer.from('gr\u{FC}n')],
		['byte-order-mark', 'content-type: text/plain\r\n', Buffer.from('\u{FEFF}a')],
		['identity', 'content-encoding: identity\r\n', Buffer.from('whole')],
	] as const) {
		const repeat = await callTwice(key, fields, body);
		t.match(repeat, {status: 200, headers: {'idempotent-replay': 'true'}});
		t.strictSame(repeat.body, body);
	}

	t.equal(service.callCount, 5, 'no repeat has run anything');
});

// Guards against an event stream that states its end although its agent was lost, or its host stopped, in the midst of it.
t.test('an event stream states its end only if all of its tokens have been sent', async t => {
	const fleet = await startFleet({...smallFleet, entries: 1});
	t.teardown(() => {
		fleet.dispose();
	});
	const origin = fleet.callersOrigin(0);
	const path = 'pipelines/quote/requests';
	const body = JSON.stringify({lot: 'teak-17', wish: 'planks of 40 mm'});
	const expected = String((await call(origin, path, {body, headers: {'x-request-id': 'same'}})).body.answer);

	/** Opens a stream over a plain socket, and runs an action once some of its tokens have arrived. */
	const streamUntil = async (version: '1.0' | '1.1', act: () => Promise<void> | void) => {
		const {hostname, port} = new URL(origin);
		const caller = connect(Number(port), hostname);
		caller.write([
			`POST /v1/workspaces/buyers/${path} HTTP/${version}`,
			'host: a',
			'authorization: Bearer demo-buyers',
			'accept: text/event-stream',
			'connection: close',
			'deadline-ms: 20000',
			'x-request-id: same',
			`content-length: ${body.length}`,
			'',
			body,
		].join('\r\n'));
		let received = '';
		let hasActed = false;
		await new Promise<void>(resolve => {
			caller.on('data', data => {
				received += String(data);
				if (!hasActed && received.split('event: chunk').length > 3) {
					hasActed = true;
					void act();
				}
			});
			caller.on('error', () => {
				// A reset shows as well that the stream is not complete.
			});
			caller.on('close', () => {
				resolve();
			});
		});
		t.ok(hasActed);
		return received;
	};

	const loseAgent = async () => {
		const victim = fleet.poolOf('models').find(upstream => upstream.engine!.state.batch.size > 0)!;
		victim.daemon.lifecycle.stopNow();
		await fleet.restartAgent(victim);
	};

	const resumed = await streamUntil('1.0', loseAgent);
	t.strictSame(readEvents(resumed.slice(resumed.indexOf('\r\n\r\n') + 4)), {answer: expected, last: 'end'});
	const finished = await streamUntil('1.1', async () => fleet.entries[0].lifecycle.stop());
	t.match(finished, /event: end\n/v, 'a planned stop waits for the stream');
	t.ok(finished.endsWith('0\r\n\r\n'));
});

// Guards against an end event, or a last chunk, that a host writes while it ends.
t.test('an event stream does not state its end if its host ends', async t => {
	for (const version of ['1.0', '1.1'] as const) {
		const fleet = await startFleet({...smallFleet, entries: 1});
		t.teardown(() => {
			fleet.dispose();
		});
		const {hostname, port} = new URL(fleet.callersOrigin(0));
		const caller = connect(Number(port), hostname);
		caller.write([
			`POST /v1/workspaces/buyers/pipelines/quote/requests HTTP/${version}`, 'host: a', 'authorization: Bearer demo-buyers', 'accept: text/event-stream', 'content-length: 2', '', '{}',
		].join('\r\n'));
		let received = '';
		await new Promise<void>(resolve => {
			caller.on('data', data => {
				received += String(data);
				fleet.entries[0].lifecycle.stopNow();
			});
			caller.on('error', () => {
				// A reset shows as well that the stream is not complete.
			});
			caller.on('close', () => {
				resolve();
			});
		});
		t.match(received, /event: chunk/v);
		t.notMatch(received, /event: (?:end|error)/v);
		t.notOk(received.endsWith('0\r\n\r\n'));
	}
});

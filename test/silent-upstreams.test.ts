/** Tests drivers of agents with sound upstreams that are silent for a second or so and then go on: no call ends sooner because of it. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {UpstreamDriver} from '../src/agent/common/upstream-driver.js';
import {EngineDriver} from '../src/agent/node/engine-driver.js';
import {HttpDriver} from '../src/agent/node/http-driver.js';
import type {UpstreamCall} from '../src/wire/common/messages.js';
import {writePaused, type PausePoint} from './platform/server-standin.js';
import {SilentListener} from './silent-listener.js';

const pauseMs = 1500;
/** Most of the time passes in silence, so the tests run at once. */
const atOnce = {buffered: true};
t.jobs = 8;
const points: readonly PausePoint[] = ['beforeHead', 'withinHead', 'withinBody', 'beforeClose'];
const body = 'a body of some length';
const tokens = `${JSON.stringify({index: 0, text: 'a '})}\n${JSON.stringify({index: 1, text: 'b'})}\n${JSON.stringify({isEnd: true, count: 2})}\n`;
const httpCall: UpstreamCall = {
	kind: 'http', method: 'GET', path: '/', headers: [], body: new Uint8Array(0),
};
const runCall: UpstreamCall = {kind: 'run', input: new TextEncoder().encode('{}')};
const generateCall: UpstreamCall = {
	kind: 'generate', model: 'm', prompt: new Uint8Array(0), maxTokens: 10, seed: 1, resumeOffset: 0,
};

type Upstream = {readonly driver: UpstreamDriver; readonly port: number; readonly stopListening: () => void; callCount: number};

/** Starts an upstream that answers each call in the given way. */
async function makeUpstream(t: Test, create: (origin: string) => UpstreamDriver, answer: (socket: Socket, upstream: Upstream) => Promise<void>): Promise<Upstream> {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.once('data', () => {
			upstream.callCount++;
			void answer(socket, upstream);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const upstream: Upstream = {
		driver: create(`http://127.0.0.1:${port}`),
		port,
		stopListening() {
			server.close();
		},
		callCount: 0,
	};
	t.teardown(() => {
		upstream.driver.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return upstream;
}

/** Makes one call that may run at most once, and returns how it ended and what arrived. */
async function run({driver}: Upstream, call: UpstreamCall) {
	let text = '';
	const end = await driver.run({
		type: 'dispatch', dispatchId: 'd', requestId: 'r', workspace: 'w', pipeline: 'p', stage: 's', stageIndex: 0, startWithinMs: 1000, dueInMs: 1000,
		isRepeatable: false, settingsRevision: 1, weight: 1, creditChunks: 64, call,
	}, {
		started() {
			// Only the end and the text count here.
		},
		chunk(_units, data) {
			text += new TextDecoder().decode(data);
		},
		async ready() {
			// There is always credit.
		},
	}, new AbortController().signal);
	return {state: end.state, text};
}

const kinds: ReadonlyArray<readonly [string, UpstreamCall, (origin: string) => UpstreamDriver, string, string]> = [
	['plain service', httpCall, origin => HttpDriver.create(origin), body, body],
	['worker', runCall, origin => HttpDriver.create(origin), body, body],
	['engine', generateCall, origin => EngineDriver.create(origin), tokens, 'a b'],
];

// Guards against calls that count as failed, or as unknown, because their upstream is silent for a moment.
for (const [name, call, create, sentBody, text] of kinds) {
	t.test(`a call whose upstream falls silent within its response completes (${name})`, atOnce, async t => {
		await Promise.all(points.flatMap(at => [true, false].map(async hasLength => {
			const framing = hasLength ? `Content-Length: ${sentBody.length}` : 'Connection: close';
			const upstream = await makeUpstream(t, create, async socket => {
				await writePaused(socket, `HTTP/1.1 200 OK\r\n${framing}`, sentBody, {at, ms: pauseMs});
				socket.end();
			});
			t.same(await run(upstream, call), {state: 'completed', text}, `${at}, ${framing}`);
			t.equal(upstream.callCount, 1);
		})));
	});
}

// Guards against a whole response that counts as cut off because its upstream was too silent to show that it still listens.
t.test('a response without a length is whole although its upstream accepts no connection for a moment after it', atOnce, async t => {
	const upstream = await makeUpstream(t, origin => HttpDriver.create(origin), async (socket, {port, stopListening}) => {
		socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`);
		stopListening();
		const listener = await SilentListener.create(port);
		t.teardown(async () => listener.dispose());
		socket.end();
		await sleep(pauseMs);
		listener.resume();
	});
	t.same(await run(upstream, httpCall), {state: 'completed', text: body});
});

/** Tests responses of servers that declare neither a length nor chunks, with real hosts, where a server crashes. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import t, {type Test} from 'tap';
import {
	completeStream, counterOf, longTimeoutConfig, sendRequest, streamCall, waitUntil, type CallerCall, type CallerResponse, type DirectFleet, type RunningEntry,
} from './direct-harness.js';
import {makeFleet} from './direct-load.js';
import {sendRaw} from './raw-caller.js';
import type {ServerStandin} from './server-standin.js';

const requestCount = 5;
const eventText = (first: number, last: number) => Array.from({length: last - first + 1}, (_, index) => `id: ${first + index}\ndata: event ${first + index}\n\n`).join('');

type Scene = {readonly fleet: DirectFleet; readonly servers: ServerStandin[]; readonly host: RunningEntry};

async function makeScene(t: Test, pool: string, count: number, prepare: (server: ServerStandin) => void): Promise<Scene> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	const servers = await fleet.addServers(pool, count, 5);
	for (const server of servers) {
		prepare(server);
	}

	return {fleet, servers, host: await fleet.addReadyEntry()};
}

/** Sends a request; one whose connection ends before the head of a response counts as incomplete, with status 0. */
async function send(host: Pick<RunningEntry, 'callers'>, call: CallerCall): Promise<Pick<CallerResponse, 'status' | 'isWhole' | 'text'>> {
	try {
		return await sendRequest(host, {deadlineMs: 20_000, ...call});
	} catch {
		return {status: 0, isWhole: false, text: ''};
	}
}

async function repeat<T>(act: () => Promise<T>): Promise<T[]> {
	const results: T[] = [];
	for (let index = 0; index < requestCount; index++) {
		results.push(await act());
	}

	return results;
}

const looksWhole = ({status, isWhole}: Pick<CallerResponse, 'status' | 'isWhole'>) => status === 200 && isWhole;

/** Sends one request to each of several fleets whose only server crashes, and returns what the callers received. */
async function sendToCrashing(t: Test, pool: string, call: CallerCall, prepare: (server: ServerStandin) => void) {
	return repeat(async () => {
		const {host} = await makeScene(t, pool, 1, prepare);
		const response = await send(host, call);
		return {...response, unproven: counterOf(host, `responses_unproven_total{pool="${pool}"}`)};
	});
}

// Guards against half a response that is delivered as a whole one: a server that crashes closes its connection in the same way as one that has answered.
for (const path of ['/look/1', '/book/1']) {
	t.test(`a response without a length whose server crashes is not delivered as whole (${path})`, async t => {
		const responses = await sendToCrashing(t, 'plain', {method: 'POST', path, body: 'x'}, server => {
			server.fault = 'unframedCrash';
		});
		t.equal(responses.filter(response => looksWhole(response)).length, 0, 'none looks whole');
		t.ok(responses.every(({status, unproven}) => status === 502 && unproven === 1), 'each is answered with an error, and counted');
	});
}

// Guards against the same in a response that another server can give: its caller must get the whole one.
t.test('a repeatable request whose server crashes within a response without a length is sent to another server', async t => {
	for (let index = 0; index < requestCount; index++) {
		const {servers, host} = await makeScene(t, 'plain', 2, server => {
			server.fault = 'unframedCrash';
			server.onCrash = () => {
				for (const other of servers) {
					other.fault = 'none';
				}
			};
		});
		const response = await send(host, {path: '/look/1', id: 'l1'});
		t.equal(servers.filter(({hasCrashed}) => hasCrashed).length, 1);
		t.match(response, {status: 200, isWhole: true, text: `answer of ${servers.find(({hasCrashed}) => !hasCrashed)?.serverId} to l1`});
	}
});

// Guards against a stream that lacks its last events and looks complete, whether or not its caller has received any.
for (const eventCount of [0, 2]) {
	for (const path of ['/chat/1', '/draft/1']) {
		t.test(`a stream without a length whose only server crashes after ${eventCount} events does not look complete (${path})`, async t => {
			const responses = await sendToCrashing(t, 'model', streamCall(path), server => {
				server.isUnframed = true;
				server.crashesAfterEvents = eventCount;
			});
			t.equal(responses.filter(response => looksWhole(response)).length, 0, 'none looks whole');
			t.ok(responses.every(({unproven}) => unproven === 1), 'each is counted');
			t.ok(responses.every(({status, text}) => eventCount === 0 ? status === 502 : status === 200 && text === eventText(1, eventCount)), 'an error, or the events that arrived');
		});
	}
}

// Guards against a resumable stream that is given up, or ends as complete, where another server can continue it.
for (const eventCount of [0, 2]) {
	t.test(`a resumable stream without a length whose server crashes after ${eventCount} events is continued`, async t => {
		for (let index = 0; index < requestCount; index++) {
			const {servers, host} = await makeScene(t, 'model', 2, server => {
				server.isUnframed = true;
				server.crashesAfterEvents = eventCount;
				server.onCrash = () => {
					for (const other of servers) {
						other.crashesAfterEvents = undefined;
					}
				};
			});
			t.match(await send(host, streamCall('/draft/1')), {status: 200, isWhole: true, text: completeStream});
			t.equal(servers.filter(({hasCrashed}) => hasCrashed).length, 1);
		}
	});
}

// Guards against a last chunk that asserts completeness for a continuation without a length: the stream had begun in chunks, so the host wrote it at any end.
t.test('a stream that began in chunks does not look complete if the server that continues it without a length crashes', async t => {
	const responses = await repeat(async () => {
		const {servers, host} = await makeScene(t, 'model', 2, server => {
			server.cutsStream = () => true;
		});
		const pending = send(host, streamCall('/draft/1'));
		await waitUntil(() => servers.some(server => server.seen.length > 0));
		const [, other] = servers[0].seen.length > 0 ? servers : servers.toReversed();
		other.isUnframed = true;
		other.crashesAfterEvents = 1;
		const response = await pending;
		t.equal(other.seen[0]?.headers['last-event-id'], '2');
		return response;
	});
	t.equal(responses.filter(response => looksWhole(response)).length, 0, 'none looks whole');
	t.ok(responses.every(({text}) => text.startsWith(eventText(1, 2)) && completeStream.startsWith(text)), 'no event is missing or delivered twice');
});

// Guards against whole responses that are cut off because they have no length.
t.test('a response without a length is delivered whole if its server goes on listening', async t => {
	const {host, servers: [server]} = await makeScene(t, 'plain', 1, () => undefined);
	server.fault = 'unframedClose';
	for (let index = 0; index < requestCount; index++) {
		t.match(await send(host, {method: 'POST', path: '/book/1'}), {status: 200, isWhole: true, text: 'half of it'});
	}
});

// Guards against half a stream that looks complete because the process of its server was killed: the system closes its sockets in order.
t.test('streams without a length do not look complete when the process of their server is killed', async t => {
	for (let round = 0; round < 3; round++) {
		const fleet = await makeFleet(t);
		fleet.store.put('op', 'config', longTimeoutConfig(2));
		const host = await fleet.addEntry();
		const child = spawn(process.execPath, [fileURLToPath(new URL('server-program.js', import.meta.url)), 'model-0'], {stdio: ['ignore', 'pipe', 'inherit']});
		t.teardown(() => child.kill('SIGKILL'));
		const [entry] = await once(child.stdout, 'data') as [Uint8Array];
		fleet.store.put('servers', 'model-0', JSON.parse(new TextDecoder().decode(entry)));
		await waitUntil(() => host.lines.some(line => line.includes('"model-0"')));
		const raw = Array.from({length: requestCount}, () => sendRaw(host, {path: '/chat/1'}));
		await waitUntil(() => raw.every(({text}) => text.includes('event 2')));
		child.kill('SIGKILL');
		await waitUntil(() => raw.every(({end}) => end !== 'open'));
		t.equal(raw.filter(({text}) => /transfer-encoding: chunked/iv.test(text) && !text.includes('\r\n0\r\n\r\n')).length, requestCount, 'none has a last chunk');
		t.equal(counterOf(host, 'responses_unproven_total{pool="model"}'), requestCount);
	}
});

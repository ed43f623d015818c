/**
Guards against overloading servers that are still cold. In the second after the drain of a data hall ended, all hosts sent to its idle
servers at once, since these looked best to each host, and the servers, which had just started, crashed. The hosts did not read from the store that a
server is cold and which rate it tolerates while it is cold, and each host chose as if it were the only one.
The stand-ins here crash above their rate; two hosts share all requests.
*/
import t, {type Test} from 'tap';
import {
	sendRequest, configOf, DirectFleet, streamCall, waitUntil, type RunningEntry,
} from './direct-harness.js';
import type {ServerStandin} from './server-standin.js';

const coldPerS = 4;
/** Maximum arrivals within a second: 1.5 times the rate that a cold server tolerates plus 5, the bounds of the harness. */
const maxPerS = 11;
const coldLeftMs = 600_000;

function coldConfig(version: number) {
	const config = configOf(version);
	return {
		...config,
		routes: config.routes.map(route => ({...route, timeoutMs: 60_000, goalMs: 30_000})),
		backends: config.backends.map(backend => backend.name === 'model' ? {...backend, coldStartS: 600, coldPerS} : backend),
	};
}

async function makeFleet(t: Test): Promise<DirectFleet> {
	const fleet = await DirectFleet.create();
	fleet.store.put('op', 'config', coldConfig(1));
	t.teardown(() => {
		fleet.dispose();
	});
	return fleet;
}

const isPeerConnected = ({lines}: RunningEntry) => lines.some(line => line.includes('A peer is connected.'));

/** Adds servers to the pool `model` that stay cold for the whole test and crash above the tolerated rate. */
async function addCold(fleet: DirectFleet, count: number, hall?: string): Promise<ServerStandin[]> {
	const servers = await fleet.addServers('model', count, 2, hall);
	for (const server of servers) {
		server.coldLeftMs = coldLeftMs;
		server.maxPerSecondWhileCold = maxPerS;
		fleet.store.put('servers', server.serverId, server.entry('model'));
	}

	return servers;
}

async function sendMany(entries: readonly RunningEntry[], count: number, prefix: string) {
	return Promise.all(Array.from({length: count}, async (_, index) => sendRequest(entries[index % entries.length], streamCall('/draft/x', {
		id: `${prefix}${index}`, deadlineMs: 60_000, headers: {'prompt-prefix': `${prefix}${index}a:10,bb:5`},
	}))));
}

t.test('a server that is cold', async t => {
	t.test('gets no more than it tolerates from all hosts together, though it looks best to each', async t => {
		const fleet = await makeFleet(t);
		await fleet.addServers('model', 1);
		const [cold] = await addCold(fleet, 1);
		const first = await fleet.addReadyEntry();
		const second = await fleet.addReadyEntry();
		await waitUntil(() => isPeerConnected(first) && isPeerConnected(second));
		for (const round of ['r', 's', 't']) {
			const answers = await sendMany([first, second], 30, round);
			t.ok(answers.every(({status}) => status === 200));
		}

		t.ok(cold.maxInOneSecond <= maxPerS, `${cold.maxInOneSecond} requests in a second`);
		t.notOk(cold.hasCrashed);
	});

	t.test('serves what it tolerates where all are cold; other requests are refused at once, as not run', async t => {
		const fleet = await makeFleet(t);
		const [cold] = await addCold(fleet, 1);
		const entry = await fleet.addReadyEntry();
		const answers = await sendMany([entry], 30, 'a');
		const served = answers.filter(({status}) => status === 200);
		const refused = answers.filter(({status}) => status === 503);
		t.ok(served.length >= coldPerS, `${served.length} served`);
		t.equal(served.length + refused.length, answers.length);
		t.ok(refused.length > 0);
		for (const {text, headers} of refused) {
			t.match(text, /^Not run: .*cold/v);
			t.match(headers, {'retry-after': /^[\d.]+$/v});
		}

		t.ok(cold.maxInOneSecond <= maxPerS, `${cold.maxInOneSecond} requests in a second`);
		t.notOk(cold.hasCrashed);
	});

	t.test('servers of a hall whose drain has just ended count as cold until their entries say otherwise', async t => {
		const fleet = await makeFleet(t);
		const [back] = await fleet.addServers('model', 1);
		const [other] = await fleet.addServers('model', 1, 2, 'hall-b');
		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', 'evacuate/hall-a', {});
		fleet.store.put('servers', back.serverId, back.entry('model'));
		fleet.store.remove('op', 'evacuate/hall-a');
		fleet.store.put('op', 'config', coldConfig(2));
		await waitUntil(() => entry.lines.some(line => line.includes('A new version') && line.includes('"version":2,')));
		await sendMany([entry], 60, 'b');
		t.ok(back.maxInOneSecond <= maxPerS, `${back.maxInOneSecond} requests in a second`);
		fleet.store.put('servers', back.serverId, back.entry('model'));
		fleet.store.put('servers', other.serverId, other.entry('model', 'draining'));
		await waitUntil(() => entry.lines.some(line => line.includes('"leaving"')));
		const answers = await sendMany([entry], 40, 'c');
		t.ok(answers.every(({status}) => status === 200), 'its entry says that it is warm');
	});
});

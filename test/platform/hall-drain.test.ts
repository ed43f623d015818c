/**
Guards against work that is sent to a drained data hall. Requests, their retries and hedges, pieces of their steps and releases of results
still went to its servers seconds after the drain had been confirmed to the operator, also from hosts that started during the drain: hosts
read only the declaration from the operator's table and ignored the rows of drained halls.
Here a hall is drained before a version of the declaration is written. Once that version is in force the earlier row has been read as
well, so that the tests need not wait for a fixed time.
*/
import t, {type Test} from 'tap';
import {
	sendRequest, DirectFleet, longTimeoutConfig, readinessOf, streamCall, waitUntil, type RunningEntry,
} from './direct-harness.js';
import type {ServerStandin} from './server-standin.js';

/** The drained hall is the one of the host itself, whose servers it prefers. */
const drainKey = 'evacuate/hall-a';
const otherHall = 'hall-b';

async function makeFleet(t: Test): Promise<DirectFleet> {
	const fleet = await DirectFleet.create();
	t.teardown(() => {
		fleet.dispose();
	});
	return fleet;
}

/** Writes a version of the declaration and waits until the hosts have applied it, and with it all earlier rows of the operator's table. */
async function waitForVersion(fleet: DirectFleet, entries: readonly RunningEntry[], version: number): Promise<void> {
	fleet.store.put('op', 'config', longTimeoutConfig(version));
	await waitUntil(() => entries.every(({lines}) => lines.some(line => line.includes('A new version') && line.includes(`"version":${version},`))));
}

const stagedCall = (id: string) => streamCall('/staged/x', {id, headers: {'chunk-count': '2,1', 'chunk-key': 'k'}});

/** Sends several requests of each kind and returns the statuses. */
async function sendAllKinds(entry: RunningEntry, prefix: string): Promise<number[]> {
	const calls = Array.from({length: 4}, (_, index) => [
		{path: '/look/x', id: `${prefix}l${index}`},
		{method: 'POST', path: '/book/x', id: `${prefix}b${index}`},
		streamCall('/draft/x', {id: `${prefix}d${index}`, headers: {'prompt-prefix': `aa:10,${index}b:5`}}),
		stagedCall(`${prefix}s${index}`),
	]).flat();
	const answers = await Promise.all(calls.map(async call => sendRequest(entry, {...call, deadlineMs: 60_000})));
	return answers.map(({status}) => status);
}

t.test('a drained hall', async t => {
	t.test('nothing is sent to a drained hall; all its servers are used again once the drain has ended', async t => {
		const fleet = await makeFleet(t);
		const drained: ServerStandin[] = [];
		for (const pool of ['plain', 'model', 'stage']) {
			await fleet.addServers(pool, 1, 5, otherHall);
			drained.push(...await fleet.addServers(pool, 2, 5));
		}

		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', drainKey, {});
		await waitForVersion(fleet, [entry], 2);
		const before = drained.map(({arrivedMs}) => arrivedMs.length);
		t.same(await sendAllKinds(entry, 'x'), Array.from({length: 16}, () => 200));
		t.same(drained.map(({arrivedMs}) => arrivedMs.length), before);
		fleet.store.remove('op', drainKey);
		await waitForVersion(fleet, [entry], 3);
		await waitUntil(async () => {
			await sendAllKinds(entry, `y${performance.now()}`);
			return drained.every(({arrivedMs}, index) => arrivedMs.length > before[index]);
		});
	});

	t.test('a retry is not sent to a drained hall', async t => {
		const fleet = await makeFleet(t);
		const [healthy] = await fleet.addServers('plain', 1, 2, otherHall);
		const [other] = await fleet.addServers('plain', 1);
		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', drainKey, {});
		await waitForVersion(fleet, [entry], 2);
		healthy.fault = 'error';
		t.equal((await sendRequest(entry, {path: '/look/x'})).status, 500);
		t.equal(other.arrivedMs.length, 0);
	});

	t.test('requests for a pool with servers in drained halls only are refused at once, as not run', async t => {
		const fleet = await makeFleet(t);
		await fleet.addServers('plain', 1, 2, otherHall);
		await fleet.addServers('stage', 1);
		const [model] = await fleet.addServers('model', 1);
		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', drainKey, {});
		await waitForVersion(fleet, [entry], 2);
		for (const call of [streamCall('/draft/x', {id: 'd'}), stagedCall('s')]) {
			const answer = await sendRequest(entry, call);
			t.match(answer, {status: 503, text: /^Not run: .*drained/v, headers: {'retry-after': /^[\d.]+$/v}}, call.path);
		}

		t.equal(model.arrivedMs.length, 0);
		t.equal((await sendRequest(entry, {path: '/look/x'})).status, 200, 'other pools are served');
		t.notOk(entry.lines.some(line => line.includes('"heldMs"') && line.includes('"d"')));
	});

	t.test('a request that waits for its steps is refused as not run once the hall of their pool is drained', async t => {
		const fleet = await makeFleet(t);
		const [stage] = await fleet.addServers('stage', 1);
		const [model] = await fleet.addServers('model', 1, 2, otherHall);
		const entry = await fleet.addReadyEntry();
		let openGate!: () => void;
		stage.stageGate = new Promise(resolve => {
			openGate = resolve;
		});
		const begun = sendRequest(entry, stagedCall('begun'));
		await waitUntil(() => stage.stageCalls.length > 0);
		const waiting = sendRequest(entry, {...stagedCall('waiting'), deadlineMs: 60_000});
		await waitUntil(() => entry.lines.some(line => line.includes('"waiting"') || line.includes('wait')));
		fleet.store.put('op', drainKey, {});
		t.match(await waiting, {status: 503, text: /^Not run: /v});
		t.equal(stage.stageCalls.length, 1);
		openGate();
		t.match(await begun, {status: 503}, 'its second step has no upstream either');
		t.equal(model.arrivedMs.length, 0);
		t.equal(stage.stageCalls.length, 1);
		t.equal(stage.releasedResults.length, 0, 'results are not released there either');
	});

	t.test('a host that starts while the store is unavailable gets the drained halls from a peer', async t => {
		const fleet = await makeFleet(t);
		const [healthy] = await fleet.addServers('plain', 1, 2, otherHall);
		const [drained] = await fleet.addServers('plain', 1);
		const first = await fleet.addReadyEntry();
		fleet.store.put('op', drainKey, {});
		await waitForVersion(fleet, [first], 2);
		fleet.store.mode = 'busy';
		const fresh = await fleet.addEntry();
		await waitUntil(async () => await readinessOf(fresh) === 200);
		for (let index = 0; index < 8; index++) {
			t.equal((await sendRequest(fresh, {path: '/look/x', id: `f${index}`})).status, 200);
		}

		t.equal(drained.arrivedMs.length, 0);
		t.equal(healthy.seen.length, 8);
	});

	t.test('a hall whose drain ended while the store lost its history of changes is used again', async t => {
		const fleet = await makeFleet(t);
		await fleet.addServers('plain', 1, 2, otherHall);
		const [drained] = await fleet.addServers('plain', 1);
		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', drainKey, {});
		await waitForVersion(fleet, [entry], 2);
		t.equal((await sendRequest(entry, {path: '/look/x'})).status, 200);
		t.equal(drained.arrivedMs.length, 0);
		fleet.store.mode = 'busy';
		fleet.store.remove('op', drainKey);
		fleet.store.forgetHistory();
		fleet.store.mode = 'sound';
		await waitUntil(async () => {
			await sendRequest(entry, {path: '/look/x'});
			return drained.seen.length > 0;
		});
	});

	t.test('rows that name no known hall drain nothing, and a row with a malformed value still drains its hall', async t => {
		const fleet = await makeFleet(t);
		const [healthy] = await fleet.addServers('plain', 1, 2, otherHall);
		const [drained] = await fleet.addServers('plain', 1);
		const entry = await fleet.addReadyEntry();
		fleet.store.put('op', 'evacuate/nowhere', {});
		fleet.store.put('op', 'evacuate/', {});
		fleet.store.put('op', 'evacuated', {});
		fleet.store.put('op', drainKey, ['what', 7]);
		await waitForVersion(fleet, [entry], 2);
		for (let index = 0; index < 8; index++) {
			t.equal((await sendRequest(entry, {path: '/look/x', id: `f${index}`})).status, 200);
		}

		t.equal(drained.arrivedMs.length, 0, 'the row exists, and its value does not matter');
		t.equal(healthy.seen.length, 8);
		t.equal(entry.lines.filter(line => line.includes('nowhere')).length, 1, 'one log line reports the hall without servers');
	});
});

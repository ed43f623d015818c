/**
Tests the bound on repeated sends of all hosts together, with real hosts.

Guards against more repeats than the bound allows: hosts that started again or saw no other host each took a part of the slack, or all of it, once
more. Before the fix, the scenes below counted 112 and 187 repeats where 90 were allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {RepeatBounds} from '../../src/routing/common/windowed-budget.js';
import {
	longTimeoutConfig, sendRequest, type DirectFleet, type EntrySettings, type RunningEntry,
} from './direct-harness.js';
import {addHosts, makeFleet} from './direct-load.js';
import {worstWindowOf} from './repeat-count.js';
import type {ServerStandin} from './server-standin.js';

const bounds: RepeatBounds = {ratio: 0.2, slack: 60, windowMs: 3000};
const hostCount = 5;
const serverCount = 6;
const requestsPerS = 50;
const resetShare = 0.6;
const maxAttempts = 4;
/** Each pair of hosts is killed this long after the former one. */
const pairIntervalMs = 900;

type Scene = {readonly fleet: DirectFleet; readonly servers: readonly ServerStandin[]; readonly hosts: RunningEntry[]};

async function makeScene(t: Test): Promise<Omit<Scene, 'hosts'>> {
	const fleet = await makeFleet(t);
	const config = longTimeoutConfig(2);
	fleet.store.put('op', 'config', {...config, routes: config.routes.map(route => ({...route, maxAttempts}))});
	const servers = await fleet.addServers('plain', serverCount, 5);
	for (const server of servers) {
		server.resetShare = resetShare;
	}

	return {fleet, servers};
}

const settingsOf = (index: number, more: EntrySettings = {}): EntrySettings => ({hostId: `entry-${index}`, repeats: bounds, ...more});

/** Sends requests to the hosts in turn, whichever processes they run at the time; requests to a host that is down fail. */
async function sendFor(hosts: readonly RunningEntry[], forMs: number): Promise<number[]> {
	const requestedMs: number[] = [];
	const responses: Array<Promise<unknown>> = [];
	const startMs = performance.now();
	for (let index = 0; performance.now() - startMs < forMs; index++) {
		requestedMs.push(performance.now());
		responses.push(sendRequest(hosts[index % hosts.length], {path: '/look/1', id: `r${index}@${index % hosts.length}`}).catch(() => undefined));
		await sleep(Math.max(0, startMs + ((index + 1) * 1000 / requestsPerS) - performance.now()));
	}

	await Promise.all(responses);
	return requestedMs;
}

/** Sends requests while something happens, and checks what was sent again. */
async function checkRepeats(t: Test, {servers, hosts}: Scene, forMs: number, happen: () => Promise<void> = async () => undefined): Promise<void> {
	const [requestedMs] = await Promise.all([sendFor(hosts, forMs), happen()]);
	const {repeats, allowed} = worstWindowOf({requestedMs, arrivals: servers.flatMap(({arrivedRequests}) => arrivedRequests)}, bounds);
	t.comment(`${repeats} repeats in the worst window, ${allowed.toFixed(1)} allowed`);
	t.ok(repeats <= allowed, `${repeats} repeats, allowed ${allowed.toFixed(1)}`);
	t.ok(repeats > 0, 'some requests are sent again');
}

t.test('hosts that are connected stay within the bound', async t => {
	const {fleet, servers} = await makeScene(t);
	const hosts = await addHosts(fleet, hostCount, index => settingsOf(index));
	await sleep(bounds.windowMs);
	await checkRepeats(t, {fleet, servers, hosts}, 4500);
});

t.test('hosts that are killed and start again, pair by pair, stay within the bound', async t => {
	const {fleet, servers} = await makeScene(t);
	const hosts = await addHosts(fleet, hostCount, index => settingsOf(index));
	await sleep(bounds.windowMs);
	await checkRepeats(t, {fleet, servers, hosts}, 6500, async () => {
		for (let round = 0; round < 6; round++) {
			await sleep(pairIntervalMs);
			await Promise.all([2 * round, (2 * round) + 1].map(async each => {
				const index = each % hostCount;
				hosts[index] = await fleet.restartEntry(hosts[index], settingsOf(index));
			}));
		}
	});
});

t.test('hosts that can\'t connect to each other stay within the bound', async t => {
	const {fleet, servers} = await makeScene(t);
	const hosts: RunningEntry[] = [];
	for (let index = 0; index < hostCount; index++) {
		hosts.push(await fleet.addReadyEntry(settingsOf(index, {wireSecret: `a secret of host ${index}`})));
	}

	await checkRepeats(t, {fleet, servers, hosts}, 5000);
});

/**
Tests that planned stops, reloads and changes of the declaration, in series and at once, end no request without a response.

Callers use their open connections until the process is gone. With PUMICEHATCH_SEEDS and PUMICEHATCH_SEED it plays that many seeds from that one on.
*/
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {SeededRandom, type Random} from '../../src/base/common/random.js';
import type {DirectEntrySettings} from '../../src/daemon/common/direct-settings.js';
import {
	configOf, sendRequest, waitUntil, type CallerCall, type CallerResponse, type DirectFleet, type RunningEntry,
} from './direct-harness.js';
import {
	makeFleet, plainCall, stepsCall, streamOf,
} from './direct-load.js';

const firstSeed = Number(process.env.PUMICEHATCH_SEED ?? 1);
const seedCount = Number(process.env.PUMICEHATCH_SEEDS ?? 3);
const callersPerHost = 12;
const eventCount = 30;
const stopGraceMs = 8000;
const endedMessage = 'A connection of a caller ended before a response was written out.';
const makeCalls: ReadonlyArray<(id: string) => CallerCall> = [
	plainCall, streamOf, stepsCall, id => ({
		method: 'POST', path: '/book/1', id, body: 'x'.repeat(60_000),
	}), id => ({...streamOf(id), path: '/chat/1'}),
];

/** What became of the requests of all callers. */
class Outcomes {
	readonly truncated: string[] = [];
	readonly answered = new Map<number, number>();
	lostCount = 0;

	add(id: string, {status, isWhole}: CallerResponse): void {
		this.answered.set(status, (this.answered.get(status) ?? 0) + 1);
		if (!isWhole) {
			this.truncated.push(`${id}: ${status}`);
		}
	}
}

/** Sends requests on one connection, one after the other, until the host no longer accepts it. */
async function useConnection(host: RunningEntry, name: string, random: Random, outcomes: Outcomes): Promise<void> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	for (let index = 0; ; index++) {
		const id = `${name}.${index}`;
		try {
			outcomes.add(id, await sendRequest(host, {...makeCalls[random.int(makeCalls.length)](id), agent, deadlineMs: 4000}));
			await sleep(random.int(60));
		} catch {
			// The close of an idle connection and a request may cross; the log of the host tells whether it had read the request.
			outcomes.lostCount++;
			if (host.entry.lifecycle.phase !== 'running') {
				break;
			}
		}
	}

	agent.destroy();
}

/** Returns a declaration with limits and times that vary. */
function declarationOf(version: number, random: Random): unknown {
	const config = configOf(version);
	return {
		...config,
		routes: config.routes.map(route => ({...route, timeoutMs: 5000 + random.int(1000), goalMs: 300 + random.int(500)})),
		reqLimits: {...config.reqLimits, idleTimeoutMs: 300 + random.int(4000), headerTimeoutMs: 2000 + random.int(2000)},
		tenantList: [{name: 'buyers', apiKeys: random.int(2) === 0 ? ['key-1'] : ['key-1', 'key-2'], prio: random.int(3)}],
	};
}

async function addHost(fleet: DirectFleet): Promise<RunningEntry> {
	return fleet.addReadyEntry({stopGraceMs});
}

async function play(t: Test, seed: number): Promise<void> {
	const random = SeededRandom.create(seed);
	const fleet = await makeFleet(t);
	await fleet.addServers('plain', 2, 20);
	await fleet.addServers('model', 3, 10);
	await fleet.addServers('stage', 2, 10);
	const outcomes = new Outcomes();
	const hosts: RunningEntry[] = [];
	const ended: Array<Promise<unknown>> = [];
	const begin = async () => {
		const host = await addHost(fleet);
		hosts.push(host);
		for (let index = 0; index < callersPerHost; index++) {
			ended.push(useConnection(host, `s${seed}h${hosts.length}c${index}`, SeededRandom.create((seed * 1000) + (hosts.length * 100) + index), outcomes));
		}
	};

	const runningHosts = () => hosts.filter(({entry}) => entry.lifecycle.phase === 'running');
	await begin();
	await begin();
	let version = 1;
	for (let index = 0; index < eventCount; index++) {
		await sleep(random.int(250));
		const running = runningHosts();
		const host = running[random.int(running.length)];
		const kind = random.int(10);
		if (kind === 0 && running.length > 1) {
			ended.push(host.entry.lifecycle.stop());
			if (hosts.length < 6) {
				await begin();
			}
		} else if (kind < 4) {
			host.entry.reload({seeds: hosts.map(({peers}) => peers)} as unknown as DirectEntrySettings);
		} else {
			version++;
			fleet.store.put('op', 'config', declarationOf(version, random));
		}
	}

	for (const host of runningHosts()) {
		ended.push(host.entry.lifecycle.stop());
	}

	await Promise.all(ended);
	await waitUntil(() => hosts.every(({lines}) => lines.some(line => line.includes('The entry has stopped.'))));
	const unanswered = hosts.flatMap(({lines}) => lines.filter(line => line.includes(endedMessage) && line.includes('"isRequestComplete":true')));
	t.same(unanswered, [], `seed ${seed}: no request that was read ends without a response`);
	t.same(outcomes.truncated, [], `seed ${seed}: no response is cut`);
	t.ok((outcomes.answered.get(200) ?? 0) > callersPerHost, `seed ${seed}: ${JSON.stringify(Object.fromEntries(outcomes.answered))}, ${outcomes.lostCount} without a response`);
}

// Guards against requests that are lost because a stop, a reload or a change of the declaration ends their connections.
for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
	t.test(`requests on open connections are answered while hosts stop, reload and get new declarations (seed ${seed})`, {timeout: 120_000}, async t => {
		await play(t, seed);
	});
}

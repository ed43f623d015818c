/**
Tests upstreams that refuse requests without asking for a backoff, with real hosts.

Guards against refusing upstreams that attract requests: one of four upstreams refused each request at once; in 9 s it got 358 of the sends,
and 260 of 541 callers were refused, though the other three could serve ten times the load. A refusal frees its upstream at once, so that the
selection by requests in flight and by prefill time prefers it, and a request spends two or three attempts on it; no selection considered
refusals. Before the fix, the tests below counted 250 of 312 callers served and 106 sends to the upstream in four seconds.
*/
import t, {type Test} from 'tap';
import type {RunningEntry} from './direct-harness.js';
import {
	addHosts, assertServed, load, makeLongTimeoutFleet, withLongDeadline, plainCall, stepsCall, streamOf, type MakeCall,
} from './direct-load.js';
import type {ServerStandin, RefusalPolicy} from './server-standin.js';

const hostCount = 3;
const loadMs = 5200;
const detectionMs = 1000;
const recoveryMs = 5000;
const secondLoadMs = 4000;

type Kind = {readonly what: string; readonly pool: string; readonly stepMs: number; readonly perS: number; readonly makeCall: MakeCall};

const kinds: readonly Kind[] = [
	{
		what: 'plain calls', pool: 'plain', stepMs: 60, perS: 60, makeCall: plainCall,
	},
	{
		what: 'streams', pool: 'model', stepMs: 20, perS: 40, makeCall: streamOf,
	},
	{
		what: 'steps', pool: 'stage', stepMs: 40, perS: 30, makeCall: stepsCall,
	},
];

/** Asserts that after the first second each host tries a server that refuses all requests once per second at most. The steps of a pool are batched by one host. */
function assertSeldomTried(t: Test, server: ServerStandin, {pool}: Kind, {forMs, startMs}: {readonly forMs: number; readonly startMs: number}): void {
	const sinceMs = Math.max(startMs, server.arrivedMs.find(atMs => atMs >= startMs) ?? 0) + detectionMs;
	const count = server.arrivedMs.filter(atMs => atMs > sinceMs).length;
	const maxCount = (forMs / 1000) * (pool === 'stage' ? 1 : hostCount);
	t.ok(count <= maxCount, `${server.serverId} got ${count} after the first second, allowed ${maxCount}`);
}

/** Adds four servers for each kind of request; the first ones get the given policies. */
async function makePools(t: Test, refusalPolicies: readonly RefusalPolicy[]) {
	const fleet = await makeLongTimeoutFleet(t);
	const servers = new Map<Kind, readonly ServerStandin[]>();
	for (const kind of kinds) {
		const pool = await fleet.addServers(kind.pool, 4, kind.stepMs);
		for (const [index, each] of refusalPolicies.entries()) {
			pool[index].refusalPolicy = each;
		}

		servers.set(kind, pool);
	}

	return {servers, hosts: await addHosts(fleet, hostCount)};
}

/** Loads all pools at once. */
async function loadAll(hosts: readonly RunningEntry[], forMs = loadMs) {
	return Promise.all(kinds.map(async ({makeCall, perS}) => load(hosts, withLongDeadline(makeCall), perS, forMs)));
}

t.test('an upstream that refuses does not attract requests, and no caller is refused', async t => {
	for (const share of [1, 0.5, 0.1]) {
		t.test(`one of four refuses ${share} of its requests`, async t => {
			const {servers, hosts} = await makePools(t, [{share}]);
			for (const answers of await loadAll(hosts)) {
				assertServed(t, answers);
			}

			if (share === 1) {
				for (const [kind, [refusing]] of servers) {
					assertSeldomTried(t, refusing, kind, {forMs: loadMs, startMs: 0});
				}
			}
		});
	}

	t.test('two of four refuse all; both get work again once they accept it', async t => {
		const {servers, hosts} = await makePools(t, [{share: 1}, {share: 1, retryAfter: '0'}]);
		for (const answers of await loadAll(hosts, 2000)) {
			assertServed(t, answers);
		}

		for (const server of [...servers.values()].flat()) {
			server.refusalPolicy = undefined;
		}

		await loadAll(hosts, recoveryMs - 1000);
		// Requests are distributed unevenly over healthy servers, so the others now refuse: only if the two are used again are all requests served.
		const startMs = performance.now();
		for (const pool of servers.values()) {
			for (const other of pool.slice(2)) {
				other.refusalPolicy = {share: 1};
			}
		}

		for (const answers of await loadAll(hosts, secondLoadMs)) {
			assertServed(t, answers);
		}

		for (const [kind, pool] of servers) {
			for (const other of pool.slice(2)) {
				assertSeldomTried(t, other, kind, {forMs: secondLoadMs, startMs});
			}
		}
	});
});

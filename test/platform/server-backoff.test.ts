/**
Tests upstreams that refuse requests and ask for a backoff, with real hosts.

Guards against requests during a backoff: four of 13 engines refused each request at once and asked the host for a backoff of 3 s. Each got
three or more requests from the same host in that time, and callers were refused after three such refusals, though nine engines served. Hosts
did not read the requested time, and an upstream that has refused is idle, so it looked best for the next request. Before the fix,
the tests below counted 34 plain calls, 7 streams and 20 calls of steps where 2 are allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {configOf} from './direct-harness.js';
import {
	addHosts, assertServed, atNextRequest, load, makeFleet, makeLongTimeoutFleet, withLongDeadline, plainCall, stepsCall, streamOf,
} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** Requests sent before the refusal arrived do not count. */
const graceMs = 500;
const maxDuringBackoff = 2;
/** Shorter than the other loads: steps wait while all workers are in backoff, so the steps of this load keep the workers busy for much longer than the load lasts. */
const stepsLoadMs = 2000;

function assertBackoffRespected(t: Test, server: ServerStandin): void {
	t.ok(server.refusals.length > 0, `${server.serverId} has asked for a backoff`);
	const maxCount = server.maxDuringBackoff(graceMs);
	t.ok(maxCount <= maxDuringBackoff, `${server.serverId}: ${maxCount} from one host during its backoff, allowed ${maxDuringBackoff}`);
}

t.test('an upstream that asks for a backoff', async t => {
	for (const [what, refusalPolicy] of [['all', {share: 1, retryAfter: '3'}], ['three in ten', {share: 0.3, retryAfter: '1.5'}]] as const) {
		t.test(`and refuses ${what} of its requests gets none from the same host during the backoff, for each kind of call; others serve the remaining ones`, async t => {
			const fleet = await makeLongTimeoutFleet(t);
			const pools = [await fleet.addServers('plain', 4, 20), await fleet.addServers('model', 4), await fleet.addServers('stage', 3)];
			const hosts = await addHosts(fleet, 3);
			const loads = [load(hosts, withLongDeadline(plainCall), 40), load(hosts, withLongDeadline(streamOf), 20), load(hosts, withLongDeadline(stepsCall), 10, stepsLoadMs)];
			await sleep(500);
			for (const server of pools[2]) {
				// Steps are sent to any free worker, so each of them is in backoff now and then.
				server.refusalPolicy = {...refusalPolicy, share: refusalPolicy.share / 2};
			}

			const refusing = await Promise.all(pools.map(async servers => {
				const server = await atNextRequest(servers, next => {
					next.refusalPolicy = {...refusalPolicy, share: 1};
				});
				server.refusalPolicy = refusalPolicy;
				return server;
			}));
			const answers = await Promise.all(loads);
			for (const server of new Set([...refusing, ...pools[2].filter(({refusals}) => refusals.length > 0)])) {
				assertBackoffRespected(t, server);
			}

			// All workers of the steps may be in backoff at once, so steps may fail.
			assertServed(t, answers.slice(0, 2).flat());
		});
	}

	t.test('is used again once its backoff is over', async t => {
		const fleet = await makeFleet(t);
		const [refusing, other] = await fleet.addServers('plain', 2, 20);
		refusing.refusalPolicy = {share: 1, retryAfter: '1'};
		const hosts = await addHosts(fleet, 3);
		await load(hosts, plainCall, 60, 1000);
		refusing.refusalPolicy = undefined;
		await load(hosts, plainCall, 60, 2000);
		// Requests are distributed unevenly over healthy servers. So the other server now refuses: requests are served only if this one is used.
		other.refusalPolicy = {share: 1};
		assertServed(t, await load(hosts, plainCall, 60, 1000));
	});

	t.test('causes quick refusals if all others do so as well, and is used once it accepts work again', async t => {
		const fleet = await makeFleet(t);
		const servers = await fleet.addServers('plain', 3, 20);
		for (const server of servers) {
			server.refusalPolicy = {share: 1, retryAfter: '2'};
		}

		const hosts = await addHosts(fleet, 3);
		const refused = await load(hosts, plainCall, 40, 1500);
		for (const server of servers) {
			assertBackoffRespected(t, server);
			server.refusalPolicy = undefined;
		}

		t.ok(refused.every(({status}) => status === 503));
		t.ok(refused.every(({text}) => text.startsWith('Not run: ')));
		t.ok(refused.every(({headers}) => /^[\d.]+$/v.test(String(headers['retry-after']))));
		await sleep(2500);
		assertServed(t, await load(hosts, plainCall, 40, 500));
	});

	t.test('does not keep its route from using another pool', async t => {
		const fleet = await makeFleet(t);
		const config = configOf(2);
		const trafficSplit = [{backend: 'plain', weightVal: 3}, {backend: 'spare', weightVal: 1}];
		fleet.store.put('op', 'config', {
			...config,
			routes: config.routes.map(({backend, ...route}) => route.name === 'look' ? {...route, trafficSplit} : {...route, backend}),
			backends: [...config.backends, {name: 'spare', maxConns: 50}],
		});
		const [refusing] = await fleet.addServers('plain', 1, 20);
		await fleet.addServers('spare', 1, 20);
		refusing.refusalPolicy = {share: 1, retryAfter: '60'};
		const [host] = await addHosts(fleet, 1);
		const answers = await load([host], plainCall, 40, 1000);
		t.equal(refusing.refusals.length, 1);
		t.ok(answers.filter(({status}) => status !== 200).length <= 1, 'only the caller that was refused before the backoff was known');
	});

	t.test('with a malformed value causes a log line and has no other effect', async t => {
		const fleet = await makeFleet(t);
		const malformed = ['abc', '-3', 'Wed, 21 Oct 2026 07:28:00 GMT', '', '1,2', '1e9', '0x10', 'Infinity'];
		const servers = await fleet.addServers('plain', malformed.length + 4, 20);
		for (const [index, retryAfter] of malformed.entries()) {
			servers[index].refusalPolicy = {share: 0.1, retryAfter};
		}

		const [host] = await addHosts(fleet, 1);
		const answers = await load([host], plainCall, 60, 2000);
		assertServed(t, answers);
		for (const server of servers) {
			const logged = host.lines.filter(line => line.includes('asked for a backoff that can\'t be parsed') && line.includes(`"${server.serverId}"`));
			t.equal(logged.length, Math.min(1, server.refusals.length), 'log lines of one upstream');
		}
	});

	t.test('of an extremely long time, or of none, gets exactly that', async t => {
		const fleet = await makeFleet(t);
		const [unboundedBackoff, zeroBackoff, other] = await fleet.addServers('plain', 3, 20);
		unboundedBackoff.refusalPolicy = {share: 1, retryAfter: '9'.repeat(400)};
		zeroBackoff.refusalPolicy = {share: 1, retryAfter: '0'};
		const [host] = await addHosts(fleet, 1);
		await load([host], plainCall, 40, 1500);
		// While another server accepts requests, the servers that refuse are rarely chosen. Whether a backoff is in force shows once all refuse.
		other.refusalPolicy = {share: 1};
		await load([host], plainCall, 40, 1000);
		t.equal(unboundedBackoff.refusals.length, 1);
		t.ok(zeroBackoff.refusals.length > 1);
	});
});

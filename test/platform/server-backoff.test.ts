/**
Upstreams that turn requests away and ask for rest, before real entries.

Seen: four of 13 engines refused each request at once and asked the host for 3 s of rest; each got from the same host three requests and more in that time, and
callers were refused after three such refusals, though nine engines served. Cause: nobody read the time that a refusal asks for; one that has refused has nothing to
do, and so looked best for the next request. Proof: the counts below, 34 plain calls, 7 streams and 20 calls of steps where 2 are allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {configOf} from './direct-harness.js';
import {
	addHosts, assertServed, atNextRequest, load, makeFleet, makeLongTimeoutFleet, withLongDeadline, plainCall, stepsCall, streamOf,
} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** What was under way when the answer came does not count. */
const graceMs = 500;
const maxDuringBackoff = 2;
/** Calls of steps wait while all workers rest: what comes in this time keeps them busy for much longer. */
const stepsLoadMs = 2000;

function assertBackoffRespected(t: Test, server: ServerStandin): void {
	t.ok(server.refusals.length > 0, `${server.serverId} has asked for rest`);
	const maxCount = server.maxDuringBackoff(graceMs);
	t.ok(maxCount <= maxDuringBackoff, `${server.serverId}: ${maxCount} from one host while it rests, allowed ${maxDuringBackoff}`);
}

t.test('an upstream that asks for rest', async t => {
	for (const [what, refusalPolicy] of [['all', {share: 1, retryAfter: '3'}], ['three in ten', {share: 0.3, retryAfter: '1.5'}]] as const) {
		t.test(`as it turns ${what} away is left alone by that host, for each kind of call; others serve the rest`, async t => {
			const fleet = await makeLongTimeoutFleet(t);
			const pools = [await fleet.addServers('plain', 4, 20), await fleet.addServers('model', 4), await fleet.addServers('stage', 3)];
			const hosts = await addHosts(fleet, 3);
			const loads = [load(hosts, withLongDeadline(plainCall), 40), load(hosts, withLongDeadline(streamOf), 20), load(hosts, withLongDeadline(stepsCall), 10, stepsLoadMs)];
			await sleep(500);
			for (const server of pools[2]) {
				// Steps go to any worker that is free: each of them rests now and then.
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

			// All workers of steps may rest at once.
			assertServed(t, answers.slice(0, 2).flat());
		});
	}

	t.test('is used again once its rest is over', async t => {
		const fleet = await makeFleet(t);
		const [refusing, other] = await fleet.addServers('plain', 2, 20);
		refusing.refusalPolicy = {share: 1, retryAfter: '1'};
		const hosts = await addHosts(fleet, 3);
		await load(hosts, plainCall, 60, 1000);
		refusing.refusalPolicy = undefined;
		await load(hosts, plainCall, 60, 2000);
		// How requests spread over sound servers is not even. That it is used shows where nobody else takes work.
		other.refusalPolicy = {share: 1};
		assertServed(t, await load(hosts, plainCall, 60, 1000));
	});

	t.test('beside others that all do leaves callers a quick refusal, and is used once it takes work again', async t => {
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

	t.test('leaves its route the other pool that it has', async t => {
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
		t.ok(answers.filter(({status}) => status !== 200).length <= 1, 'only the caller that was refused before the rest was known');
	});

	t.test('in words that can\'t be read costs nothing but a line', async t => {
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
			const logged = host.lines.filter(line => line.includes('asks for a rest that can\'t be read') && line.includes(`"${server.serverId}"`));
			t.equal(logged.length, Math.min(1, server.refusals.length), 'lines of one upstream');
		}
	});

	t.test('for longer than anybody can wait, or for none, is taken at its word', async t => {
		const fleet = await makeFleet(t);
		const [unboundedBackoff, zeroBackoff] = await fleet.addServers('plain', 3, 20);
		unboundedBackoff.refusalPolicy = {share: 1, retryAfter: '9'.repeat(400)};
		zeroBackoff.refusalPolicy = {share: 1, retryAfter: '0'};
		const [host] = await addHosts(fleet, 1);
		await load([host], plainCall, 40, 2500);
		t.equal(unboundedBackoff.refusals.length, 1);
		t.ok(zeroBackoff.refusals.length > 1);
	});
});

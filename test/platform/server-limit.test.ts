/**
Tests upstreams that announce a rate limit in their responses, with real hosts.

Guards against ignored limits: engines that had announced a limit of 1 request per second still got as many requests as all others, 12 to 17
in 4 s, and callers noticed nothing of it. Hosts did not read the limit; each host counts only its own requests, though the limit is for all
of them; and calls of steps checked no bound of an upstream at all, not even while it was cold. Before the fix, the tests below counted
34 to 97 in 4 s where 11 and 17 are allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	addHosts, assertServed, countServed, load, makeFleet, plainCall, stepsCall, streamOf,
} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** Span in which arrivals are counted, and the maximum number in it: 1.5 times the limit plus 5. */
const spanMs = 4000;
const maxArrivalsAt = (limitPerS: number) => (1.5 * limitPerS * (spanMs / 1000)) + 5;
/** Time after the first announcement of a limit from which all hosts apply it. */
const appliedWithinMs = 1000;

/** Maximum arrivals in any such span, from when all hosts apply the limit. */
const maxArrivalsOf = (server: ServerStandin) => server.maxWithin(spanMs, (server.arrivedMs.at(0) ?? 0) + appliedWithinMs);

function assertWithinLimit(t: Test, server: ServerStandin, limitPerS: number): void {
	const maxCount = maxArrivalsOf(server);
	t.ok(maxCount <= maxArrivalsAt(limitPerS), `${server.serverId}: ${maxCount} in 4 s, allowed ${maxArrivalsAt(limitPerS)}`);
}

t.test('an upstream that announces a limit', async t => {
	t.test('gets no more plain calls and streams than its limit allows, from all hosts together; others serve the remaining ones', async t => {
		const fleet = await makeFleet(t);
		const [plain] = await fleet.addServers('plain', 4);
		const [engine] = await fleet.addServers('model', 4);
		plain.limit = '1';
		engine.limit = '1.0';
		const hosts = await addHosts(fleet, 3);
		const [calls, streams] = await Promise.all([load(hosts, plainCall, 40), load(hosts, streamOf, 30)]);
		for (const server of [plain, engine]) {
			assertWithinLimit(t, server, 1);
			t.ok(server.arrivedMs.length > 0);
		}

		assertServed(t, [...calls, ...streams]);
	});

	t.test('gets no more calls of steps and releases than its limit allows', async t => {
		const fleet = await makeFleet(t);
		await fleet.addServers('model', 2);
		const [worker] = await fleet.addServers('stage', 3);
		worker.limit = '2';
		const answers = await load(await addHosts(fleet, 3), stepsCall, 20);
		assertWithinLimit(t, worker, 2);
		assertServed(t, answers);
	});

	t.test('gets no more if another host starts meanwhile', async t => {
		const fleet = await makeFleet(t);
		const [limited] = await fleet.addServers('model', 3);
		limited.limit = '1';
		const hosts = await addHosts(fleet, 2);
		const before = load(hosts, streamOf, 30);
		await sleep(appliedWithinMs);
		const late = await fleet.addReadyEntry();
		const after = load([late], streamOf, 30, spanMs);
		assertWithinLimit(t, limited, 1);
		assertServed(t, [...await before, ...await after]);
		assertWithinLimit(t, limited, 1);
	});

	t.test('serves up to its limit if all others have one as well; other requests are refused at once, as not run', async t => {
		const fleet = await makeFleet(t);
		const servers = await fleet.addServers('plain', 3);
		for (const server of servers) {
			server.limit = '2';
		}

		const answers = await load(await addHosts(fleet, 3), plainCall, 40);
		for (const server of servers) {
			assertWithinLimit(t, server, 2);
			t.ok(maxArrivalsOf(server) >= 4, `${maxArrivalsOf(server)} in 4 s: at least half of its limit`);
		}

		const refused = answers.filter(({status}) => status === 503);
		t.equal(countServed(answers) + refused.length, answers.length);
		t.ok(refused.length > 0);
		t.ok(refused.every(({text}) => /^Not run: .*limit/v.test(text)));
		t.ok(refused.every(({headers}) => /^[\d.]+$/v.test(String(headers['retry-after']))));
	});

	t.test('gets its typical share again once it announces no limit', async t => {
		const fleet = await makeFleet(t);
		const [limited] = await fleet.addServers('model', 2);
		limited.limit = '1';
		const hosts = await addHosts(fleet, 3);
		await load(hosts, streamOf, 30, 2000);
		t.ok(limited.arrivedMs.length < 15, `${limited.arrivedMs.length} arrivals under its limit`);
		limited.limit = undefined;
		const before = limited.arrivedMs.length;
		const isBack = () => limited.arrivedMs.length > before + 60;
		for (let round = 0; round < 15 && !isBack(); round++) {
			assertServed(t, await load(hosts, streamOf, 30, 1000));
		}

		t.ok(isBack(), 'it gets as much work as before');
	});

	t.test('that is malformed causes a log line and has no other effect', async t => {
		const fleet = await makeFleet(t);
		const servers = await fleet.addServers('plain', 9);
		const malformed = ['abc', '-3', 'NaN', '9'.repeat(400), '', '1,2', '1e999', '0x10', 'Infinity'];
		for (const [index, server] of servers.entries()) {
			server.limit = malformed[index];
		}

		const [host] = await addHosts(fleet, 1);
		const answers = await load([host], plainCall, 60, 2000);
		t.equal(countServed(answers), answers.length);
		for (const server of servers) {
			const logged = host.lines.filter(line => line.includes('announced a rate limit that can\'t be parsed') && line.includes(`"${server.serverId}"`));
			t.equal(logged.length, Math.min(1, server.arrivedMs.length), 'log lines of one upstream');
		}
	});
});

t.test('a pool whose upstreams all announce limits', async t => {
	t.test('causes no steps to run for requests that it can\'t accept', async t => {
		const fleet = await makeFleet(t);
		const engines = await fleet.addServers('model', 3);
		for (const engine of engines) {
			engine.limit = '2';
		}

		const workers = await fleet.addServers('stage', 3);
		const hosts = await addHosts(fleet, 3);
		await load(hosts, stepsCall, 24, appliedWithinMs);
		const ids: string[] = [];
		const answers = await load(hosts, id => {
			ids.push(id);
			return stepsCall(id);
		}, 24);
		const startedIds = new Set(workers.flatMap(({stageCalls}) => stageCalls.flat().map(({instanceId}) => instanceId)));
		const refusedAfterSteps = ids.filter((id, index) => answers[index].status !== 200 && startedIds.has(id));
		t.same(refusedAfterSteps, [], 'requests that were refused after their steps');
		const used = engines.reduce((sum, engine) => sum + maxArrivalsOf(engine), 0);
		t.ok(used >= 18, `${used} in 4 s, of 24 that the limits allow`);
		for (const engine of engines) {
			assertWithinLimit(t, engine, 2);
		}
	});
});

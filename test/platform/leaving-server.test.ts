/**
Upstreams that say in their answers that they leave, before real entries.

Seen: an engine had said in each of its answers for ten seconds that it leaves, and got as many requests as before, also from hosts that had
passed such answers on. Cause: no part of a host read that word; leaving was known from the store's list alone, which could not be written at
the time. Proof: the counts below, 22 plain calls, 15 streams and 73 calls of steps, where none is allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {sendRequest, streamCall, completeStream} from './direct-harness.js';
import {
	addHosts, assertServed, atNextRequest, load, makeFleet, makeLongTimeoutFleet, withLongDeadline, plainCall, stepsCall, streamOf,
} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** Nothing new reaches an upstream later than this after an answer said that it leaves. */
const leavingWithinMs = 2000;

function assertNothingMoreSent(t: Test, server: ServerStandin): void {
	const reportedMs = server.leavingReportedMs ?? Infinity;
	t.ok(reportedMs < Infinity, `${server.serverId} has said so`);
	t.equal(server.arrivedMs.filter(atMs => atMs > reportedMs + leavingWithinMs).length, 0, `calls to ${server.serverId} later than ${leavingWithinMs} ms`);
}

t.test('an upstream that says in its answers that it leaves', async t => {
	t.test('gets nothing more of any kind from any host, whatever the store\'s list says', async t => {
		const fleet = await makeLongTimeoutFleet(t);
		const pools = [await fleet.addServers('plain', 4), await fleet.addServers('model', 4), await fleet.addServers('stage', 4)];
		const hosts = await addHosts(fleet, 3);
		fleet.store.mode = 'silent';
		const loads = [load(hosts, withLongDeadline(plainCall), 30), load(hosts, withLongDeadline(streamOf), 20), load(hosts, withLongDeadline(stepsCall), 20)];
		await sleep(500);
		const leaving = await Promise.all(pools.map(async servers => atNextRequest(servers, server => {
			server.reportLeaving();
		})));
		const answers = await Promise.all(loads);
		for (const server of leaving) {
			assertNothingMoreSent(t, server);
		}

		assertServed(t, answers.flat());
	});

	t.test('goes on with what it has', async t => {
		const fleet = await makeFleet(t);
		const [engine] = await fleet.addServers('model', 1, 200);
		const [host] = await addHosts(fleet, 1);
		const begun = sendRequest(host, streamCall('/chat/1', {id: 'begun'}));
		await sleep(300);
		engine.reportLeaving();
		const [first, second] = await Promise.all([begun, sendRequest(host, streamCall('/chat/1', {id: 'told'}))]);
		t.equal(first.text, completeStream);
		t.equal(second.text, completeStream);
	});

	t.test('with all others of its pool leaves callers a quick refusal, and a new one is used as soon as it is listed', async t => {
		const fleet = await makeFleet(t);
		const [engine] = await fleet.addServers('model', 1);
		const [host] = await addHosts(fleet, 1);
		engine.reportLeaving();
		t.equal((await sendRequest(host, streamCall('/chat/1', {id: 'told'}))).status, 200);
		const refused = await sendRequest(host, streamCall('/chat/1', {id: 'refused'}));
		t.equal(refused.status, 503);
		t.match(refused.text, /^Not run: .*leav/v);
		t.match(refused.headers['retry-after'], /^[\d.]+$/v);
		const [next] = await fleet.addServers('model', 1);
		while ((await sendRequest(host, streamCall('/chat/1', {id: 'later'}))).status !== 200) {
			await sleep(20);
		}

		t.equal(next.seen.length, 1);
		t.equal(engine.seen.length, 1);
	});
});

/**
Tests upstreams that report in their responses that they are leaving, with real hosts.

Guards against requests to leaving upstreams: an engine had reported in each response for ten seconds that it was leaving and got as many
requests as before, also from hosts that had forwarded such responses. Hosts did not read that header; they learned of leaving servers only
from the store's list, which could not be written at the time. Before the fix, the tests below counted 22 plain calls, 15 streams and
73 calls of steps where none is allowed.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {sendRequest, streamCall, completeStream} from './direct-harness.js';
import {
	addHosts, assertServed, atNextRequest, load, makeFleet, makeLongTimeoutFleet, withLongDeadline, plainCall, stepsCall, streamOf,
} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** Maximum time after the first response that reports leaving in which new requests may still reach the upstream. */
const leavingWithinMs = 2000;

function assertNothingMoreSent(t: Test, server: ServerStandin): void {
	const reportedMs = server.leavingReportedMs ?? Infinity;
	t.ok(reportedMs < Infinity, `${server.serverId} has reported that it is leaving`);
	t.equal(server.arrivedMs.filter(atMs => atMs > reportedMs + leavingWithinMs).length, 0, `calls to ${server.serverId} later than ${leavingWithinMs} ms`);
}

t.test('an upstream that reports in its responses that it is leaving', async t => {
	t.test('gets no more requests of any kind from any host, whatever the store\'s list says', async t => {
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

	t.test('finishes the requests that it has', async t => {
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

	t.test('causes quick refusals if its whole pool is leaving, and a new upstream is used as soon as it is listed', async t => {
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

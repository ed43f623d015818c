/**
Tests that each way in which a request or a piece of a step arrives at its pool once more is charged to the budget of repeats, with real hosts.

Guards against repeats that nothing pays for: pieces of steps were sent again regardless of the budget. With an empty budget, none of the scenes below may send anything twice.
*/
import t, {type Test} from 'tap';
import {sendRequest, streamCall, type CallerCall} from './direct-harness.js';
import {addHosts, makeFleet, stepsCall} from './direct-load.js';
import type {Fault, ServerStandin} from './server-standin.js';

const noRepeats = {ratio: 0, slack: 0, windowMs: 1000};
const requestCount = 12;

type Scene = {
	readonly what: string;
	/** Pool whose servers have the fault. */
	readonly pool: 'plain' | 'model' | 'stage';
	readonly fault: Fault;
	readonly makeCall: (id: string) => CallerCall;
};

const scenes: readonly Scene[] = [
	{
		what: 'a retry after a lost connection', pool: 'plain', fault: 'reset', makeCall: id => ({path: '/look/1', id}),
	},
	{
		what: 'a retry after an error', pool: 'plain', fault: 'error', makeCall: id => ({path: '/look/1', id}),
	},
	{
		what: 'a retry after a refusal', pool: 'plain', fault: 'full', makeCall: id => ({path: '/book/1', id, method: 'POST'}),
	},
	{
		what: 'a hedge', pool: 'plain', fault: 'silent', makeCall: id => ({path: '/look/1', id, deadlineMs: 1500}),
	},
	{
		what: 'a stream that is resumed', pool: 'model', fault: 'cutStream', makeCall: id => streamCall('/draft/1', {id}),
	},
	{
		what: 'a stream whose server is silent', pool: 'model', fault: 'silent', makeCall: id => streamCall('/draft/1', {id, deadlineMs: 2500}),
	},
	{
		what: 'a second preparation', pool: 'model', fault: 'inputsGone', makeCall: stepsCall,
	},
	{
		what: 'a piece whose call failed', pool: 'stage', fault: 'full', makeCall: id => ({...stepsCall(id), deadlineMs: 1500}),
	},
	{
		what: 'a piece whose inputs are lost', pool: 'stage', fault: 'inputsGone', makeCall: id => ({...stepsCall(id), deadlineMs: 1500}),
	},
];

/** Returns what arrived at the servers more than once: requests by id, and pieces by request, step and number. */
function repeatedArrivals(servers: readonly ServerStandin[]): string[] {
	const arrivals = servers.flatMap(({arrivedRequests, stageArrivals}) => [
		...arrivedRequests.map(({id}) => id),
		...stageArrivals.flat().map(({instanceId, phaseName, segment}) => `${String(instanceId)} ${String(phaseName)} ${String(segment)}`),
	]);
	return arrivals.filter((arrival, index) => arrivals.indexOf(arrival) !== index);
}

async function makeScene(t: Test, {pool, fault}: Scene) {
	const fleet = await makeFleet(t);
	await fleet.addServers('plain', 3, 5);
	await fleet.addServers('model', 3, 5);
	await fleet.addServers('stage', 3, 5);
	for (const server of fleet.servers.filter(({serverId}) => serverId.startsWith(pool))) {
		server.fault = fault;
	}

	return {servers: fleet.servers, hosts: await addHosts(fleet, 2, () => ({repeats: noRepeats}))};
}

for (const scene of scenes) {
	t.test(`without budget there is no repeated send: ${scene.what}`, async t => {
		const {servers, hosts} = await makeScene(t, scene);
		await Promise.all(Array.from({length: requestCount}, async (_, index) => sendRequest(hosts[index % hosts.length], scene.makeCall(`r${index}`)).catch(() => undefined)));
		t.ok(servers.some(({arrivedRequests, stageArrivals}) => arrivedRequests.length + stageArrivals.length > 0));
		t.same(repeatedArrivals(servers), []);
	});
}

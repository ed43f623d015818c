/**
Tests hosts when the platform's load balancer gives most new connections to one of them.

Guards against a host that is sized for an even part of the callers: its parts of connections to servers, of limits by name and of repeats are those of one host among several.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {sendRequest, type CallerResponse, type RunningEntry} from './direct-harness.js';
import {
	addHosts, makeLongTimeoutFleet, plainCall, stepsCall, streamOf, withLongDeadline, type MakeCall,
} from './direct-load.js';

const hostCount = 5;
const perS = 80;
const phaseMs = 2500;
/** Minimum share served at the first attempt, relative to an even distribution. */
const minShare = 0.99;

/** Sends each request on a new connection to the host that is chosen for it. */
async function sendTo(hostOf: (index: number) => RunningEntry, makeCall: MakeCall, prefix: string): Promise<CallerResponse[]> {
	const responses: Array<Promise<CallerResponse>> = [];
	const startMs = performance.now();
	for (let index = 0; performance.now() - startMs < phaseMs; index++) {
		responses.push(sendRequest(hostOf(index), withLongDeadline(makeCall)(`${prefix}-${index}`)));
		await sleep(Math.max(0, startMs + ((index + 1) * 1000 / perS) - performance.now()));
	}

	return Promise.all(responses);
}

t.test('callers are served as before while most new connections go to one host, and then to another one', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	await fleet.addServers('plain', 3, 20);
	await fleet.addServers('model', 4, 5);
	await fleet.addServers('stage', 3, 5);
	const hosts = await addHosts(fleet, hostCount);
	const phases = [
		{prefix: 'even', hostOf: (index: number) => hosts[index % hostCount]},
		{prefix: 'first', hostOf: (index: number) => index % 10 === 0 ? hosts[3] : hosts[0]},
		{prefix: 'second', hostOf: () => hosts[1]},
	];
	for (const {prefix, hostOf} of phases) {
		const kinds = [plainCall, streamOf, stepsCall];
		const responses = (await Promise.all(kinds.map(async (makeCall, kind) => sendTo(hostOf, makeCall, `${prefix}${kind}`)))).flat();
		const served = responses.filter(({status, isWhole}) => status === 200 && isWhole).length;
		t.ok(served >= minShare * responses.length, `${prefix}: ${served} of ${responses.length} served`);
	}
});

t.test('a host accepts a thousand new connections at once and serves them', async t => {
	const fleet = await makeLongTimeoutFleet(t);
	await fleet.addServers('plain', 6, 1);
	const hosts = await addHosts(fleet, 2);
	const responses = await Promise.all(Array.from({length: 1000}, async (_, index) => sendRequest(hosts[0], withLongDeadline(plainCall)(`c${index}`)).catch(() => undefined)));
	t.equal(responses.filter(response => response !== undefined).length, 1000, 'no connection is refused or closed unread');
});

/** Steady loads of each kind of call on hosts of the users' platform. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Test} from 'tap';
import {
	ask, DirectFleet, streamCall, until, type CallerAnswer, type CallerCall, type RunningEntry,
} from './direct-harness.js';

const usualLoadMs = 5200;
/** Part of the requests that is served where other upstreams have room. */
const servedShare = 0.99;

/** Makes the request of an id. */
export type MakeCall = (id: string) => CallerCall;

export const plainCall: MakeCall = id => ({path: '/look/1', id});
export const streamOf: MakeCall = id => streamCall('/draft/1', {id, headers: {'prompt-prefix': `${id}a:10,bb:5`}});
export const stepsCall: MakeCall = id => streamCall('/staged/1', {id, headers: {'chunk-count': '2,1', 'chunk-key': `key-${id}`}});

/** Makes a fleet that ends with its test. */
export async function makeFleet(t: Test): Promise<DirectFleet> {
	const fleet = await DirectFleet.create();
	t.teardown(() => {
		fleet.dispose();
	});
	return fleet;
}

const countPeers = ({lines}: RunningEntry) => lines.filter(line => line.includes('A peer is connected.')).length;

/** Starts hosts and waits until all have met. */
export async function addHosts(fleet: DirectFleet, count: number): Promise<RunningEntry[]> {
	const hosts: RunningEntry[] = [];
	for (let index = 0; index < count; index++) {
		hosts.push(await fleet.addReadyEntry());
	}

	await until(() => hosts.every(host => countPeers(host) >= count - 1));
	return hosts;
}

/**
Sends requests to the hosts in turn, at a steady rate.
@param hosts - the hosts; the request ids end with `@` and the index of the host.
@param makeCall - makes each request.
@param perS - requests a second.
@param forMs - how long.
@returns the answers, in the order of the requests.
*/
export async function load(hosts: readonly RunningEntry[], makeCall: MakeCall, perS: number, forMs = usualLoadMs): Promise<CallerAnswer[]> {
	const answers: Array<Promise<CallerAnswer>> = [];
	const startMs = performance.now();
	for (let index = 0; performance.now() - startMs < forMs; index++) {
		const host = index % hosts.length;
		answers.push(ask(hosts[host], makeCall(`r${startMs.toFixed(0)}-${index}@${host}`)));
		await sleep(Math.max(0, startMs + ((index + 1) * 1000 / perS) - performance.now()));
	}

	return Promise.all(answers);
}

export const countServed = (answers: readonly CallerAnswer[]) => answers.filter(({status}) => status === 200).length;

/** Checks that nearly all are served. */
export function areServed(t: Test, answers: readonly CallerAnswer[]): void {
	t.ok(countServed(answers) >= servedShare * answers.length, `${countServed(answers)} of ${answers.length} are served`);
}

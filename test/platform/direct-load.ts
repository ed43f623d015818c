/** Steady loads of each kind of call on hosts of the users' platform. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Test} from 'tap';
import {
	sendRequest, DirectFleet, longTimeoutConfig, streamCall, waitUntil, type CallerResponse, type CallerCall, type RunningEntry,
} from './direct-harness.js';
import type {ServerStandin} from './server-standin.js';

const defaultLoadMs = 5200;
/** Part of the requests that is served where other upstreams have room. */
const minServedShare = 0.99;

/** Makes the request of an id. */
export type MakeCall = (id: string) => CallerCall;

export const plainCall: MakeCall = id => ({path: '/look/1', id});
export const streamOf: MakeCall = id => streamCall('/draft/1', {id, headers: {'prompt-prefix': `${id}a:10,bb:5`}});
export const stepsCall: MakeCall = id => streamCall('/staged/1', {id, headers: {'chunk-count': '2,1', 'chunk-key': `key-${id}`}});

/** Long enough for any machine. */
const longDeadlineMs = 60_000;

/**
Makes a fleet for a test of where work goes, not when: no target is missed on a slow machine.
@param t - the test, with which it ends.
*/
export async function makeLongTimeoutFleet(t: Test): Promise<DirectFleet> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	return fleet;
}

/** The same calls from callers that wait as long as it takes. */
export const withLongDeadline = (makeCall: MakeCall): MakeCall => id => ({...makeCall(id), deadlineMs: longDeadlineMs});

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

	await waitUntil(() => hosts.every(host => countPeers(host) >= count - 1));
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
export async function load(hosts: readonly RunningEntry[], makeCall: MakeCall, perS: number, forMs = defaultLoadMs): Promise<CallerResponse[]> {
	const responses: Array<Promise<CallerResponse>> = [];
	const startMs = performance.now();
	for (let index = 0; performance.now() - startMs < forMs; index++) {
		const host = index % hosts.length;
		responses.push(sendRequest(hosts[host], makeCall(`r${startMs.toFixed(0)}-${index}@${host}`)));
		await sleep(Math.max(0, startMs + ((index + 1) * 1000 / perS) - performance.now()));
	}

	return Promise.all(responses);
}

/**
Has something happen to the server that gets the next request. Sends spread unevenly over sound servers: one that is named before may get none for seconds.
@param servers - of one pool, which is under load.
@param act - done before the request is answered.
@returns the server.
*/
export async function atNextRequest(servers: readonly ServerStandin[], act: (server: ServerStandin) => void): Promise<ServerStandin> {
	return new Promise(resolve => {
		for (const server of servers) {
			server.onArrival = () => {
				for (const each of servers) {
					each.onArrival = undefined;
				}

				act(server);
				resolve(server);
			};
		}
	});
}

export const countServed = (responses: readonly CallerResponse[]) => responses.filter(({status}) => status === 200).length;

/** Checks that nearly all are served. */
export function assertServed(t: Test, responses: readonly CallerResponse[]): void {
	const unserved = responses.find(({status}) => status !== 200);
	const reason = unserved ? `; one got ${unserved.status}, ${unserved.text.slice(0, 80)}` : '';
	t.ok(countServed(responses) >= minServedShare * responses.length, `${countServed(responses)} of ${responses.length} are served${reason}`);
}

/** Constant load of each kind of request on hosts of the users' platform. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Test} from 'tap';
import {
	sendRequest, DirectFleet, longTimeoutConfig, streamCall, waitUntil, type CallerResponse, type CallerCall, type EntrySettings, type RunningEntry,
} from './direct-harness.js';
import type {ServerStandin} from './server-standin.js';

const defaultLoadMs = 5200;
/** Minimum share of requests that are served while other upstreams have free capacity. */
const minServedShare = 0.99;

/** Returns the request with the given id. */
export type MakeCall = (id: string) => CallerCall;

export const plainCall: MakeCall = id => ({path: '/look/1', id});
export const streamOf: MakeCall = id => streamCall('/draft/1', {id, headers: {'prompt-prefix': `${id}a:10,bb:5`}});
export const stepsCall: MakeCall = id => streamCall('/staged/1', {id, headers: {'chunk-count': '2,1', 'chunk-key': `key-${id}`}});

/** Long enough for slow machines. */
const longDeadlineMs = 60_000;

/**
Creates a fleet with long timeouts, for tests of where work is sent, not when: even a slow machine meets all targets.
@param t - the test; the fleet is disposed at its end.
*/
export async function makeLongTimeoutFleet(t: Test): Promise<DirectFleet> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	return fleet;
}

/** Returns the same requests with a long deadline. */
export const withLongDeadline = (makeCall: MakeCall): MakeCall => id => ({...makeCall(id), deadlineMs: longDeadlineMs});

/** Creates a fleet that is disposed at the end of the test. */
export async function makeFleet(t: Test): Promise<DirectFleet> {
	const fleet = await DirectFleet.create();
	t.teardown(() => {
		fleet.dispose();
	});
	return fleet;
}

const countPeers = ({lines}: RunningEntry) => lines.filter(line => line.includes('A peer is connected.')).length;

/** Starts hosts and waits until all are connected with each other. */
export async function addHosts(fleet: DirectFleet, count: number, settingsOf: (index: number) => EntrySettings = () => ({})): Promise<RunningEntry[]> {
	const hosts: RunningEntry[] = [];
	for (let index = 0; index < count; index++) {
		hosts.push(await fleet.addReadyEntry(settingsOf(index)));
	}

	await waitUntil(() => hosts.every(host => countPeers(host) >= count - 1));
	return hosts;
}

/**
Sends requests to the hosts in turn, at a constant rate.
@param hosts - the hosts; the request ids end with `@` and the index of the host.
@param makeCall - returns each request.
@param perS - requests per second.
@param forMs - duration of the load.
@returns the responses, in the order of the requests.
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
Runs an action on the server that gets the next request. Requests are distributed unevenly over healthy servers: one that is chosen in advance may get none for seconds.
@param servers - servers of one pool, which is under load.
@param act - called before the request is handled.
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

/** Asserts that nearly all requests were served. */
export function assertServed(t: Test, responses: readonly CallerResponse[]): void {
	const unserved = responses.find(({status}) => status !== 200);
	const reason = unserved ? `; one got ${unserved.status}, ${unserved.text.slice(0, 80)}` : '';
	t.ok(countServed(responses) >= minServedShare * responses.length, `${countServed(responses)} of ${responses.length} are served${reason}`);
}

/**
Tests a part of prompts under which model servers crash, with real hosts.

Guards against requests that crash server after server although no two of them are alike: what hosts remembered of a crash was bound to the whole content of a request, so each
crash was the first one of its content. Requests with one part of a prompt crashed 28 engines; before the fix, the scenes below sent 11 to 36 of them later than allowed.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	counterOf, longTimeoutConfig, readinessOf, sendRequest, streamCall, waitUntil, type CallerResponse, type DirectFleet, type RunningEntry,
} from './direct-harness.js';
import {addHosts, makeFleet} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

const fatalPart = 'dead';
const hostCount = 5;
const serverCount = 13;
const respawnMs = 1500;
/** Time from the fifth crash after which hosts may send this many more requests with the part. */
const contactMs = 3000;
const maxLateSends = 3;
const crashesBeforeBar = 5;
const soundPerS = 50;
const stepMs = 10;
const minSceneMs = 9500;
/** How long sound requests count: enough for the minimum number of them on a slow machine. */
const countedMs = 2500;
/** Prompts with the part: alone, first, in the middle, and last of the shared parts. The last part is the request's own. */
const fatalPrompts = [[fatalPart], [fatalPart, 'b1'], ['a1', fatalPart, 'b1'], ['a1', fatalPart]];
const soundPrompts = [['a1'], ['a1', 'b1'], ['a1', 'b2'], ['a2', 'b1'], ['b1']];

type Scene = {
	readonly path: string; readonly eventsBeforeCrash: number; readonly everyMs: number; readonly isUnframed?: boolean;
	/** Number of parts that stand before all others in each prompt. */
	readonly leadingParts?: number;
	/** Minimum share of sound requests that are whole once the part is barred. */
	readonly minWholeShare: number;
};
type Sound = {readonly sentMs: number; readonly response: CallerResponse};

const promptOf = (parts: readonly string[], own: string) => [...parts, own].map(id => `${id}:100`).join(',');
const requestOf = (path: string, parts: readonly string[], id: string) => streamCall(path, {id, body: `body ${id}`, headers: {'prompt-prefix': promptOf(parts, Buffer.from(id).toString('hex'))}});

/** Model servers that come back under a new id some time after they crashed. */
class CrashingPool {
	readonly all: ServerStandin[] = [];
	readonly crashedMs: number[] = [];
	isStopped = false;

	constructor(private readonly fleet: DirectFleet, private readonly scene: Pick<Scene, 'eventsBeforeCrash' | 'isUnframed'>) {}

	async start(count: number): Promise<void> {
		for (const server of await this.fleet.addServers('model', count, stepMs)) {
			server.crashesOnPart = fatalPart;
			server.eventsBeforeCrash = this.scene.eventsBeforeCrash;
			server.isUnframed = this.scene.isUnframed ?? false;
			server.onCrash = () => {
				this.crashedMs.push(performance.now());
				setTimeout(() => {
					if (this.isStopped) {
						return;
					}

					this.fleet.store.remove('servers', server.serverId);
					void this.start(1);
				}, respawnMs).unref();
			};

			this.all.push(server);
		}
	}

	/** Sends with the part that arrived more than `contactMs` after the fifth crash. */
	lateSends(): number {
		const fromMs = (this.crashedMs.toSorted((left, right) => left - right)[crashesBeforeBar - 1] ?? Infinity) + contactMs;
		return this.all.flatMap(({arrivedRequests}) => arrivedRequests).filter(({id, atMs}) => id.startsWith('fatal') && atMs > fromMs).length;
	}
}

async function makeScene(t: Test, scene: Pick<Scene, 'eventsBeforeCrash' | 'isUnframed'>) {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	const pool = new CrashingPool(fleet, scene);
	t.teardown(() => {
		pool.isStopped = true;
	});
	await pool.start(serverCount);
	return {fleet, pool, hosts: await addHosts(fleet, hostCount)};
}

/** Sends requests to the hosts in turn. */
async function sendEvery(hosts: readonly RunningEntry[], everyMs: number, isOver: () => boolean, makeRequest: (index: number) => ReturnType<typeof requestOf>): Promise<Sound[]> {
	const sent: Array<Promise<Sound>> = [];
	for (let index = 0; !isOver(); index++) {
		const sentMs = performance.now();
		sent.push(sendRequest(hosts[index % hosts.length], makeRequest(index)).then(response => ({sentMs, response})));
		await sleep(everyMs);
	}

	return Promise.all(sent);
}

const leadingPartsOf = ({leadingParts = 0}: Pick<Scene, 'leadingParts'>) => Array.from({length: leadingParts}, (_, index) => `c${index}`);
const sendFatal = async (hosts: readonly RunningEntry[], scene: Scene, isOver: () => boolean, prefix = 'fatal') =>
	sendEvery(hosts, scene.everyMs, isOver, index => requestOf(scene.path, [...leadingPartsOf(scene), ...fatalPrompts[index % fatalPrompts.length]], `${prefix}-${index}`));
const sendSound = async (hosts: readonly RunningEntry[], scene: Pick<Scene, 'path' | 'leadingParts'>, isOver: () => boolean) =>
	sendEvery(hosts, 1000 / soundPerS, isOver, index => requestOf(scene.path, [...leadingPartsOf(scene), ...soundPrompts[index % soundPrompts.length]], `sound-${index}`));

function checkSound(t: Test, sound: readonly Sound[], fromMs: number, minShare: number): void {
	const counted = sound.filter(({sentMs}) => sentMs >= fromMs);
	const whole = counted.filter(({response: {status, isWhole, text}}) => status === 200 && isWhole && text.includes('event 5')).length;
	t.ok(counted.length >= 20, `${counted.length} sound requests count`);
	t.ok(whole >= minShare * counted.length, `${whole} of ${counted.length} sound requests are whole`);
}

const scenes: ReadonlyArray<Scene & {readonly what: string}> = [
	{
		what: 'before the first event', path: '/draft/1', eventsBeforeCrash: 0, everyMs: 250, minWholeShare: 0.95,
	},
	{
		what: 'after two events', path: '/draft/1', eventsBeforeCrash: 2, everyMs: 250, minWholeShare: 0.95,
	},
	{
		what: 'behind 66 others', path: '/draft/1', eventsBeforeCrash: 0, everyMs: 250, leadingParts: 66, minWholeShare: 0.95,
	},
	{
		what: 'in streams that can\'t be continued', path: '/chat/1', eventsBeforeCrash: 0, everyMs: 250, minWholeShare: 0.95,
	},
	{
		what: 'in responses that end with their connection', path: '/draft/1', eventsBeforeCrash: 2, everyMs: 400, isUnframed: true, minWholeShare: 0.95,
	},
];

for (const scene of scenes) {
	t.test(`a part under which servers crash ${scene.what} is barred on all hosts, and sound requests are served`, async t => {
		const {fleet, pool, hosts} = await makeScene(t, scene);
		const startMs = performance.now();
		const soundFromMs = () => (pool.crashedMs[crashesBeforeBar - 1] ?? pool.crashedMs.at(-1) ?? startMs) + (2 * contactMs);
		const isOver = () => performance.now() > Math.max(startMs + minSceneMs, soundFromMs() + countedMs);
		const [, sound] = await Promise.all([sendFatal(hosts, scene, isOver), sendSound(hosts, scene, isOver)]);
		t.comment(`${pool.crashedMs.length} crashes, ${pool.lateSends()} late sends`);
		t.ok(pool.lateSends() <= maxLateSends, `${pool.lateSends()} sends later than allowed`);
		checkSound(t, sound, soundFromMs(), scene.minWholeShare);
		t.ok(hosts.every(host => counterOf(host, 'quarantine_partsBarred_total') > 0), 'each host has barred it');

		const late = await fleet.addEntry();
		await waitUntil(async () => await readinessOf(late) === 200);
		await sleep(500);
		const before = pool.crashedMs.length;
		const lateUntilMs = performance.now() + 1200;
		const refused = await sendFatal([late], scene, () => performance.now() > lateUntilMs, 'fatal-late');
		t.equal(pool.crashedMs.length, before, 'a host that starts later sends none');
		t.ok(refused.every(({response}) => response.status === 503 && Number(response.headers['retry-after']) > 0), 'callers are refused at once, as not run');
	});
}

t.test('servers that crash for reasons of their own bar no part', async t => {
	const scene = {path: '/draft/1'};
	const {pool, hosts} = await makeScene(t, {eventsBeforeCrash: 0});
	const untilMs = performance.now() + 8000;
	const crashAll = async () => {
		for (let count = 0; count < 25; count++) {
			await sleep(240);
			pool.all.filter(({hasCrashed}) => !hasCrashed)[count % 3]?.crash();
		}
	};

	const [sound] = await Promise.all([sendSound(hosts, scene, () => performance.now() > untilMs), crashAll()]);
	checkSound(t, sound, 0, 0.99);
	t.equal(hosts.reduce((sum, host) => sum + counterOf(host, 'quarantine_partsBarred_total'), 0), 0);
});

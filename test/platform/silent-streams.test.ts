/**
Tests streams whose servers pause for longer than a stream may be silent before it is sent to another server, with a real host.

Guards against responses that are cut, or fail, although their servers only pause: silence ended the call, and nothing else was left to continue it.
*/
import t, {type Test} from 'tap';
import {
	completeStream, configOf, DirectFleet, sendRequest, streamCall, type CallerResponse, type EntrySettings, type RunningEntry,
} from './direct-harness.js';
import type {Fault, ServerStandin} from './server-standin.js';

const pauseMs = 1500;
const requestCount = 4;
/** Longer than several pauses one after another on a loaded machine. */
const timeLimitMs = 30_000;

const routes = [{path: '/draft/', name: 'may be resumed'}, {path: '/chat/', name: 'may not be resumed'}, {path: '/staged/', name: 'has steps'}];
/** Numbers of events before the pause; the first one is before the head. */
const places = [-1, 0, 2];

type Scene = {
	readonly serverCount: number;
	/** Number of servers that pause; the others have the fault. */
	readonly pausingCount: number;
	readonly fault?: Fault;
	readonly afterEvents: number;
	readonly path: string;
	readonly settings?: EntrySettings;
};

function longConfig(version: number) {
	const config = configOf(version);
	return {...config, routes: config.routes.map(route => ({...route, timeoutMs: timeLimitMs, goalMs: 10_000}))};
}

/** Servers that pause, and a host that sends streams to them. */
type RunningScene = {readonly scene: Scene; readonly models: readonly ServerStandin[]; readonly running: RunningEntry};

async function startScene(t: Test, scene: Scene): Promise<RunningScene> {
	const fleet = await DirectFleet.create();
	t.teardown(() => {
		fleet.dispose();
	});
	fleet.store.put('op', 'config', longConfig(2));
	await fleet.addServers('stage', 2);
	const models = await fleet.addServers('model', scene.serverCount);
	for (const [index, model] of models.entries()) {
		if (index < scene.pausingCount) {
			model.streamPause = {afterEvents: scene.afterEvents, ms: pauseMs};
		} else {
			model.fault = scene.fault ?? 'none';
		}
	}

	return {scene, models, running: await fleet.addReadyEntry(scene.settings)};
}

async function readStreams({scene: {path}, running}: RunningScene): Promise<CallerResponse[]> {
	return Promise.all(Array.from({length: requestCount}, async (_, index) => sendRequest(running, streamCall(`${path}${index}`, {
		id: `silent-${index}`, deadlineMs: timeLimitMs, headers: {'chunk-count': '1,1', 'chunk-key': `key-${index}`, 'prompt-prefix': `p${index}:10`},
	}))));
}

/** Sends streams in all scenes at the same time, and checks that each is whole. */
async function checkScenes(t: Test, scenes: readonly Scene[]): Promise<RunningScene[]> {
	const started: RunningScene[] = [];
	for (const scene of scenes) {
		started.push(await startScene(t, scene));
	}

	await Promise.all(started.map(async running => {
		checkWhole(t, await readStreams(running), JSON.stringify(running.scene));
	}));
	return started;
}

function checkWhole(t: Test, responses: readonly CallerResponse[], message: string): void {
	t.same(responses.map(({status, text, isWhole}) => ({status, text, isWhole})), responses.map(() => ({status: 200, text: completeStream, isWhole: true})), message);
}

for (const {path, name} of routes) {
	t.test(`a stream that ${name} is whole although its servers pause`, async t => {
		await checkScenes(t, places.flatMap(afterEvents => [1, 2, 3].map(serverCount => ({
			serverCount, pausingCount: serverCount, afterEvents, path,
		}))));
	});
}

t.test('a stream is whole although its server pauses and no repeat is left', async t => {
	const scenes = await checkScenes(t, ['/draft/', '/staged/'].flatMap(path => places.map(afterEvents => ({
		serverCount: 2, pausingCount: 2, afterEvents, path, settings: {repeats: {ratio: 0, slack: 0, windowMs: 10_000}},
	}))));
	for (const {scene, models} of scenes) {
		t.equal(models.flatMap(({seen}) => seen).length, requestCount, `${JSON.stringify(scene)}: nothing is sent again`);
	}
});

t.test('a stream is whole although one of its servers pauses and the other one refuses, fails or breaks off', async t => {
	await checkScenes(t, (['full', 'cutStream', 'error', 'reset'] as const).flatMap(fault => ['/draft/', '/staged/'].map(path => ({
		serverCount: 2, pausingCount: 1, fault, afterEvents: 2, path,
	}))));
});

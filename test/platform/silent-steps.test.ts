/** Tests sound servers of steps that are silent for a second or so and then go on, with real hosts: no step is computed twice, or by nobody, because of it. */
import t, {type Test} from 'tap';
import {
	completeStream, longTimeoutConfig, sendRequest, streamCall, waitUntil, type EntrySettings, type RunningEntry,
} from './direct-harness.js';
import {makeFleet} from './direct-load.js';
import type {PausePoint, ServerStandin} from './server-standin.js';

const pauseMs = 1500;
const deadlineMs = 30_000;
const noRepeats: EntrySettings = {repeats: {ratio: 0, slack: 0, windowMs: 10_000}};

type StageScene = {readonly host: RunningEntry; readonly stages: readonly ServerStandin[]};

async function makeStageScene(t: Test, stageCount: number, settings?: EntrySettings): Promise<StageScene> {
	const fleet = await makeFleet(t);
	fleet.store.put('op', 'config', longTimeoutConfig(2));
	await fleet.addServers('model', 1);
	const stages = await fleet.addServers('stage', stageCount);
	return {stages, host: await fleet.addReadyEntry(settings)};
}

const stagedCall = (id: string) => streamCall('/staged/1', {id, deadlineMs, headers: {'chunk-count': '1,1', 'chunk-key': `key-${id}`}});
/** Names the pieces that servers have received, in order: the request, the step and the piece. */
const piecesAt = (servers: readonly ServerStandin[]) => servers.flatMap(({stageCalls}) => stageCalls.flat().map(({instanceId, phaseName, segment}) => [instanceId, phaseName, segment].join(' ')));

const silences: ReadonlyArray<readonly [PausePoint, EntrySettings]> = [['beforeHead', {}], ['withinHead', {}], ['withinBody', {}], ['beforeHead', noRepeats]];
for (const [at, settings] of silences) {
	// Guards against calls of steps that are ended because their server is silent, and whose pieces are then computed again, or by nobody.
	t.test(`a step whose only server falls silent is computed once (${at}, ${settings === noRepeats ? 'without' : 'with'} a budget of repeats)`, async t => {
		const {host, stages} = await makeStageScene(t, 1, settings);
		stages[0].stagePause = {at, ms: pauseMs};
		const first = sendRequest(host, stagedCall('s1'));
		await waitUntil(() => piecesAt(stages).length > 0);
		for (const response of await Promise.all([first, sendRequest(host, stagedCall('s2'))])) {
			t.match(response, {status: 200, isWhole: true, text: completeStream});
		}

		t.same(piecesAt(stages).toSorted(), ['s1 0 0', 's1 1 0', 's2 0 0', 's2 1 0']);
	});
}

// Guards against a request that waits for a silent server while another one could compute its step.
t.test('a step whose server falls silent is computed by another server as well, and the call to the first one ends', async t => {
	const {host, stages} = await makeStageScene(t, 2);
	const silent: ServerStandin[] = [];
	for (const stage of stages) {
		stage.onArrival = () => {
			if (silent.length === 0) {
				silent.push(stage);
				stage.stageGate = new Promise(() => {
					// Never resolved.
				});
			}
		};
	}

	t.match(await sendRequest(host, stagedCall('s1')), {status: 200, isWhole: true, text: completeStream});
	t.same(piecesAt(silent), ['s1 0 0']);
	t.same(piecesAt(stages.filter(stage => !silent.includes(stage))), ['s1 0 0', 's1 1 0']);
	await waitUntil(() => silent[0].closedEarlyCount > 0);
});

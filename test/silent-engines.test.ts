/**
Tests streams and single responses of engines that pause for longer than the silence limit of their stage, behind real agents.

Guards against requests that are cut, or fail, although their engines only pause: silence ended the attempt, and nothing else was left.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {
	call, readEvents, smallFleet, startFleet, waitUntil,
} from './fleet-harness.js';

const quotePath = 'pipelines/quote/requests';
const body = JSON.stringify({lot: 'teak-17', customer: 'a builder in Banjul', wish: 'planks of 40 mm, dry, delivered to the yard next week'});
/** Longer than all attempts at the generating stage could be silent one after another. */
const pauseMs = 3200;

for (const engineCount of [1, 3]) {
	t.test(`requests are answered completely although their engines pause: ${engineCount}`, async t => {
		const fleet = await startFleet({...smallFleet, pools: smallFleet.pools.map(pool => pool.pool === 'models' ? {...pool, count: engineCount} : pool)});
		t.teardown(() => {
			fleet.dispose();
		});
		const engines = fleet.poolOf('models').map(({engine}) => engine!);
		const tokenCount = () => engines.reduce((sum, engine) => sum + engine.tokenCount, 0);
		const pauseAll = (isPaused: boolean) => {
			for (const {faults} of engines) {
				faults.isPaused = isPaused;
			}
		};

		const headers = {'x-request-id': 'paused', 'deadline-ms': '20000'};
		const origin = fleet.callersOrigin(0);
		const expected = await call(origin, quotePath, {body, headers});
		t.equal(expected.body.outcome, 'completed');
		for (const {faults} of engines) {
			faults.slowFactor = 3;
		}

		for (const beforeTokens of [0, 7]) {
			const countBefore = tokenCount();
			const startedBefore = engines.flatMap(({startedIds}) => startedIds).length;
			pauseAll(beforeTokens === 0);
			const streamed = call(origin, quotePath, {body, headers: {...headers, accept: 'text/event-stream'}});
			const single = call(origin, quotePath, {body, headers});
			await waitUntil(() => engines.flatMap(({startedIds}) => startedIds).length >= startedBefore + 2 && tokenCount() >= countBefore + beforeTokens);
			pauseAll(true);
			await sleep(pauseMs);
			pauseAll(false);
			t.strictSame(readEvents((await streamed).text), {answer: expected.body.answer, last: 'end'}, `a stream, after ${beforeTokens} tokens`);
			t.match((await single).body, {outcome: 'completed', answer: expected.body.answer}, `a single response, after ${beforeTokens} tokens`);
		}
	});
}

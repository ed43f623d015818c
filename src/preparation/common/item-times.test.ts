/**
Guards against a capacity that is derived from declared item times alone: where some steps take a third of the declared time,
a pool that counts all pieces as equal underestimates what it can do by a third.
*/
import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import {SeededRandom} from '../../base/common/random.js';
import {ItemTimes} from './item-times.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 12, callMs: 200, itemMs: 14, roomBytes: 1e9, resultTtlMs: 4000,
};
const actualFactors: Readonly<Record<string, number>> = {query: 0.3, draft: 1, report: 1.4};

/** Finishes calls of random mixes; each takes `slowness` times its actual duration, with a deviation of up to a tenth. */
function finishCalls(times: ItemTimes, count: number, slowness: number, random = SeededRandom.create(1)): void {
	for (let index = 0; index < count; index++) {
		const counts = new Map<string, number>();
		const size = 1 + random.int(capacity.batchSize);
		for (let piece = 0; piece < size; piece++) {
			const key = Object.keys(actualFactors)[random.int(3)];
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}

		const tookMs = [...counts].reduce((sum, [key, pieces]) => sum + (pieces * capacity.itemMs * actualFactors[key]), capacity.callMs);
		times.recordCall(counts, tookMs * slowness * (0.9 + (random.next() / 5)), slowness, capacity);
	}
}

t.test('the declared time is the first estimate', async t => {
	const times = ItemTimes.create();
	t.equal(times.itemMs('query', capacity), 14);
	t.equal(times.serverMs('query', capacity), (200 / 12) + 14);
	t.equal(times.expectedCallMs(new Map([['query', 2], ['draft', 3]]), capacity), 270);
	t.equal(times.expectedCallMs(new Map(), capacity), 200);
});

t.test('steps that share calls are told apart within a few seconds of calls', async t => {
	// Pool 1 of the example load finishes about 33 calls per second.
	const times = ItemTimes.create();
	finishCalls(times, 200, 1);
	for (const [key, factor] of Object.entries(actualFactors)) {
		const learned = times.itemMs(key, capacity) / capacity.itemMs;
		t.ok(Math.abs(learned - factor) < 0.15, `${key}: ${learned}`);
	}

	const full = new Map([['query', 12]]);
	const callMs = times.expectedCallMs(full, capacity);
	t.ok(Math.abs(callMs - 250.4) < 25, `full call of queries: ${callMs}`);
});

t.test('a slow upstream does not make items appear long', async t => {
	const times = ItemTimes.create();
	finishCalls(times, 200, 3);
	for (const [key, factor] of Object.entries(actualFactors)) {
		const learned = times.itemMs(key, capacity) / capacity.itemMs;
		t.ok(Math.abs(learned - factor) < 0.15, `${key}: ${learned}`);
	}
});

t.test('an upstream that is faster than expected teaches the shorter time', async t => {
	const times = ItemTimes.create();
	for (let call = 0; call < 100; call++) {
		times.recordCall(new Map([['query', 12]]), 250.4, 250.4 / 368, capacity);
	}

	t.ok(Math.abs(times.itemMs('query', capacity) - 4.2) < 0.1, `${times.itemMs('query', capacity)}`);
});

t.test('one call that stalls changes little, and learned times stay within their bounds', async t => {
	const times = ItemTimes.create();
	times.recordCall(new Map([['query', 12]]), 60_000, 1, capacity);
	const afterStallMs = times.itemMs('query', capacity);
	t.ok(afterStallMs > 14 && afterStallMs < 14 * 1.2, `${afterStallMs}`);
	for (let call = 0; call < 200; call++) {
		times.recordCall(new Map([['long', 12]]), 60_000, 1, capacity);
		times.recordCall(new Map([['short', 12]]), 1, 1, capacity);
	}

	t.equal(times.itemMs('long', capacity), 4 * 14);
	t.equal(times.itemMs('short', capacity), 0.05 * 14);
});

t.test('a call of one piece teaches little about it', async t => {
	const times = ItemTimes.create();
	times.recordCall(new Map([['query', 1]]), 260, 1, capacity);
	t.ok(Math.abs(times.itemMs('query', capacity) - 14) < 0.3, `${times.itemMs('query', capacity)}`);
});

t.test('pieces without a step key keep the declared time, and their part of an error is not attributed to others', async t => {
	const alone = ItemTimes.create();
	const mixed = ItemTimes.create();
	alone.recordCall(new Map([['query', 6]]), 326, 1, capacity);
	mixed.recordCall(new Map<string | undefined, number>([['query', 6], [undefined, 6]]), 410, 1, capacity);
	t.equal(mixed.itemMs(undefined, capacity), 14);
	t.ok(mixed.itemMs('query', capacity) > 14);
	t.ok(mixed.itemMs('query', capacity) < alone.itemMs('query', capacity));
});

t.test('calls without usable figures change nothing', async t => {
	const times = ItemTimes.create();
	times.recordCall(new Map([['query', 12]]), Number.NaN, 1, capacity);
	times.recordCall(new Map([['query', 12]]), 100, Number.NaN, capacity);
	times.recordCall(new Map(), 100, 1, capacity);
	times.recordCall(new Map([['query', 0]]), 100, 1, capacity);
	times.recordCall(new Map([['query', 12]]), 900, 1, {...capacity, itemMs: 0});
	t.equal(times.itemMs('query', capacity), 14);
});

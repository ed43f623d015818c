/** Guards the differences between a scheduled pool and all others, and the state that quotes are calculated from. */
import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import {ItemTimes} from './item-times.js';
import type {ItemDurations} from './quotes.js';
import {ContentionPolicy} from './scheduling-policy.js';
import {pieceFailures, type BatchWork, type PieceOutcome} from './work.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 4, callMs: 100, itemMs: 10, roomBytes: 1000, resultTtlMs: 4000,
};
const servers: UpstreamServer[] = ['s', 't'].map(serverId => ({
	serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
}));
const [server] = servers;

function workOf(workId: string, pieceCount: number, changes: Partial<BatchWork> = {}): BatchWork {
	return {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: pieceCount}, (_, piece) => piece), inputs: undefined,
		resultBytes: 10, rank: 0, dueMs: 500, lateDueMs: 2000, deadlineMs: 5000, hall: '', crossingBytes: 0, stepKey: 'a', workspace: 'w', ...changes,
	};
}

function createScheduler(isScheduled = () => true, itemDurations = ItemTimes.create()): BatchScheduler {
	return BatchScheduler.create({scheduled: {isScheduled, itemDurations}});
}

const namesOf = (call: BatchCall) => call.pieces.map(({work, piece}) => `${work.workId}${piece}`).join(' ');
/** Outcomes of a call of which only the first pieces found space. */
const outcomesOf = (call: BatchCall, stored = call.pieces.length) => call.pieces.map((_, index): PieceOutcome =>
	index < stored ? {ok: true, ref: {handle: `${call.callId}-${index}`, serverId: call.server.serverId}} : {ok: false, reason: pieceFailures.noRoom});

t.test('an upstream that refused a large result still gets small ones if the pool is scheduled', async t => {
	for (const isScheduled of [true, false]) {
		const scheduler = createScheduler(() => isScheduled);
		scheduler.add(workOf('big', 4, {resultBytes: 200}), 0);
		const [first] = scheduler.nextCalls([server], capacity, 0);
		scheduler.completeCall(first, outcomesOf(first, 1), capacity, 140);
		scheduler.add(workOf('small', 2), 140);
		t.same(scheduler.nextCalls([server], capacity, 145).map(call => namesOf(call)), isScheduled ? ['small0 small1'] : []);
	}
});

t.test('small results go in a call while a large one that does not fit waits', async t => {
	const scheduler = createScheduler();
	scheduler.add(workOf('big', 1, {resultBytes: 960, dueMs: 100}), 0);
	scheduler.add(workOf('small', 2), 0);
	t.equal(namesOf(scheduler.nextCalls([server], capacity, 0)[0]), 'small0 small1');
	t.same(scheduler.nextCalls(servers, capacity, 0), [], 'no call whose results find no space');
});

t.test('pieces of canceled work in a call that fails are not sent again in a scheduled pool', async t => {
	for (const isScheduled of [true, false]) {
		const scheduler = createScheduler(() => isScheduled);
		scheduler.add(workOf('gone', 2), 0);
		scheduler.add(workOf('live', 2), 0);
		const [call] = scheduler.nextCalls([server], capacity, 0);
		scheduler.cancel('gone');
		scheduler.failCall(call, 'unreachable', 10);
		t.equal(scheduler.waitingCount, isScheduled ? 2 : 4);
		scheduler.add(workOf('gone', 1), 20);
		const [again] = scheduler.nextCalls([servers[1]], capacity, 20);
		scheduler.failCall(again, 'unreachable', 30);
		t.equal(scheduler.waitingCount, isScheduled ? 3 : 5, 'only while the canceled pieces are in progress');
	}
});

t.test('a step that is in time ends at once if its turn comes only after its caller has left', async t => {
	const scheduler = createScheduler();
	// 4 pieces a call of 140 ms: 80 pieces take 2,800 ms.
	scheduler.add(workOf('ahead', 80, {dueMs: 3000, lateDueMs: 6000, deadlineMs: 9000}), 0);
	scheduler.add(workOf('hopeless', 2, {dueMs: 3100, lateDueMs: 2700, deadlineMs: 9000}), 0);
	scheduler.add(workOf('behind', 2, {dueMs: 3200, lateDueMs: 6000, deadlineMs: 9000}), 0);
	t.same(scheduler.failLate([server], capacity, 0).map(({work, outcome}) => [work.workId, outcome.ok || outcome.reason]), [['hopeless', 'late'], ['hopeless', 'late']]);
	t.same(scheduler.failLate([server], capacity, 0), []);
});

t.test('waits, durations and time-outs of calls follow the learned times of items', async t => {
	const itemTimes = ItemTimes.create();
	const scheduler = createScheduler(() => true, itemTimes);
	let nowMs = 0;
	for (let round = 0; round < 100; round++) {
		scheduler.add(workOf(`w${round}`, 4, {dueMs: nowMs + 500, lateDueMs: nowMs + 2000, deadlineMs: nowMs + 5000}), nowMs);
		const [call] = scheduler.nextCalls([server], capacity, nowMs);
		nowMs += 120;
		scheduler.completeCall(call, outcomesOf(call), capacity, nowMs);
		scheduler.freeResults(server.serverId, call.pieces.map((_, index) => `${call.callId}-${index}`), nowMs + 80);
	}

	t.ok(Math.abs(itemTimes.itemMs('a', capacity) - 5) < 0.3, `${itemTimes.itemMs('a', capacity)} ms`);
	scheduler.add(workOf('last', 8, {dueMs: nowMs + 500, lateDueMs: nowMs + 2000, deadlineMs: nowMs + 5000}), nowMs);
	const [call] = scheduler.nextCalls([server], capacity, nowMs);
	t.ok(Math.abs(call.expectedMs - 120) < 2, `${call.expectedMs} ms`);
	t.ok(Math.abs(call.deadlineMs - nowMs - (6 * 120) - 500) < 20, `${call.deadlineMs - nowMs} ms`);
	// 4 pieces are queued and the call in progress takes half of its time.
	const waitMs = scheduler.waitMs([server], capacity, 0, nowMs);
	t.ok(Math.abs(waitMs - 180) < 10, `${waitMs} ms`);
	const {meanHoldMs} = scheduler.poolState([server], capacity, nowMs);
	t.ok(Math.abs(meanHoldMs - 200) < 1, `${meanHoldMs} ms from the start of a call to the release`);
});

t.test('the state of a pool sums the queue by rank, workspace and lateness', async t => {
	const scheduler = createScheduler();
	t.match(scheduler.poolState(servers, capacity, 0), {
		upstreamCount: 2, capacity, queue: [], hasFree: true, meanHoldMs: 390,
	}, 'a full call and 250 ms before any result was released');
	scheduler.add(workOf('a', 2), 0);
	scheduler.add(workOf('b', 1), 0);
	scheduler.add(workOf('c', 1, {workspace: 'v', resultBytes: 100}), 0);
	scheduler.add(workOf('d', 1, {rank: 1}), 0);
	scheduler.add(workOf('e', 1, {dueMs: -1, workspace: undefined}), 0);
	// 100 ms / 4 pieces + 10 ms; 10 or 100 of 1000 bytes for 390 ms.
	t.same(scheduler.poolState(servers, capacity, 0).queue, [
		{
			rank: 0, workspace: 'w', serverMs: 105, spaceMs: 11.7, isLate: false,
		},
		{
			rank: 0, workspace: 'v', serverMs: 35, spaceMs: 39, isLate: false,
		},
		{
			rank: 1, workspace: 'w', serverMs: 35, spaceMs: 3.9, isLate: false,
		},
		{
			rank: 0, workspace: '', serverMs: 35, spaceMs: 3.9, isLate: true,
		},
	]);
	scheduler.nextCalls([server], capacity, 0);
	t.equal(scheduler.poolState([server], capacity, 0).hasFree, false, 'a call is in progress');
	t.equal(scheduler.poolState(servers, capacity, 0).hasFree, true);
});

/*
Load: a burst of thousands of pieces and a thousand asks a second. Guards against a sum over the whole queue for each ask, and against
a sum that lacks added work: its reservation ends at that time, so nothing would count it.
*/
t.test('the load of a queue is summed again only if the queue has changed or 10 ms have passed', async t => {
	const itemTimes = ItemTimes.create();
	let sumCount = 0;
	const itemDurations: ItemDurations = {
		itemMs: (...step) => itemTimes.itemMs(...step),
		serverMs(...step) {
			sumCount++;
			return itemTimes.serverMs(...step);
		},
		expectedCallMs: (...call) => itemTimes.expectedCallMs(...call),
		recordCall: () => undefined,
	};
	const scheduler = BatchScheduler.create({scheduled: {isScheduled: () => true, itemDurations}});
	const check = (nowMs: number, expected: {readonly sums: number; readonly serverMs: number; readonly isLate?: boolean}, changedCapacity = capacity) => {
		sumCount = 0;
		const {queue} = scheduler.poolState([], changedCapacity, nowMs);
		t.same([sumCount, queue.map(({serverMs, isLate}) => [serverMs, isLate])], [expected.sums, [[expected.serverMs, expected.isLate ?? false]]]);
	};

	scheduler.add(workOf('a', 40, {dueMs: 25}), 0);
	check(0, {sums: 1, serverMs: 40 * 35});
	check(9, {sums: 0, serverMs: 40 * 35});
	check(10, {sums: 1, serverMs: 40 * 35});
	check(11, {sums: 1, serverMs: 40 * 45}, {...capacity, itemMs: 20});
	scheduler.add(workOf('b', 2, {dueMs: 25}), 11);
	check(11, {sums: 2, serverMs: 42 * 35});
	check(12, {sums: 0, serverMs: 42 * 35});
	scheduler.cancel('a');
	check(12, {sums: 1, serverMs: 2 * 35});
	check(26, {sums: 1, serverMs: 2 * 35, isLate: true});
	scheduler.add(workOf('c', 1, {dueMs: 25}), 26);
	check(26, {sums: 2, serverMs: 3 * 35, isLate: true});
	scheduler.nextCalls([server], capacity, 26);
	t.same(scheduler.poolState([], capacity, 26).queue, [], 'what is sent is no longer queued');
});

t.test('an upstream whose space is used up is not free', async t => {
	const scheduler = createScheduler();
	scheduler.add(workOf('big', 3, {resultBytes: 300}), 0);
	const [call] = scheduler.nextCalls([server], capacity, 0);
	scheduler.completeCall(call, outcomesOf(call), capacity, 130);
	t.equal(scheduler.poolState([server], capacity, 130).hasFree, false);
	scheduler.freeResults('s', ['1-0'], 200);
	t.equal(scheduler.poolState([server], capacity, 200).hasFree, true);
});

t.test('the order changes with the declaration, and the measured throughput starts anew', async t => {
	let isScheduled = false;
	const scheduler = createScheduler(() => isScheduled);
	// By due time and 250 ms for each rank, rank 1 goes before rank 0; all but the late piece must begin within a full call.
	scheduler.add(workOf('late', 4, {rank: 2, dueMs: -300, lateDueMs: 4000}), -1000);
	scheduler.add(workOf('middle', 4, {rank: 1, dueMs: 10}), -1000);
	scheduler.add(workOf('high', 4, {rank: 0, dueMs: 270}), -1000);
	t.equal(namesOf(scheduler.nextCalls([server], capacity, 0)[0]).slice(0, 6), 'middle');
	isScheduled = true;
	scheduler.add(workOf('other', 4, {rank: 1, dueMs: 10}), 0);
	t.equal(namesOf(scheduler.nextCalls([servers[1]], capacity, 0)[0]).slice(0, 4), 'high');
	const waitMs = scheduler.waitMs(servers, capacity, 1, 0);
	t.equal(Math.round(waitMs), 105, 'four pieces at the expected rate of two upstreams, and a quarter of a call');
});

t.test('the conditions of a call that has nothing to shorten are not determined', async t => {
	// They are read from the whole queue, and a free upstream for which nothing fits is considered with every message.
	const policy = ContentionPolicy.create(ItemTimes.create());
	const conditions = () => {
		throw new Error('determined');
	};

	const item = {
		work: workOf('w', 1), piece: 0, readyMs: 0, attempts: 0,
	};
	t.strictSame(policy.limitCall([], conditions, 0), []);
	t.strictSame(policy.limitCall([item], conditions, 0), [item]);
});

import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {pieceHandlings, type PieceHandling} from '../../quarantine/common/quarantine.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import {ItemTimes} from './item-times.js';
import {pieceFailures, type BatchWork, type PieceOutcome} from './work.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 4, callMs: 100, itemMs: 10, roomBytes: 1000, resultTtlMs: 4000,
};

function server(serverId: string, hall = 'a'): UpstreamServer {
	return {
		serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall, slots: 1, isLeaving: false,
	};
}

function workOf(workId: string, pieceCount: number, changes: Partial<BatchWork> = {}): BatchWork {
	return {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: pieceCount}, (_, piece) => piece), inputs: undefined,
		resultBytes: 10, rank: 0, dueMs: 500, lateDueMs: 2000, deadlineMs: 5000, hall: '', crossingBytes: 0, ...changes,
	};
}

const namesOf = (call: BatchCall) => call.pieces.map(({work, piece}) => `${work.workId}${piece}`).join(' ');
const allDone = (call: BatchCall): PieceOutcome[] => call.pieces.map((_, index) => ({ok: true, ref: {handle: `${call.callId}-${index}`, serverId: call.server.serverId}}));

t.test('pieces of several requests share a call, most urgent first, and no step is split', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('late', 2, {dueMs: 900}), 0);
	scheduler.add(workOf('soon', 3, {dueMs: 300}), 0);
	scheduler.add(workOf('one', 1, {dueMs: 950}), 0);
	const [call, ...others] = scheduler.nextCalls([server('s')], capacity, 0);
	t.equal(others.length, 0);
	t.equal(namesOf(call), 'soon0 soon1 soon2 one0', 'a step that would be split waits, and a smaller one is sent instead');
	t.equal(scheduler.nextCalls([server('s')], capacity, 1).length, 0, 'one call at a time');
	scheduler.completeCall(call, allDone(call), capacity, 140);
	t.equal(namesOf(scheduler.nextCalls([server('s')], capacity, 140)[0]), 'late0 late1');
});

t.test('a late step yields to others, whether it is the first step or a later one, but is sent in the end', async t => {
	for (const inputs of [undefined, ['x']]) {
		const scheduler = BatchScheduler.create();
		scheduler.add(workOf('overdue', 4, {dueMs: 100, lateDueMs: 1500, inputs}), 0);
		scheduler.add(workOf('fresh', 4, {dueMs: 1000}), 0);
		t.equal(namesOf(scheduler.nextCalls([server('s')], capacity, 200)[0]).slice(0, 5), 'fresh');
		scheduler.add(workOf('new', 4, {dueMs: 1600}), 600);
		t.equal(namesOf(scheduler.nextCalls([server('t')], capacity, 600)[0]).slice(0, 3), 'new', 'work that can be in time goes first');
		t.equal(namesOf(scheduler.nextCalls([server('u')], capacity, 610)[0]).slice(0, 7), 'overdue', 'then late work, without delay');
	}
});

t.test('a late step fails with all of its pieces once it can\'t be done before its caller disconnects, and no earlier', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('late', 2, {dueMs: 100, lateDueMs: 1000}), 0);
	scheduler.add(workOf('fresh', 40, {dueMs: 5000, lateDueMs: 9000, deadlineMs: 9000}), 0);
	// 4 pieces a call of 140 ms: 40 pieces take 1,400 ms.
	t.same(scheduler.failLate([server('s')], capacity, 50), [], 'not late yet');
	const ends = scheduler.failLate([server('s')], capacity, 200);
	t.same(ends.map(({work, piece, outcome}) => [work.workId, piece, outcome.ok || outcome.reason]), [['late', 0, 'late'], ['late', 1, 'late']]);
	t.equal(scheduler.waitingCount, 40);
	scheduler.add(workOf('other', 2, {dueMs: 100, lateDueMs: 3000}), 200);
	t.same(scheduler.failLate([server('s')], capacity, 200), [], 'its turn comes before its caller disconnects');
	t.same(scheduler.failLate([], capacity, 200), [], 'nothing can be predicted for a pool without upstreams');
});

t.test('a better rank outweighs a small difference in due time, not a larger one', async t => {
	for (const [dueMs, first] of [[700, 'high'], [800, 'low']] as const) {
		const scheduler = BatchScheduler.create();
		scheduler.add(workOf('low', 4, {dueMs: 500, rank: 1}), 0);
		scheduler.add(workOf('high', 4, {dueMs}), 0);
		t.ok(namesOf(scheduler.nextCalls([server('s')], capacity, 0)[0]).startsWith(first), `due at ${dueMs}`);
	}
});

t.test('the space used by results limits a call, and released results free it', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('a', 3, {resultBytes: 300}), 0);
	const [call] = scheduler.nextCalls([server('s')], capacity, 0);
	t.equal(call.pieces.length, 3);
	scheduler.completeCall(call, allDone(call), capacity, 130);
	scheduler.add(workOf('b', 1, {resultBytes: 300}), 130);
	t.equal(scheduler.nextCalls([server('s')], capacity, 130).length, 0);
	scheduler.freeResults('s', ['1-0']);
	t.equal(scheduler.nextCalls([server('s')], capacity, 140).length, 1);
});

t.test('an upstream without space receives nothing for a while, and refused pieces do not use up an attempt', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('a', 1), 0);
	for (let round = 0; round < 8; round++) {
		const nowMs = round * 300;
		const [call] = scheduler.nextCalls([server('s')], capacity, nowMs);
		t.same(scheduler.completeCall(call, [{ok: false, reason: pieceFailures.noRoom}], capacity, nowMs + 5), []);
		t.equal(scheduler.nextCalls([server('s')], capacity, nowMs + 10).length, 0);
	}
});

t.test('pieces of a failed call are sent to another upstream, and fail after a few attempts', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('a', 2), 0);
	const servers = [server('s'), server('r')];
	const [first] = scheduler.nextCalls(servers, capacity, 0);
	t.same(scheduler.failCall(first, 'broken', 10), []);
	const [second] = scheduler.nextCalls(servers, capacity, 10);
	t.not(second.server.serverId, first.server.serverId);
	scheduler.failCall(second, 'broken', 20);
	let ends = 0;
	for (let nowMs = 3000; ends === 0 && nowMs < 60_000; nowMs += 3000) {
		for (const call of scheduler.nextCalls(servers, {...capacity}, Math.min(nowMs, 4000 + (nowMs / 100)))) {
			ends += scheduler.failCall(call, 'broken', Math.min(nowMs, 4000 + (nowMs / 100))).length;
		}
	}

	t.equal(ends, 2);
});

t.test('a piece waits briefly for an upstream in the data hall of its inputs, if there is one', async t => {
	const scheduler = BatchScheduler.create();
	const work = workOf('a', 2, {hall: 'b', crossingBytes: 2_000_000});
	scheduler.add(work, 0);
	t.equal(scheduler.nextCalls([server('s', 'a'), server('busy', 'b')].slice(0, 1), capacity, 0).length, 1, 'no upstream in that data hall, so no wait');
	const waitingScheduler = BatchScheduler.create();
	waitingScheduler.add(workOf('x', 4, {hall: 'b'}), 0);
	waitingScheduler.nextCalls([server('there', 'b')], capacity, 0);
	waitingScheduler.add(work, 0);
	const servers = [server('s', 'a'), server('there', 'b')];
	t.equal(waitingScheduler.nextCalls(servers, capacity, 50).length, 0);
	t.equal(waitingScheduler.nextCalls(servers, capacity, 260).length, 1, 'the wait is limited');
	const late = BatchScheduler.create();
	late.add(workOf('x', 4, {hall: 'b'}), 0);
	late.nextCalls([server('there', 'b')], capacity, 0);
	late.add({...work, dueMs: -100}, 0);
	t.equal(late.nextCalls(servers, capacity, 50).length, 0, 'a late piece waits as well');
});

t.test('the estimated wait grows with the queue ahead and with the measured slowness of calls', async t => {
	const scheduler = BatchScheduler.create();
	const servers = [server('s')];
	t.equal(scheduler.waitMs(servers, capacity, 0, 0), 0);
	scheduler.add(workOf('a', 4), 0);
	const [call] = scheduler.nextCalls(servers, capacity, 0);
	const shortMs = scheduler.waitMs(servers, capacity, 0, 0);
	scheduler.add(workOf('b', 8), 0);
	const longMs = scheduler.waitMs(servers, capacity, 0, 0);
	t.ok(longMs > shortMs && shortMs > 0);
	scheduler.completeCall(call, allDone(call), capacity, 1500);
	scheduler.cancel('b');
	scheduler.add(workOf('c', 8, {dueMs: 1900, lateDueMs: 3400}), 1500);
	const slowMs = scheduler.waitMs(servers, capacity, 0, 1500);
	t.ok(slowMs > 5 * longMs, 'ten times slower than declared, most of which is reflected after one call');
	t.ok(slowMs < 10 * longMs);
});

t.test('the estimated wait is long where no upstream is healthy, and a call does not time out because all are slow', async t => {
	const scheduler = BatchScheduler.create();
	const servers = [server('s'), server('t')];
	scheduler.add(workOf('a', 8), 0);
	const calls = scheduler.nextCalls(servers, capacity, 0);
	t.same(calls.map(({deadlineMs}) => deadlineMs), [1340, 1340]);
	for (const call of calls) {
		scheduler.failCall(call, 'broken', call.deadlineMs);
	}

	t.equal(scheduler.waitMs(servers, capacity, 0, 1340), 2000, 'both have failed');
	const [again] = scheduler.nextCalls(servers, capacity, 1600);
	t.ok(again.deadlineMs - again.sentMs > 6000, 'the upstreams may be that slow');
});

t.test('a piece queued past its deadline fails as late', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('a', 1, {deadlineMs: 100}), 0);
	t.same(scheduler.sweep(() => true, 50), []);
	t.match(scheduler.sweep(() => true, 100), [{piece: 0, outcome: {ok: false, reason: 'late'}}]);
	t.equal(scheduler.waitingCount, 0);
});

t.test('space used by results unknown to this host is discovered from refusals, and small results still fit', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('big', 4, {resultBytes: 200}), 0);
	const [first] = scheduler.nextCalls([server('s')], capacity, 0);
	const refuse = (call: BatchCall, taken: number): PieceOutcome[] => allDone(call).map((outcome, index) =>
		index < taken ? outcome : {ok: false, reason: pieceFailures.noRoom});
	scheduler.completeCall(first, refuse(first, 1), capacity, 140);
	scheduler.freeResults('s', ['1-0']);
	scheduler.add(workOf('small', 2, {dueMs: 300}), 150);
	t.equal(namesOf(scheduler.nextCalls([server('s')], capacity, 150)[0]).slice(0, 13), 'small0 small1', 'space for results smaller than the refused one is used');
	const small = BatchScheduler.create();
	small.add(workOf('big', 1, {resultBytes: 200}), 0);
	small.add(workOf('next', 2, {resultBytes: 200}), 0);
	const [call] = small.nextCalls([server('s')], capacity, 0);
	small.completeCall(call, refuse(call, 0), capacity, 100);
	t.equal(small.nextCalls([server('s')], capacity, 200).length, 0, 'receives nothing for about the duration of a call');
	const [tried] = small.nextCalls([server('s')], capacity, 360);
	t.equal(tried.pieces.length, 1, 'then one result is tried');
	small.completeCall(tried, allDone(tried), capacity, 470);
	small.freeResults('s', [`${tried.callId}-0`]);
	t.equal(small.nextCalls([server('s')], capacity, 470)[0].pieces.length, 2, 'more results are sent once that one was stored');
});

/**
Guards against a thundering herd after a restart. Hosts that are not connected to each other yet call the same upstreams,
which are full and refuse most calls. Each host must back off for longer after each refusal, so that the hosts leave
space for each other until one of them batches for all. When full upstreams were called again after each call
duration, they refused more calls, and steps were done no sooner.
*/
t.test('an upstream that was full is called again with a growing delay of at most two seconds', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('w', 1, {dueMs: 40_000, lateDueMs: 50_000, deadlineMs: 60_000}), 0);
	let nowMs = 0;
	for (const waitMs of [250, 500, 1000, 2000, 2000]) {
		const [call] = scheduler.nextCalls([server('s')], capacity, nowMs);
		scheduler.failCall(call, 'refused', nowMs);
		t.equal(scheduler.nextCalls([server('s')], capacity, nowMs + waitMs - 1).length, 0, 'not earlier');
		nowMs += waitMs;
	}

	t.equal(scheduler.nextCalls([server('s')], capacity, nowMs).length, 1, 'refusals do not count as attempts');
});

t.test('an upstream that fails receives nothing for a growing time', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('w', 1, {dueMs: 4000, lateDueMs: 5000}), 0);
	scheduler.failCall(scheduler.nextCalls([server('s')], capacity, 0)[0], 'broken', 0);
	t.equal(scheduler.nextCalls([server('s')], capacity, 249).length, 0);
	scheduler.failCall(scheduler.nextCalls([server('s')], capacity, 250)[0], 'broken', 250);
	t.equal(scheduler.nextCalls([server('s')], capacity, 749).length, 0);
	t.equal(scheduler.nextCalls([server('s')], capacity, 750).length, 1);
});

t.test('pieces of a request that may crash upstreams are sent alone, wait or are barred; all others are sent as usual', async t => {
	const handlings = new Map<string, PieceHandling>([['alone', pieceHandlings.alone], ['wait', pieceHandlings.wait], ['barred', pieceHandlings.barred]]);
	const scheduler = BatchScheduler.create({handlingOf: contentId => handlings.get(contentId) ?? pieceHandlings.none});
	for (const [index, workId] of ['wait', 'barred', 'alone', 'a', 'b'].entries()) {
		scheduler.add(workOf(workId, 1, {dueMs: 500 + index}), 0);
	}

	const calls = scheduler.nextCalls([server('s'), server('t'), server('u')], capacity, 0);
	t.same(calls.map(call => namesOf(call)), ['alone0', 'a0 b0']);
	t.match(scheduler.sweep(() => true, 1), [{work: {workId: 'barred'}, outcome: {ok: false, reason: pieceFailures.failed}}]);
	t.equal(scheduler.waitingCount, 1);
	handlings.delete('wait');
	t.equal(namesOf(scheduler.nextCalls([server('u')], capacity, 2)[0]), 'wait0');
});

t.test('a host that resumes from suspension sends nothing whose deadline passed meanwhile', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('over', 2, {deadlineMs: 5000}), 0);
	scheduler.add(workOf('live', 2, {deadlineMs: 50_000}), 0);
	t.same(scheduler.nextCalls([server('s')], capacity, 9000).map(call => namesOf(call)), ['live0 live1']);
	t.match(scheduler.sweep(() => true, 9000), [{work: {workId: 'over'}}, {work: {workId: 'over'}}]);
});

t.test('an upstream with a rate limit gets no call beyond the limit, and counts as the corresponding fraction of an upstream', async t => {
	const allowance = {remaining: 0, perS: Infinity};
	const scheduler = BatchScheduler.create({allowanceOf: ({serverId}) => serverId === 'bounded' ? allowance : {remaining: Infinity, perS: Infinity}});
	const both = [server('bounded'), server('free')];
	scheduler.add(workOf('w', 8), 0);
	t.same(scheduler.nextCalls(both, capacity, 0).map(call => call.server.serverId), ['free']);
	allowance.remaining = 1;
	allowance.perS = 2;
	t.same(scheduler.nextCalls(both, capacity, 0).map(call => call.server.serverId), ['bounded']);
	scheduler.add(workOf('next', 4), 0);
	const waitMs = scheduler.waitMs([server('bounded')], capacity, 0, 0);
	allowance.perS = Infinity;
	// 2 calls of 140 ms per second are 0.28 of its capacity.
	t.equal(Math.round(waitMs * 0.28), Math.round(scheduler.waitMs([server('bounded')], capacity, 0, 0)));
});

const reading = {inputs: ['x'], stepKey: 'r#1', inputFetchMs: 40};
const makeScheduled = (isScheduled = true) => BatchScheduler.create({scheduled: {isScheduled: () => isScheduled, itemDurations: ItemTimes.create()}});

/** Makes the next call of the one upstream and returns it with its fetch time. */
function startReading(scheduler: BatchScheduler, nowMs: number, {changes = {}, slots = 1}: {readonly changes?: Partial<BatchWork>; readonly slots?: number} = {}) {
	scheduler.add(workOf(`w${nowMs}`, 2, {
		...reading, dueMs: nowMs + 1000, lateDueMs: nowMs + 2000, deadlineMs: nowMs + 5000, ...changes,
	}), nowMs);
	const [call] = scheduler.nextCalls([server('s')], capacity, nowMs);
	return {call, fetchMs: scheduler.fetchTimeMs(call, {...capacity, slots}, nowMs)};
}

/** Makes and completes calls so that the upstream has answered one. */
function answerOne(scheduler: BatchScheduler, nowMs: number): void {
	const {call} = startReading(scheduler, nowMs);
	scheduler.completeCall(call, allDone(call), capacity, nowMs + 140);
}

/* Guards against inputs that are released while the call that reads them waits at its upstream behind a call of the former scheduler. */
t.test('inputs count as fetched only once the upstream has answered a call, sent since this host schedules the pool', async t => {
	const scheduler = makeScheduled();
	const first = startReading(scheduler, 0);
	t.equal(first.fetchMs, undefined, 'a call of another host may be ahead');
	scheduler.completeCall(first.call, allDone(first.call), capacity, 140);
	const second = startReading(scheduler, 200);
	t.equal(second.fetchMs, 40);
	scheduler.takeWaiting();
	scheduler.completeCall(second.call, allDone(second.call), capacity, 340);
	const third = startReading(scheduler, 400);
	t.equal(third.fetchMs, undefined, 'another host scheduled the pool since the answered call was sent');
	scheduler.completeCall(third.call, allDone(third.call), capacity, 540);
	t.equal(startReading(scheduler, 600).fetchMs, 40);
});

/* Guards against inputs that are released while an upstream still runs a call that timed out here, or one of a host out of contact. */
t.test('inputs do not count as fetched after a call that failed or whose inputs were gone, until one is answered', async t => {
	for (const end of [
		(scheduler: BatchScheduler, call: BatchCall) => scheduler.failCall(call, 'broken', 1140),
		(scheduler: BatchScheduler, call: BatchCall) => scheduler.completeCall(call, call.pieces.map(() => ({ok: false, reason: pieceFailures.inputsGone})), capacity, 1140),
	]) {
		const scheduler = makeScheduled();
		answerOne(scheduler, 0);
		const {call, fetchMs} = startReading(scheduler, 1000);
		t.equal(fetchMs, 40);
		end(scheduler, call);
		const next = startReading(scheduler, 2000);
		t.equal(next.fetchMs, undefined);
		scheduler.completeCall(next.call, allDone(next.call), capacity, 2140);
		t.equal(startReading(scheduler, 3000).fetchMs, 40);
	}
});

/* Guards against a changed behaviour of pools that are not scheduled, and against a time that does not hold for all pieces of a call. */
t.test('inputs never count as fetched in other pools, with several slots, or where the time of a piece is not known', async t => {
	const unscheduled = makeScheduled(false);
	answerOne(unscheduled, 0);
	t.equal(startReading(unscheduled, 1000).fetchMs, undefined);
	for (const [options, expected] of [
		[{}, 40], [{slots: 2}, undefined], [{changes: {inputFetchMs: undefined}}, undefined], [{changes: {inputs: undefined, inputFetchMs: undefined}}, undefined],
	] as const) {
		const scheduler = makeScheduled();
		answerOne(scheduler, 0);
		t.equal(startReading(scheduler, 1000, options).fetchMs, expected, JSON.stringify(options));
	}

	const mixed = makeScheduled();
	answerOne(mixed, 0);
	mixed.add(workOf('long', 1, {
		...reading, inputFetchMs: 70, dueMs: 2000, lateDueMs: 3000,
	}), 1000);
	mixed.add(workOf('none', 1, {stepKey: 'r#0', dueMs: 2000, lateDueMs: 3000}), 1000);
	t.equal(startReading(mixed, 1000).fetchMs, 70, 'the longest time in a mixed call');
});

/*
Guards against pieces that are sent again without limit: pieces of calls that failed were queued and sent again regardless of the budget of repeats.
*/
t.test('pieces that are sent again are charged to the budget of repeats, and wait while it is spent', async t => {
	let budget = 0;
	const scheduler = BatchScheduler.create({
		repeats: {
			available: () => budget,
			take(count) {
				budget -= count;
			},
		},
	});
	scheduler.add(workOf('a', 3), 0);
	const [broken] = scheduler.nextCalls([server('s')], capacity, 0);
	t.equal(namesOf(broken), 'a0 a1 a2', 'first sends are not charged');
	scheduler.failCall(broken, 'broken', 100);
	scheduler.add(workOf('b', 1), 100);
	t.equal(namesOf(scheduler.nextCalls([server('t')], capacity, 100)[0]), 'b0', 'others go ahead');
	budget = 2;
	t.equal(namesOf(scheduler.nextCalls([server('u')], capacity, 200)[0]), 'a0 a1');
	t.equal(budget, 0);
	t.same(scheduler.takeWaiting().map(({piece, outcome}) => [piece, outcome.ok || outcome.reason]), [[2, pieceFailures.movedRepeat]]);
	scheduler.add(workOf('c', 1, {isRepeat: true}), 300);
	t.same(scheduler.nextCalls([server('v')], capacity, 300), [], 'a piece that its request submits again is a repeat as well');
	t.same(scheduler.sweep(() => true, 5000).map(({work}) => work.workId), ['c'], 'it fails when its time is over');
});

t.test('a call that could not be written makes no repeats of its pieces', async t => {
	const scheduler = BatchScheduler.create({repeats: {available: () => 0, take: () => undefined}});
	scheduler.add(workOf('a', 2), 0);
	const [unreachable] = scheduler.nextCalls([server('s')], capacity, 0);
	scheduler.failCall(unreachable, 'unreachable', 10);
	t.equal(namesOf(scheduler.nextCalls([server('t')], capacity, 20)[0]), 'a0 a1');
});

// Guards against an overdue call that is counted twice or forgotten: its pieces are sent elsewhere too, and each is reported once.
t.test('the first answer to a piece of an overdue call counts, whichever call brings it', async t => {
	for (const isSilentFirst of [true, false]) {
		const scheduler = BatchScheduler.create();
		scheduler.add(workOf('w', 2), 0);
		const [silent] = scheduler.nextCalls([server('s')], capacity, 0);
		scheduler.callOverdue(silent, silent.deadlineMs);
		const nowMs = silent.deadlineMs + 1;
		t.same(scheduler.nextCalls([server('s')], capacity, nowMs), [], 'its server gets nothing meanwhile');
		const [copy] = scheduler.nextCalls([server('s'), server('t')], capacity, nowMs);
		t.equal(namesOf(copy), 'w0 w1');
		const [first, second] = isSilentFirst ? [silent, copy] : [copy, silent];
		t.equal(scheduler.completeCall(first, allDone(first), capacity, nowMs + 50).length, 2);
		t.same(scheduler.unneededCalls, isSilentFirst ? [] : [silent]);
		t.same(scheduler.completeCall(second, allDone(second), capacity, nowMs + 60), []);
		t.same(scheduler.takeSurplus(), allDone(second).map(outcome => outcome.ok && outcome.ref), 'results that nothing reads');
		t.equal(scheduler.callCount + scheduler.waitingCount, 0);
	}
});

// Guards against pieces that are sent again although the silent server has answered them, or that fail while it may still answer them.
t.test('queued pieces of an overdue call end with its answer, and do not fail before it', async t => {
	const scheduler = BatchScheduler.create({repeats: {available: () => 0, take: () => undefined}});
	scheduler.add(workOf('w', 2, {deadlineMs: 1500}), 0);
	const [silent] = scheduler.nextCalls([server('s')], capacity, 0);
	scheduler.callOverdue(silent, silent.deadlineMs);
	t.equal(scheduler.waitingCount, 2);
	t.same(scheduler.nextCalls([server('t')], capacity, silent.deadlineMs), [], 'the budget allows no repeat');
	t.same([...scheduler.sweep(() => true, 2000), ...scheduler.failWaiting(), ...scheduler.takeWaiting()], []);
	t.equal(scheduler.completeCall(silent, allDone(silent), capacity, 2100).filter(({outcome}) => outcome.ok).length, 2);
	t.equal(scheduler.callCount + scheduler.waitingCount, 0);
});

t.test('pieces of an overdue call that breaks off are sent again once, and fail if their time is over', async t => {
	for (const [deadlineMs, failedCount, waitingCount] of [[5000, 0, 2], [1500, 2, 0]]) {
		const scheduler = BatchScheduler.create();
		scheduler.add(workOf('w', 2, {deadlineMs}), 0);
		const [silent] = scheduler.nextCalls([server('s')], capacity, 0);
		scheduler.callOverdue(silent, silent.deadlineMs);
		t.same(scheduler.sweep(() => true, 1600), []);
		t.equal(scheduler.failCall(silent, 'broken', 1600).length, failedCount);
		t.equal(scheduler.waitingCount, waitingCount);
	}
});

// Guards against a pool with one server that does nothing more because the response to one call was lost.
t.test('a server whose response was lost gets work again after a time, and the overdue call ends with its work', async t => {
	const scheduler = BatchScheduler.create();
	scheduler.add(workOf('w', 2, {deadlineMs: 60_000}), 0);
	const [lost] = scheduler.nextCalls([server('s')], capacity, 0);
	scheduler.callOverdue(lost, lost.deadlineMs);
	t.same(scheduler.nextCalls([server('s')], capacity, lost.deadlineMs + 1500), [], 'it may only be silent');
	const [copy] = scheduler.nextCalls([server('s')], capacity, lost.deadlineMs + 2500);
	t.equal(namesOf(copy), 'w0 w1');
	t.equal(scheduler.callCount, 2);
	scheduler.cancel('w');
	t.same(scheduler.unneededCalls, [lost]);
	t.same(scheduler.failCall(lost, 'broken', lost.deadlineMs + 2510), []);
	t.equal(scheduler.completeCall(copy, allDone(copy), capacity, lost.deadlineMs + 2600).length, 2);
	t.equal(scheduler.callCount + scheduler.waitingCount, 0);
});

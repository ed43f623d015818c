/**
Guards against a backlog that makes all later work late. After a burst, a pool with enough capacity for all new requests
completed nothing in time for seconds: the remaining work of the burst was done first, one piece at a time as its callers
were about to leave, and made everything that came after the burst late as well.

The load: two kinds of requests share a pool, one worth nine times the other and ranked before it. A burst requests more
than the pool can do, and its backlog stays for seconds. The figures are those of a deployment's pool with a drained data
hall: 6 upstreams of 27 pieces a call, 150 ms plus 4.77 ms a piece, which gives 580 pieces a second; 26 requests of rank 0
and 35 of rank 2 a second, 8 pieces each, and 1.6 times as many in the burst. Each step is due in less than a second.
*/
import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import type {BatchWork, PieceOutcome} from './work.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 27, callMs: 150, itemMs: 4.77, roomBytes: 1e9, resultTtlMs: 4000,
};
const piecesEach = 8;
const kinds = [{rank: 0, perS: 26, dueMs: 900}, {rank: 2, perS: 35, dueMs: 800}] as const;
const burst = {fromMs: 1000, toMs: 5000, factor: 1.6};
const stepMs = 5;

const servers: UpstreamServer[] = Array.from({length: 6}, (_, index) => ({
	serverId: `s${index}`, instanceId: `s${index}`, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
}));

function workOf(workId: string, rank: number, dueMs: number): BatchWork {
	return {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: piecesEach}, (_, piece) => piece), inputs: undefined,
		resultBytes: 10, rank, dueMs, lateDueMs: dueMs + 3000, deadlineMs: dueMs + 5000, hall: '', crossingBytes: 0,
	};
}

/** Simulates the load. Returns functions that evaluate the steps of one rank requested between two times: the share done in time, and the longest duration. */
function play(untilMs: number) {
	const scheduler = BatchScheduler.create();
	const calls: BatchCall[] = [];
	const dueMs = new Map<string, {readonly submittedMs: number; readonly dueMs: number; readonly rank: number}>();
	const doneMs = new Map<string, number>();
	/** When steps failed. */
	const endedMs = new Map<string, number>();
	const owed = kinds.map(() => 0);
	for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
		const factor = nowMs >= burst.fromMs && nowMs < burst.toMs ? burst.factor : 1;
		for (const [index, kind] of kinds.entries()) {
			owed[index] += kind.perS * factor * stepMs / 1000;
			for (; owed[index] >= 1; owed[index]--) {
				const workId = `${kind.rank}-${dueMs.size}`;
				dueMs.set(workId, {submittedMs: nowMs, dueMs: nowMs + kind.dueMs, rank: kind.rank});
				scheduler.add(workOf(workId, kind.rank, nowMs + kind.dueMs), nowMs);
			}
		}

		for (const call of calls.splice(0)) {
			if (nowMs < call.sentMs + call.expectedMs) {
				calls.push(call);
				continue;
			}

			const outcomes = call.pieces.map((_, piece): PieceOutcome => ({ok: true, ref: {handle: `${call.callId}-${piece}`, serverId: call.server.serverId}}));
			for (const {work} of call.pieces) {
				doneMs.set(work.workId, nowMs);
			}

			scheduler.completeCall(call, outcomes, capacity, nowMs);
		}

		calls.push(...scheduler.nextCalls(servers, capacity, nowMs));
		for (const {work} of [...scheduler.failLate(servers, capacity, nowMs), ...scheduler.sweep(() => true, nowMs)]) {
			endedMs.set(work.workId, endedMs.get(work.workId) ?? nowMs);
			scheduler.cancel(work.workId);
		}
	}

	const submittedBetween = (rank: number, fromMs: number, toMs: number) =>
		[...dueMs].filter(([, each]) => each.rank === rank && each.submittedMs >= fromMs && each.submittedMs < toMs);
	return {
		inTimeShare(rank: number, fromMs: number, toMs: number): number {
			const submitted = submittedBetween(rank, fromMs, toMs);
			return submitted.filter(([workId, each]) => (doneMs.get(workId) ?? Infinity) <= each.dueMs).length / submitted.length;
		},
		/** Longest time from requesting a step until it was done or failed. */
		longestMs(rank: number, fromMs: number, toMs: number): number {
			return Math.max(...submittedBetween(rank, fromMs, toMs).map(([workId, {submittedMs}]) => (doneMs.get(workId) ?? endedMs.get(workId) ?? Infinity) - submittedMs));
		},
	};
}

t.test('in an overloaded pool the most urgent kind stays in time and the least urgent one yields', async t => {
	const played = play(16_000);
	const urgentShare = played.inTimeShare(0, 0, 14_000);
	t.ok(urgentShare >= 0.95, `rank 0: ${urgentShare}`);
	const shareBeforeBurst = played.inTimeShare(2, 0, 800);
	t.ok(shareBeforeBurst >= 0.95, `rank 2 before the burst: ${shareBeforeBurst}`);
	// The backlog of a burst may delay the work of the burst itself, and work that arrives after its end within a time as long as
	// the burst, but nothing later.
	const afterShare = played.inTimeShare(2, burst.toMs + (burst.toMs - burst.fromMs), 14_000);
	t.ok(afterShare >= 0.95, `rank 2 after the burst: ${afterShare}`);
});

t.test('late work is done or fails before its caller disconnects', async t => {
	const longestMs = play(16_000).longestMs(2, 0, 10_000);
	// A step of rank 2 is due after 0.8 s and useless 3 s after that; a full call takes 0.28 s.
	t.ok(longestMs <= 4200, `${longestMs}`);
});

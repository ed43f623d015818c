/** Which pieces go first, and where. */
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import type {BatchPiece} from './batch-call.js';
import type {BatchWork} from './work.js';

/**
How much later each step of rank counts: a request of the better rank goes first unless it has this much more
time. 800 ms measured the same as 250 where the dearest kind makes up most of the worth.
*/
export const rankPenaltyMs = 250;
/** Longest wait for an upstream in the hall of the inputs: about a full call, after which each upstream has been free once. */
const longestPatienceMs = 300;

/** Later than any due time: puts what is late behind all that can be in time. */
const lateOffsetMs = 3_600_000;

/**
Tells how urgent a piece is: what can still be in time goes first, by the time it has left. A step that can't is behind all of
them, whether it is the first or a later one. When late ones came first again as their callers were about to leave, what
a burst left made all late that came after: of a kind that a pool of six upstreams could do with a sixth to spare, none was in time
nine seconds after the burst, and all is now from two seconds after it (`overloaded-pool.test`).
@param item - the piece.
@param nowMs - the time.
@returns a time; the earliest goes first.
*/
export function urgencyOf({work}: BatchPiece, nowMs: number): number {
	const {dueMs, lateDueMs, rank} = work;
	return (isLate({dueMs}, nowMs) ? lateOffsetMs + lateDueMs : dueMs) + (rank * rankPenaltyMs);
}

/**
Tells whether a step can't be in time any more.
@param work - the step.
@param nowMs - the time.
*/
export function isLate({dueMs}: Pick<BatchWork, 'dueMs'>, nowMs: number): boolean {
	return nowMs > dueMs;
}

/**
Tells whether a piece had better wait for an upstream in its own hall. Those of another hall stand idle meanwhile, so
it is for a short while only. Without any wait, bytes between halls cost 0.03 to 0.06 of all worth more on full days.
@param item - the piece.
@param nowMs - the time.
*/
export function isPatient({work, readyMs}: BatchPiece, nowMs: number): boolean {
	const patienceMs = Math.min(longestPatienceMs, crossingCostMs(work.crossingBytes * work.pieces.length));
	// What is late already loses nothing by waiting; what is still in time must not become late by it.
	const untilMs = readyMs + patienceMs;
	return nowMs < (readyMs < work.dueMs ? Math.min(untilMs, work.dueMs) : untilMs);
}

/**
Puts pieces of one work side by side, in the order in which the first of each comes.
@param items - the pieces.
*/
export function groupByWork(items: readonly BatchPiece[]): BatchPiece[][] {
	const groups = new Map<string, BatchPiece[]>();
	for (const item of items) {
		const group = groups.get(item.work.workId);
		if (group) {
			group.push(item);
		} else {
			groups.set(item.work.workId, [item]);
		}
	}

	return [...groups.values()];
}

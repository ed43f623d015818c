/** Order of pieces in the queue, and the choice of data hall. */
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import type {BatchPiece} from './batch-call.js';
import type {BatchWork} from './work.js';

/**
Penalty for each step of rank: a request of better rank goes first unless it has this much more time. Where the most
expensive kind accounts for most of the value, 800 ms gave the same value as 250 ms.
*/
export const rankPenaltyMs = 250;
/** Maximum wait for an upstream in the data hall of the inputs: about the duration of a full call, in which each upstream becomes free once. */
const maxHallWaitMs = 300;

/** Later than any due time: places late pieces behind all that can still be in time. */
const lateOffsetMs = 3_600_000;

/**
Returns the urgency of a piece. Pieces that can still be in time go first, ordered by their remaining time. Late pieces
go behind all of them, whether they belong to the first step or a later one. When late pieces went first again as their
callers were about to leave, the backlog of a burst made all later work late: of a kind that a pool of six upstreams
could handle with a sixth of its capacity to spare, nothing was in time nine seconds after the burst. With this order,
everything is in time from two seconds after the burst (`overloaded-pool.test`).
@param item - the piece.
@param nowMs - the current time.
@returns a time; pieces with the earliest time go first.
*/
export function urgencyOf({work}: BatchPiece, nowMs: number): number {
	const {dueMs, lateDueMs, rank} = work;
	return (isLate({dueMs}, nowMs) ? lateOffsetMs + lateDueMs : dueMs) + (rank * rankPenaltyMs);
}

/**
Whether a step can no longer be in time.
@param work - the step.
@param nowMs - the current time.
*/
export function isLate({dueMs}: Pick<BatchWork, 'dueMs'>, nowMs: number): boolean {
	return nowMs > dueMs;
}

/**
Whether a piece should wait for an upstream in its own data hall. Upstreams of other halls stay idle meanwhile, so the
wait is short. Without any wait, transfers between halls cost another 0.03 to 0.06 of the total value on busy days.
@param item - the piece.
@param nowMs - the current time.
*/
export function shouldWaitForHall({work, readyMs}: BatchPiece, nowMs: number): boolean {
	const hallWaitMs = Math.min(maxHallWaitMs, crossingCostMs(work.crossingBytes * work.pieces.length));
	// A piece that is late already loses nothing by waiting; a piece that is in time must not become late by waiting.
	const untilMs = readyMs + hallWaitMs;
	return nowMs < (readyMs < work.dueMs ? Math.min(untilMs, work.dueMs) : untilMs);
}

/**
Groups pieces by work, in the order in which the first piece of each work occurs.
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

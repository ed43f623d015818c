/** Order of pieces in the queue, and the choice of data hall. */
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import type {BatchPiece} from './batch-call.js';
import type {BatchWork} from './work.js';

/**
Penalty for each step of rank: a request of better rank goes first unless it has this much more time. Where the most
expensive kind accounts for most of the value, 800 ms gave the same value as 250 ms.
*/
const rankPenaltyMs = 250;
/** Maximum wait for an upstream in the data hall of the inputs: about the duration of a full call, in which each upstream becomes free once. */
const maxHallWaitMs = 300;

/** Later than any due time: places late pieces behind all that can still be in time. */
const lateOffsetMs = 3_600_000;
/** Time until a typical piece is due; determines the queue position of work whose wait is only estimated. */
const typicalDueMs = 500;
/** Groups of `ContentionOrder`, the first to be sent first. */
const orderGroups = {urgent: 0, inTime: 1, late: 2} as const;

/** Order in which queued pieces are sent. */
export type PieceOrder = {
	/** Compares two pieces as `Array.sort` does: a negative result if the left one goes first. */
	compare(left: BatchPiece, right: BatchPiece, nowMs: number): number;
	/** Whether a queued piece goes before work of the given rank that is added now. */
	goesBefore(item: BatchPiece, rank: number, nowMs: number): boolean;
	/** Whether a piece may end as unservable if its turn comes only after `lateDueMs`. */
	mayEnd(item: BatchPiece, nowMs: number): boolean;
};

/** Order by remaining time, in which a rank counts as a fixed amount of time. */
export class DueOrder implements PieceOrder {
	static create(): DueOrder {
		return new DueOrder();
	}

	compare(left: BatchPiece, right: BatchPiece, nowMs: number): number {
		return urgencyOf(left, nowMs) - urgencyOf(right, nowMs);
	}

	goesBefore(item: BatchPiece, rank: number, nowMs: number): boolean {
		return urgencyOf(item, nowMs) <= nowMs + typicalDueMs + (rank * rankPenaltyMs);
	}

	mayEnd({work}: BatchPiece, nowMs: number): boolean {
		return isLate(work, nowMs);
	}
}

/**
Order of scheduled pools: first the pieces that must begin within one full call, by rank and then due time; then all others that
are in time, by due time; then late ones, by the time until which they are of use. With ranks worth a fixed amount of time, a
backlog of seconds had no order; with strict ranks, work of a low rank near its due time would wait behind urgent work that still
has time.
*/
export class ContentionOrder implements PieceOrder {
	/**
	Creates an instance.
	@param fullCallMs - expected duration of a full call.
	*/
	static create(fullCallMs: number): ContentionOrder {
		return new ContentionOrder(fullCallMs);
	}

	private constructor(private readonly fullCallMs: number) {}

	compare(left: BatchPiece, right: BatchPiece, nowMs: number): number {
		const group = this.groupOf(left, nowMs);
		const groupDifference = group - this.groupOf(right, nowMs);
		if (groupDifference !== 0) {
			return groupDifference;
		}

		if (group === orderGroups.late) {
			return left.work.lateDueMs - right.work.lateDueMs;
		}

		const rankDifference = group === orderGroups.urgent ? left.work.rank - right.work.rank : 0;
		return rankDifference === 0 ? left.work.dueMs - right.work.dueMs : rankDifference;
	}

	/** Work of a worse rank goes first only while the added work has time to wait. */
	goesBefore({work}: BatchPiece, rank: number, nowMs: number): boolean {
		return work.rank <= rank && !isLate(work, nowMs);
	}

	mayEnd(): boolean {
		return true;
	}

	private groupOf({work}: BatchPiece, nowMs: number): number {
		if (isLate(work, nowMs)) {
			return orderGroups.late;
		}

		return work.dueMs <= nowMs + this.fullCallMs ? orderGroups.urgent : orderGroups.inTime;
	}
}

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
function urgencyOf({work}: BatchPiece, nowMs: number): number {
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

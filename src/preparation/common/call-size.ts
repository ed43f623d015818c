/** Decides how many of the selected pieces a call takes. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import type {CallTimes} from './call-times.js';
import {groupByWork, isLate} from './piece-order.js';

/** With all other upstreams busy, the first one is free after this share of a call, divided by their number. */
const firstFreeShare = 0.5;
/** The due time of a step, by which it must begin, allows for a call of this share of the maximum number of pieces (`Preparer`). */
const dueCallShare = 0.5;

/** Conditions of a call. */
export type CallConditions = {
	readonly times: CallTimes;
	readonly capacity: BatchCapacity;
	/** Ratio of actual to expected duration of calls to the upstream. */
	readonly slowness: number;
	/** Effective number of other upstreams that accept work. */
	readonly otherCount: number;
	/** Whether another upstream has no call in progress. */
	readonly hasOtherFree: boolean;
	/** Queued pieces that were not selected, in order. */
	readonly rest: readonly BatchPiece[];
};

/**
Removes the last steps from a call if an earlier one would otherwise be late and the other upstreams can begin everything else in
time. In all other cases the call keeps all selected pieces: a call with 2 of 12 pieces takes 240 ms instead of 370 ms, so short
calls cost a pool with a backlog most of its throughput.
@param selected - the pieces, most urgent first.
@param conditions - conditions of the call and the pool.
@param nowMs - the current time.
@returns the pieces to send.
*/
export function limitCall(selected: readonly BatchPiece[], conditions: CallConditions, nowMs: number): readonly BatchPiece[] {
	if (conditions.otherCount <= 0 || isInTime(selected, conditions, nowMs)) {
		return selected;
	}

	const groups = groupByWork(selected);
	for (let count = groups.length - 1; count > 0; count--) {
		const kept = groups.slice(0, count).flat();
		if (isInTime(kept, conditions, nowMs)) {
			const others = [...groups.slice(count).flat(), ...conditions.rest];
			return canOthersBegin(others, conditions, nowMs) ? kept : selected;
		}
	}

	return selected;
}

/** Whether all pieces of a call are done in time that could be in a call of their own. */
function isInTime(pieces: readonly BatchPiece[], {times, capacity, slowness}: CallConditions, nowMs: number): boolean {
	const factor = Math.max(1, slowness);
	const endMs = nowMs + (factor * times.expectedMs(pieces, capacity));
	const allowedMs = capacity.callMs + (dueCallShare * capacity.batchSize * capacity.itemMs);
	return pieces.every(item => {
		const doneByMs = item.work.dueMs + allowedMs;
		return endMs <= doneByMs || nowMs + (factor * times.expectedMs([item], capacity)) > doneByMs;
	});
}

function canOthersBegin(pieces: readonly BatchPiece[], {times, capacity, otherCount, hasOtherFree}: CallConditions, nowMs: number): boolean {
	const perMs = times.amountPerMs(otherCount, capacity);
	const firstMs = nowMs + (hasOtherFree ? 0 : firstFreeShare * times.fullCallMs(pieces, capacity) / otherCount);
	let ahead = 0;
	for (const item of pieces) {
		// Late pieces are behind all others.
		if (!isLate(item.work, nowMs)) {
			if (firstMs + (ahead / perMs) > item.work.dueMs) {
				return false;
			}

			ahead += times.amountOf(item, capacity);
		}
	}

	return true;
}

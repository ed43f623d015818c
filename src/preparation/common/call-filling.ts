/** Selects the queued pieces for the next call to an upstream. */
import type {BatchPiece} from './batch-call.js';
import {groupByWork, isPatient} from './piece-order.js';

/** Limits of a call to one upstream. */
export type CallLimits = {
	/** Maximum number of pieces in a call. */
	readonly batchSize: number;
	/** Free space for results at the upstream. */
	readonly leftBytes: number;
	/** Data hall of the upstream. */
	readonly hall: string;
	/** Data halls with an upstream that accepts work: pieces whose inputs are stored there may wait for it. */
	readonly halls: ReadonlySet<string>;
};

/**
Selects the most urgent pieces that fit into one call and into the upstream's free space.
@param waiting - the queued pieces, most urgent first.
@param limits - limits of the call.
@param nowMs - the current time.
@returns the selected pieces.
*/
export function fillCall(waiting: readonly BatchPiece[], {batchSize, leftBytes, hall, halls}: CallLimits, nowMs: number): ReadonlySet<BatchPiece> {
	let roomBytes = leftBytes;
	const taken = new Set<BatchPiece>();
	for (const items of groupByWork(waiting)) {
		const [{work}] = items;
		const mayGo = work.hall === hall || !halls.has(work.hall) || items.every(item => !isPatient(item, nowMs));
		const fitting = Math.min(items.length, batchSize - taken.size, Math.floor(roomBytes / Math.max(1, work.resultBytes)));
		// A step that is only partly done uses space for results that nothing can read yet.
		if (mayGo && fitting > 0 && (fitting === items.length || taken.size === 0)) {
			roomBytes -= fitting * work.resultBytes;
			for (const item of items.slice(0, fitting)) {
				taken.add(item);
			}
		}
	}

	return taken;
}

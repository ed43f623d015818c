/** Selects the queued pieces for the next call to an upstream. */
import type {BatchPiece} from './batch-call.js';
import {groupByWork, shouldWaitForHall} from './piece-order.js';

/** Limits of a call to one upstream. */
export type CallLimits = {
	/** Maximum number of pieces in a call. */
	readonly batchSize: number;
	/** Free space for results at the upstream. */
	readonly freeBytes: number;
	/** Data hall of the upstream. */
	readonly hall: string;
	/** Data halls with an upstream that accepts work: pieces whose inputs are stored there may wait for it. */
	readonly openHalls: ReadonlySet<string>;
};

/**
Selects the most urgent pieces that fit into one call and into the upstream's free space.
@param waiting - the queued pieces, most urgent first.
@param limits - limits of the call.
@param nowMs - the current time.
@returns the selected pieces.
*/
export function selectPieces(waiting: readonly BatchPiece[], {batchSize, freeBytes, hall, openHalls}: CallLimits, nowMs: number): ReadonlySet<BatchPiece> {
	let remainingBytes = freeBytes;
	const taken = new Set<BatchPiece>();
	for (const items of groupByWork(waiting)) {
		const [{work}] = items;
		const isSendable = work.hall === hall || !openHalls.has(work.hall) || items.every(item => !shouldWaitForHall(item, nowMs));
		const fittingCount = Math.min(items.length, batchSize - taken.size, Math.floor(remainingBytes / Math.max(1, work.resultBytes)));
		// A step is split only if it does not fit into a call of its own: a step that is partly done uses space for results that nothing can read yet.
		if (isSendable && fittingCount > 0 && (fittingCount === items.length || taken.size === 0)) {
			remainingBytes -= fittingCount * work.resultBytes;
			for (const item of items.slice(0, fittingCount)) {
				taken.add(item);
			}
		}
	}

	return taken;
}

/** Which of the waiting pieces go in the next call to an upstream. */
import type {BatchPiece} from './batch-call.js';
import {groupByWork, isPatient} from './piece-order.js';

/** What a call to one upstream may carry. */
export type CallLimits = {
	/** Pieces of one call at most. */
	readonly batchSize: number;
	/** Room that the upstream has for results. */
	readonly leftBytes: number;
	/** Data hall of the upstream. */
	readonly hall: string;
	/** Data halls with an upstream that may get work: pieces whose inputs lie there may wait for it. */
	readonly halls: ReadonlySet<string>;
};

/**
Takes the most urgent pieces that fit into one call and into the upstream's room.
@param waiting - all that wait, the most urgent first.
@param limits - of the call.
@param nowMs - the time.
@returns those that go.
*/
export function fillCall(waiting: readonly BatchPiece[], {batchSize, leftBytes, hall, halls}: CallLimits, nowMs: number): ReadonlySet<BatchPiece> {
	let roomBytes = leftBytes;
	const taken = new Set<BatchPiece>();
	for (const items of groupByWork(waiting)) {
		const [{work}] = items;
		const mayGo = work.hall === hall || !halls.has(work.hall) || items.every(item => !isPatient(item, nowMs));
		const fitting = Math.min(items.length, batchSize - taken.size, Math.floor(roomBytes / Math.max(1, work.resultBytes)));
		// A step that is worked on in parts keeps room for results that nobody can read yet.
		if (mayGo && fitting > 0 && (fitting === items.length || taken.size === 0)) {
			roomBytes -= fitting * work.resultBytes;
			for (const item of items.slice(0, fitting)) {
				taken.add(item);
			}
		}
	}

	return taken;
}

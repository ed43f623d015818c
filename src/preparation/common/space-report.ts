/** Derives the space usage of an upstream from the response to a call. */
import type {BatchCall} from './batch-call.js';
import type {SpaceReport} from './result-space.js';
import {pieceFailures, type PieceOutcome} from './work.js';

/**
Summarizes the outcomes of a call.
@param call - the call.
@param outcomes - one for each piece, in order.
*/
export function spaceReportOf({pieces}: BatchCall, outcomes: readonly PieceOutcome[]): SpaceReport {
	let storedBytes = 0;
	let refusedBytes: number | undefined;
	for (const [index, {work: {resultBytes}}] of pieces.entries()) {
		const outcome = outcomes[index];
		if (outcome.ok) {
			storedBytes += resultBytes;
		} else if (outcome.reason === pieceFailures.noRoom) {
			refusedBytes = Math.min(refusedBytes ?? Infinity, resultBytes);
		}
	}

	return {storedBytes, refusedBytes};
}

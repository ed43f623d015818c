/** Pieces queued for a pool, and the calls that carry them to an upstream. */
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchWork, PieceOutcome} from './work.js';

/** One piece of a step, queued or sent. */
export type BatchPiece = {
	readonly work: BatchWork;
	readonly piece: number;
	readonly readyMs: number;
	attempts: number;
	/** Whether the piece may have reached an upstream before, so that sending it is a repeat; no if absent. */
	readonly isRepeat?: boolean;
};

/** A call to one upstream with one or more pieces. */
export type BatchCall = {
	readonly callId: number;
	readonly server: UpstreamServer;
	readonly pieces: readonly BatchPiece[];
	readonly sentMs: number;
	readonly expectedMs: number;
	/** Time at which the response is overdue. */
	readonly deadlineMs: number;
	/** Work that the call counts for in the measured throughput, in the unit of the pool's `CallTimes`; the sum of its pieces if absent. */
	readonly amount?: number | undefined;
	/** Slowness of the upstream when the call was sent, as a multiple of what was typical of the pool; 1 if absent. */
	readonly slowness?: number | undefined;
};

/** Outcome of a piece, reported to the host that submitted it. */
export type FinishedPiece = {readonly work: BatchWork; readonly piece: number; readonly outcome: PieceOutcome};

/** Pieces of one work whose inputs must have been fetched by calls in progress, reported to the host that submitted it. */
export type FetchedPieces = {readonly workId: string; readonly pool: string; readonly pieces: readonly number[]};

/**
Returns the time after which a call in progress has fetched all inputs of its pieces, if its turn came when it arrived. Full calls
of each of its steps bound the time of a mixed one.
@param call - the call.
@returns the time in milliseconds; undefined if it reads nothing, or if the time is not known for a piece with inputs.
*/
export function fetchTimeOf({pieces}: BatchCall): number | undefined {
	const timesMs = pieces.filter(({work}) => work.inputs !== undefined).map(({work}) => work.inputFetchMs);
	return timesMs.length === 0 || timesMs.includes(undefined) ? undefined : Math.max(...timesMs.filter(timeMs => timeMs !== undefined));
}

/**
Groups the pieces of a call that read inputs by their works.
@param call - the call.
*/
export function fetchedPiecesOf({pieces}: BatchCall): FetchedPieces[] {
	const byWork = new Map<string, {workId: string; pool: string; pieces: number[]}>();
	for (const {work: {workId, pool, inputs}, piece} of pieces) {
		if (inputs === undefined) {
			continue;
		}

		const fetched = byWork.get(workId) ?? {workId, pool, pieces: []};
		fetched.pieces.push(piece);
		byWork.set(workId, fetched);
	}

	return [...byWork.values()];
}

/** Why a call failed for all of its pieces. */
export type CallFailure = 'refused' | 'unreachable' | 'broken' | 'replaced';

/** Pieces queued for a pool, and the calls that carry them to an upstream. */
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchWork, PieceOutcome} from './work.js';

/** One piece of a step, queued or sent. */
export type BatchPiece = {readonly work: BatchWork; readonly piece: number; readonly readyMs: number; attempts: number};

/** A call to one upstream with one or more pieces. */
export type BatchCall = {
	readonly callId: number;
	readonly server: UpstreamServer;
	readonly pieces: readonly BatchPiece[];
	readonly sentMs: number;
	readonly expectedMs: number;
	/** Time at which the call times out. */
	readonly deadlineMs: number;
	/** Work that the call counts for in the measured throughput, in the unit of the pool's `CallTimes`; the sum of its pieces if absent. */
	readonly amount?: number | undefined;
	/** Slowness of the upstream when the call was sent, as a multiple of what was typical of the pool; 1 if absent. */
	readonly slowness?: number | undefined;
};

/** Outcome of a piece, reported to the host that submitted it. */
export type FinishedPiece = {readonly work: BatchWork; readonly piece: number; readonly outcome: PieceOutcome};

/** Why a call failed for all of its pieces. */
export type CallFailure = 'refused' | 'unreachable' | 'broken' | 'replaced';

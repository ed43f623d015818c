/** Pieces that wait for their pool, and the calls they go in. */
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchWork, PieceOutcome} from './work.js';

/** One piece on its way. */
export type BatchPiece = {readonly work: BatchWork; readonly piece: number; readonly readyMs: number; tries: number};

/** A call to one upstream. */
export type BatchCall = {
	readonly callId: number;
	readonly server: UpstreamServer;
	readonly pieces: readonly BatchPiece[];
	readonly sentMs: number;
	readonly expectedMs: number;
	/** When the call is given up. */
	readonly limitMs: number;
};

/** The end of a piece, for whoever asked for it. */
export type PieceEnd = {readonly work: BatchWork; readonly piece: number; readonly outcome: PieceOutcome};

/** How a call ended as a whole. */
export type CallFailure = 'refused' | 'unreachable' | 'broken' | 'replaced';

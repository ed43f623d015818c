/** What is asked of the upstreams that prepare requests, and what they give. */

/** A result at the upstream that made it. */
export type ResultRef = {readonly handle: string; readonly serverId: string};

/** Why a piece of work gave no result. */
export const pieceFailures = {
	/** Its time was over when its turn came. */
	late: 'late',
	/** A result it was to read is lost. */
	inputsGone: 'inputsGone',
	/** The upstream has no room for another result. */
	noRoom: 'noRoom',
	failed: 'failed',
	/** No upstream of its pool gets work for a while. */
	noUpstream: 'noUpstream',
	/** Not begun: another host batches the pool now. */
	moved: 'moved',
	/** Given up because the request has ended, or nobody could take it. */
	abandoned: 'abandoned',
} as const;
export type PieceFailure = typeof pieceFailures[keyof typeof pieceFailures];

/** How one piece ended. */
export type PieceOutcome
	= | {readonly ok: true; readonly ref: ResultRef}
		| {readonly ok: false; readonly reason: PieceFailure};

/** Pieces of one step of one request that may be worked on now. */
export type StepWork = {
	readonly step: number;
	readonly pieces: readonly number[];
	/** Results that every piece reads; absent for steps that read none and work on the request's key. */
	readonly inputs: readonly string[] | undefined;
};

/** Work of one step, as handed to the batches of a pool. */
export type BatchWork = StepWork & {
	readonly workId: string;
	readonly pool: string;
	/** The request's name as its caller gave it. */
	readonly callerRequestId: string;
	/** Names what the request asks for, whatever id its try has. */
	readonly contentId: string;
	readonly pieceKey: string;
	readonly resultBytes: number;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** When the step should be done for the request to meet its target. */
	readonly dueMs: number;
	/** When it should be done once that is missed, so that the caller is still there. */
	readonly lateDueMs: number;
	/** When it is given up if it still waits. */
	readonly deadlineMs: number;
	/** Data hall where the inputs lie or the results are wanted; empty where it does not matter. */
	readonly hall: string;
	/** Bytes that cross between halls if a piece is worked on in another one: each piece fetches all it reads. */
	readonly crossingBytes: number;
};

/** Work for the upstreams that prepare requests, and its results. */

/** Reference to a result at the upstream that stores it. */
export type ResultRef = {readonly handle: string; readonly serverId: string};

/** Why a piece failed. */
export const pieceFailures = {
	/** Its deadline passed, or it could no longer be done in time, while it was queued. */
	late: 'late',
	/** A result it depends on is lost. */
	inputsGone: 'inputsGone',
	/** The upstream has no space for another result. */
	noRoom: 'noRoom',
	failed: 'failed',
	/** No upstream of its pool accepts work for some time. */
	noUpstream: 'noUpstream',
	/** Not started: another host batches the pool now. */
	moved: 'moved',
	/** Like `moved`, but the piece was sent before. */
	movedRepeat: 'movedRepeat',
	/** Canceled because the request has ended, or no host could take it. */
	abandoned: 'abandoned',
} as const;
export type PieceFailure = typeof pieceFailures[keyof typeof pieceFailures];

/** Outcome of one piece. */
export type PieceOutcome
	= | {readonly ok: true; readonly ref: ResultRef}
		| {readonly ok: false; readonly reason: PieceFailure};

/** Pieces of one step of one request that can start now. */
export type StepWork = {
	readonly step: number;
	readonly pieces: readonly number[];
	/** Handles of the results that every piece reads; absent for steps that read none and work on the request's key. */
	readonly inputs: readonly string[] | undefined;
	/** Whether the pieces were requested before, so that sending them is a repeat; no if absent. */
	readonly isRepeat?: boolean | undefined;
};

/** Work of one step, as submitted for batching in its pool. */
export type BatchWork = StepWork & {
	readonly workId: string;
	readonly pool: string;
	/** ID of the request as given by its caller. */
	readonly callerRequestId: string;
	/** Identifies the content of the request, independent of the ID of an attempt. */
	readonly contentId: string;
	readonly pieceKey: string;
	readonly resultBytes: number;
	/** Priority; 0 is the most urgent. */
	readonly rank: number;
	/** Time by which the step should be done for the request to meet its target. */
	readonly dueMs: number;
	/** Time by which the step should be done if `dueMs` was missed, so that the caller is still connected. */
	readonly lateDueMs: number;
	/** Time at which the step fails if it is still queued. */
	readonly deadlineMs: number;
	/** Data hall where the inputs are stored or the results are needed; empty where it does not matter. */
	readonly hall: string;
	/** Bytes transferred between data halls if a piece runs in another one: each piece fetches everything it reads. */
	readonly crossingBytes: number;
	/** ID of the request under which its reservations are held; absent if it was admitted without asking the scheduler. */
	readonly requestId?: string | undefined;
	/** Identifies the step among all routes, to learn the duration of its items; absent in pools that are not scheduled. */
	readonly stepKey?: string | undefined;
	readonly workspace?: string | undefined;
	/**
	Time after which a call in progress has fetched the inputs of its pieces, if it carries only pieces of this step and its turn came
	when it arrived; absent for steps without inputs and in pools that are not scheduled.
	*/
	readonly inputFetchMs?: number | undefined;
};

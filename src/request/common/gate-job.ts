/** One dispatch at a gate, from its arrival to its end. */
import type {QueueItem} from '../../routing/common/fair-queue.js';
import type {DispatchMessage, Message} from '../../wire/common/messages.js';

/** Above every stage's place in a pipeline. */
const inTimeRank = 1000;

/** What is known of a dispatch. */
export type GateJob = QueueItem & {
	readonly dispatch: DispatchMessage;
	/** Where its entry is connected, if it is. */
	connectionId: number | undefined;
	readonly arrivedMs: number;
	readonly startByMs: number;
	startedMs: number | undefined;
	/** Since when no entry owns it. */
	orphanedMs: number | undefined;
	isAborted: boolean;
	/** Chunks that may still be sent. */
	credit: number;
	units: number;
	digest: number;
	/** Everything sent, for work that may not be repeated. */
	readonly sent: Message[];
	endedMs: number | undefined;
};

/**
Makes the job of a dispatch.
@param connectionId - the connection it came on.
@param dispatch - the message.
@param nowMs - the time.
*/
export function makeJob(connectionId: number, dispatch: DispatchMessage, nowMs: number): GateJob {
	const isInTime = dispatch.dueInMs > 0;
	return {
		dispatch,
		connectionId,
		arrivedMs: nowMs,
		startByMs: nowMs + dispatch.startWithinMs,
		startedMs: undefined,
		orphanedMs: undefined,
		isAborted: false,
		credit: dispatch.creditChunks,
		units: resumeOffsetOf(dispatch),
		digest: 0,
		sent: [],
		endedMs: undefined,
		workspace: dispatch.workspace,
		weight: dispatch.weight,
		// Work in time before late work, later stages before first ones: they have been paid for.
		rank: (isInTime ? inTimeRank : 0) + dispatch.stageIndex,
		dueMs: nowMs + dispatch.dueInMs,
	};
}

/**
Tells where a dispatch's answer starts.
@param dispatch - the message.
@returns units that the caller already has.
*/
export function resumeOffsetOf(dispatch: DispatchMessage): number {
	return dispatch.call.kind === 'generate' ? dispatch.call.resumeOffset : 0;
}

/** One dispatch at a gate, from its arrival to its end. */
import type {QueueItem} from '../../routing/common/fair-queue.js';
import type {DispatchMessage, Message} from '../../wire/common/messages.js';

/** Rank added for work that is not yet late; greater than any stage index. */
const onTimeRankBonus = 1000;

/** The state of a dispatch at a gate. */
export type GateJob = QueueItem & {
	readonly dispatch: DispatchMessage;
	/** The connection of the entry that sent the dispatch; `undefined` while the entry is not connected. */
	connectionId: number | undefined;
	readonly arrivedMs: number;
	readonly startByMs: number;
	startedMs: number | undefined;
	/** When the connection of its entry was lost; `undefined` while an entry owns the job. */
	orphanedMs: number | undefined;
	isAborted: boolean;
	/** Number of chunks that may still be sent. */
	credit: number;
	units: number;
	digest: number;
	/** All messages about the dispatch, stored only for work that may not be repeated so that they can be sent again. */
	readonly sentMessages: Message[];
	endedMs: number | undefined;
};

/**
Creates the job of a dispatch.
@param connectionId - the id of the connection on which the dispatch was received.
@param dispatch - the dispatch message.
@param nowMs - the current time.
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
		sentMessages: [],
		endedMs: undefined,
		workspace: dispatch.workspace,
		weight: dispatch.weight,
		// Work that is in time precedes late work. Later stages precede earlier ones, since upstream time has already been spent on the stages before them.
		rank: (isInTime ? onTimeRankBonus : 0) + dispatch.stageIndex,
		dueMs: nowMs + dispatch.dueInMs,
	};
}

/**
Returns the offset at which the answer to a dispatch starts.
@param dispatch - the dispatch message.
@returns the number of units that the caller already has.
*/
export function resumeOffsetOf(dispatch: DispatchMessage): number {
	return dispatch.call.kind === 'generate' ? dispatch.call.resumeOffset : 0;
}

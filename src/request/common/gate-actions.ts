/** The inputs of a gate (limits and ends of calls) and the actions that it returns. */
import type {DispatchMessage, EndState, Message} from '../../wire/common/messages.js';

/** Limits of a gate: the dispatches it runs at once, and those it queues. */
export type GateLimits = {readonly slots: number; readonly maxQueue: number};

/** An action to perform for a dispatch. */
export type GateAction
	= | {readonly type: 'send'; readonly connectionId: number; readonly message: Message}
		| {readonly type: 'start'; readonly dispatch: DispatchMessage}
		| {readonly type: 'abort'; readonly dispatchId: string}
	/** Resumes or pauses reading the upstream's stream. */
		| {readonly type: 'flow'; readonly dispatchId: string; readonly isOpen: boolean};

/** How a call to the upstream ended. */
export type CallEnd = {
	/** `notRun` only if nothing was written to the upstream, or the upstream itself reported that it did not start. */
	readonly state: EndState | 'notRun';
	readonly reason?: string;
};

/** What a gate is told, and what it says is to be done. */
import type {DispatchMessage, EndState, Message} from '../../wire/common/messages.js';

/** Limits of a gate. */
export type GateLimits = {readonly slots: number; readonly maxQueue: number};

/** Something to be done for a dispatch. */
export type GateAction
	= | {readonly type: 'send'; readonly connectionId: number; readonly message: Message}
		| {readonly type: 'start'; readonly dispatch: DispatchMessage}
		| {readonly type: 'abort'; readonly dispatchId: string}
	/** The upstream's stream may go on, or shall wait. */
		| {readonly type: 'flow'; readonly dispatchId: string; readonly isOpen: boolean};

/** How a call to the upstream ended. */
export type CallEnd = {
	/** `notRun` only where nothing was written to the upstream, or it said itself that it did not start. */
	readonly state: EndState | 'notRun';
	readonly reason?: string;
};

/** The events that the state machine of a request handles, and the actions that it returns. */
import type {
	ChunkMessage, DispatchMessage, EndMessage, RefusedMessage, StartedMessage,
} from '../../wire/common/messages.js';
import type {
	HttpResponseHead, PreparationFailure, PreparedInputs, RequestOutcome, RequestResult,
} from './request-plan.js';
import type {StreamOrigin} from './stream-origin.js';

/** An event that concerns a request. */
export type RequestEvent
	= | {readonly type: 'start'}
		| {readonly type: 'claimed'}
		/** The preparation of the request is complete. */
		| {readonly type: 'prepared'; readonly inputs: PreparedInputs}
		| {readonly type: 'preparationFailed'; readonly failure: PreparationFailure}
		| {readonly type: 'claimRefused'; readonly code: 'storeUnavailable' | 'duplicateRequest'; readonly message: string}
	/** The dispatch could not be written to a connection. */
		| {readonly type: 'notSent'; readonly dispatchId: string}
		| RefusedMessage
		| StartedMessage
		| ChunkMessage
		| EndMessage
		| {readonly type: 'connectionLost'; readonly upstreamId: string}
	/** The same incarnation of an agent has reconnected. */
		| {readonly type: 'reconnected'; readonly upstreamId: string}
	/** The incarnation of the agent that held the dispatch is permanently gone. */
		| {readonly type: 'incarnationGone'; readonly upstreamId: string}
		| {readonly type: 'candidatesChanged'}
		| {readonly type: 'callerGone'}
	/** Some request was quarantined, possibly this one. */
		| {readonly type: 'standingChanged'}
	/** The process is about to stop. */
		| {readonly type: 'hostStops'}
	/** The host has no memory for more of the answer. */
		| {readonly type: 'outOfMemory'}
	/** A time that the machine has asked for is reached. */
		| {readonly type: 'tick'; /** Until when the caller did not take what was delivered, so that no more was read; absent if it always did. */ readonly callerBehindUntilMs?: number};

/** An action to perform for a request. */
export type RequestAction
	= | {readonly type: 'claim'}
		| {readonly type: 'prepare'; readonly isAgain: boolean}
	/** Gives up a repeated preparation whose results are no longer needed. */
		| {readonly type: 'stopPreparing'}
		| {readonly type: 'dispatch'; readonly upstreamId: string; readonly message: DispatchMessage}
		| {readonly type: 'cancel'; readonly upstreamId: string; readonly dispatchId: string}
		| {readonly type: 'query'; readonly upstreamId: string; readonly dispatchId: string}
		| {readonly type: 'credit'; readonly upstreamId: string; readonly dispatchId: string; readonly chunks: number}
	/** Delivers units of the answer to a streaming caller. */
		| {readonly type: 'deliver'; readonly units: number; readonly data: Uint8Array; readonly http?: HttpResponseHead; readonly origin?: StreamOrigin}
	/** Gives the caller its final answer; emitted once. */
		| {readonly type: 'finish'; readonly result: RequestResult}
	/** Records the outcome of a request whose caller was given `unknown`; emitted at most once. */
		| {readonly type: 'settle'; readonly outcome: RequestOutcome}
	/** The state machine has finished and can be discarded. */
		| {readonly type: 'close'};

/** What happens to a request, and what is to be done about it. */
import type {
	ChunkMessage, DispatchMessage, EndMessage, RefusedMessage, StartedMessage,
} from '../../wire/common/messages.js';
import type {
	HttpHead, PreparationFailure, PreparedInputs, RequestOutcome, RequestResult,
} from './request-plan.js';

/** Something that happened to a request. */
export type RequestEvent
	= | {readonly type: 'start'}
		| {readonly type: 'claimed'}
		/** The work before the request is done. */
		| {readonly type: 'prepared'; readonly inputs: PreparedInputs}
		| {readonly type: 'preparationFailed'; readonly failure: PreparationFailure}
		| {readonly type: 'claimRefused'; readonly code: 'storeUnavailable' | 'duplicateRequest'; readonly message: string}
	/** The dispatch was never written to a connection. */
		| {readonly type: 'notSent'; readonly dispatchId: string}
		| RefusedMessage
		| StartedMessage
		| ChunkMessage
		| EndMessage
		| {readonly type: 'connectionLost'; readonly upstreamId: string}
	/** The same incarnation of an agent is connected again. */
		| {readonly type: 'reconnected'; readonly upstreamId: string}
	/** The incarnation that had the dispatch is gone for good. */
		| {readonly type: 'incarnationGone'; readonly upstreamId: string}
		| {readonly type: 'candidatesChanged'}
		| {readonly type: 'callerGone'}
	/** A request was barred from upstreams; it may be this one. */
		| {readonly type: 'standingChanged'}
	/** The process ends in a moment. */
		| {readonly type: 'hostStops'}
		| {readonly type: 'tick'};

/** Something to be done for a request. */
export type RequestAction
	= | {readonly type: 'claim'}
		| {readonly type: 'prepare'; readonly isAgain: boolean}
		| {readonly type: 'dispatch'; readonly upstreamId: string; readonly message: DispatchMessage}
		| {readonly type: 'cancel'; readonly upstreamId: string; readonly dispatchId: string}
		| {readonly type: 'query'; readonly upstreamId: string; readonly dispatchId: string}
		| {readonly type: 'credit'; readonly upstreamId: string; readonly dispatchId: string; readonly chunks: number}
	/** Units of the answer for a streaming caller. */
		| {readonly type: 'deliver'; readonly units: number; readonly data: Uint8Array; readonly http?: HttpHead}
	/** The caller's final answer; comes once. */
		| {readonly type: 'finish'; readonly result: RequestResult}
	/** What became of a request after its caller was told `unknown`; comes at most once. */
		| {readonly type: 'settle'; readonly outcome: RequestOutcome}
	/** Nothing more will happen; the machine may be forgotten. */
		| {readonly type: 'close'};

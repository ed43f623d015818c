/** Port to the protocol of a deployment's callers: what the headers of a request state. */
import type {InjectionToken} from 'tsyringe';
import type {Header} from '../../wire/common/messages.js';

/** What the headers of a caller's request state. */
export type CallerRequest = {
	/** The caller's id of this try of the request; empty where the caller gave none. */
	readonly requestId: string;
	/** How long the caller will still wait; undefined if the caller does not state it. */
	readonly remainingMs: number | undefined;
	/** Id of the server that the request is meant for; undefined unless it was sent to a server. */
	readonly expectedServerId: string | undefined;
	/** Secret that identifies the workspace on whose behalf the request is made. */
	readonly key: string | undefined;
	/** Headers that are forwarded to the upstream unchanged. */
	readonly forwardedHeaders: readonly Header[];
	/** Parts of the prompt in order; the last one belongs only to this request or its session. */
	readonly promptParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Number of pieces in each preparation step. */
	readonly pieceCounts: readonly number[];
	/** Key of the content that the first steps process. */
	readonly pieceKey: string;
	/** Id of the last event that the caller has received of an earlier response. */
	readonly resumeAfter: string | undefined;
	/** The caller's id of the request whose response delivered the first event of the stream that this one resumes. */
	readonly resumedRequestId: string | undefined;
	/** What is wrong with the headers; such a request is rejected. */
	readonly problem: string | undefined;
};

/** Interprets the requests of callers. */
export type CallerProtocol = {
	/**
	Interprets the headers of a request.
	@param headers - the headers in the order in which they were received.
	@param hasKeys - whether the deployment requires keys, which are then not forwarded.
	*/
	read(headers: readonly Header[], hasKeys: boolean): CallerRequest;
};

export const callerProtocolToken: InjectionToken<CallerProtocol> = Symbol('CallerProtocol');

/** Port to the protocol of a deployment's upstreams that a host calls directly. */
import type {InjectionToken} from 'tsyringe';
import type {ServerNotice} from '../../deployment/common/server-notices.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {HttpResponseHead} from '../../request/common/request-plan.js';
import type {HttpCall, RefusalReason} from '../../wire/common/messages.js';

/** A call that this host is about to send. */
export type OutgoingCall = {
	/** Name of the workspace; empty where the caller needed no key. */
	readonly workspace: string;
	readonly http: HttpCall;
	readonly server: UpstreamServer;
	readonly remainingMs: number;
	/** Id of the last event already delivered, where a call resumes a response. */
	readonly resumeAfter: string | undefined;
};

/** What the head of a response shows about its call. */
export type HeadClassification
	= | {readonly kind: 'answer'}
	/** The upstream did not run the call and never will. */
		| {readonly kind: 'notRun'; readonly reason: RefusalReason}
	/** The response belongs to another call, or doesn't come from this upstream. */
		| {readonly kind: 'foreign'; readonly reason: string};

/** Writes the headers of calls to upstreams and interprets the heads of their responses. */
export type UpstreamProtocol = {
	/**
	Returns the headers to send with a call.
	@param call - the call that is about to be sent.
	*/
	requestHeaders(call: OutgoingCall): Header[];
	/**
	Determines from the head of a response whether the call runs.
	@param head - status and headers, with header names in lower case.
	@param callerRequestId - the id that the caller gave the request.
	*/
	classifyHead(head: HttpResponseHead, callerRequestId: string): HeadClassification;
	/**
	Reads what a response reports about its server.
	@param head - status and headers, with header names in lower case.
	*/
	readNotice(head: HttpResponseHead): ServerNotice;
};

type Header = HttpCall['headers'][number];

export const upstreamProtocolToken: InjectionToken<UpstreamProtocol> = Symbol('UpstreamProtocol');

/** Port to the way a deployment's upstreams speak when a host calls them itself. */
import type {InjectionToken} from 'tsyringe';
import type {ServerNotice} from '../../deployment/common/server-notices.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {HttpResponseHead} from '../../request/common/request-plan.js';
import type {HttpCall, RefusalReason} from '../../wire/common/messages.js';

/** One call, as it leaves this host. */
export type OutgoingCall = {
	/** Empty where the caller needed no key. */
	readonly workspace: string;
	readonly http: HttpCall;
	readonly server: UpstreamServer;
	readonly remainingMs: number;
	/** Id of the last event already delivered, where an answer is taken up again. */
	readonly resumeAfter: string | undefined;
};

/** What the head of an answer proves. */
export type HeadReading
	= | {readonly kind: 'answer'}
	/** The work did not run and never will. */
		| {readonly kind: 'notRun'; readonly reason: RefusalReason}
	/** It answers another call, or is no answer of this upstream. */
		| {readonly kind: 'foreign'; readonly reason: string};

/** Speaks to upstreams. */
export type UpstreamProtocol = {
	/**
	Gives the headers of a call.
	@param call - the call.
	*/
	requestHeaders(call: OutgoingCall): Header[];
	/**
	Reads the head of an answer.
	@param head - status and headers, names in small letters.
	@param callerRequestId - the request's name as its caller gave it.
	*/
	readHead(head: HttpResponseHead, callerRequestId: string): HeadReading;
	/**
	Reads what an answer says of its server.
	@param head - status and headers, names in small letters.
	*/
	readNotice(head: HttpResponseHead): ServerNotice;
};

type Header = HttpCall['headers'][number];

export const upstreamProtocolToken: InjectionToken<UpstreamProtocol> = Symbol('UpstreamProtocol');

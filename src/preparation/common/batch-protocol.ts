/** Interface to the wire protocol of a deployment's upstreams that process work in batches. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';
import type {ServerNotice} from '../../deployment/common/server-notices.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Header} from '../../wire/common/messages.js';
import type {BatchCall, CallFailure} from './batch-call.js';
import type {PieceOutcome} from './work.js';

/** A call as written to the connection. */
export type EncodedCall = {readonly method: 'POST'; readonly path: string; readonly headers: readonly Header[]; readonly body: Uint8Array};

/** A response as received. */
export type EncodedResponse = {readonly status: number; readonly headers: readonly Header[]; readonly body: Uint8Array};

/** Encodes calls to upstreams that process work in batches, and decodes their responses. */
export type BatchProtocol = {
	/**
	Encodes a call of several pieces.
	@param call - the call.
	@param requestId - id that the response carries back.
	@param nowMs - the current time.
	*/
	encodeRun(call: BatchCall, requestId: string, nowMs: number): EncodedCall;
	/**
	Decodes the response to a call.
	@param response - the response as received.
	@param call - the call.
	@returns an outcome for each piece, in order, or why the call failed.
	*/
	decodeRun(response: EncodedResponse, call: BatchCall): Outcome<readonly PieceOutcome[], CallFailure>;
	/** Reads what the response to any call reports about its server. */
	readNotice(head: Omit<EncodedResponse, 'body'>): ServerNotice;
	/** Reads the id of its call from the head of a response; undefined if it has none. */
	readRequestId(head: Omit<EncodedResponse, 'body'>): string | undefined;
	/**
	Encodes a notice that results are no longer needed, for the upstream that stores them.
	@param handles - handles of the results.
	@param server - the upstream.
	@param requestId - id that the response carries back.
	*/
	encodeRelease(handles: readonly string[], server: UpstreamServer, requestId: string): EncodedCall;
};

export const batchProtocolToken: InjectionToken<BatchProtocol> = Symbol('BatchProtocol');

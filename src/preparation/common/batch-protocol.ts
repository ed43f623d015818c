/** Port to the way a deployment's upstreams speak that work in batches. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';
import type {ServerNotice} from '../../deployment/common/server-notices.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Header} from '../../wire/common/messages.js';
import type {BatchCall, CallFailure} from './batch-call.js';
import type {PieceOutcome} from './work.js';

/** A call as it is written. */
export type EncodedCall = {readonly method: 'POST'; readonly path: string; readonly headers: readonly Header[]; readonly body: Uint8Array};

/** An answer as it came. */
export type EncodedAnswer = {readonly status: number; readonly headers: readonly Header[]; readonly body: Uint8Array};

/** Speaks to upstreams that work in batches. */
export type BatchProtocol = {
	/** Writes a call of several pieces. */
	encodeRun(call: BatchCall, nowMs: number): EncodedCall;
	/**
	Reads the answer to a call.
	@param answer - as it came.
	@param call - the call.
	@returns an outcome for each piece, in order, or why there is none.
	*/
	decodeRun(answer: EncodedAnswer, call: BatchCall): Outcome<readonly PieceOutcome[], CallFailure>;
	/** Reads what an answer to any call says of its server. */
	readNotice(head: Omit<EncodedAnswer, 'body'>): ServerNotice;
	/** Writes that results are no longer needed by the upstream that made them. */
	encodeRelease(handles: readonly string[], server: UpstreamServer): EncodedCall;
};

export const batchProtocolToken: InjectionToken<BatchProtocol> = Symbol('BatchProtocol');

/** Port to the way callers of a deployment speak: what a request says besides its body. */
import type {InjectionToken} from 'tsyringe';
import type {Header} from '../../wire/common/messages.js';

/** What a caller's request says of itself. */
export type CallerAsk = {
	/** Names this try of the request; empty where the caller gave none. */
	readonly requestId: string;
	/** How long the caller waits. */
	readonly remainingMs: number | undefined;
	/** Proves on whose behalf the request comes. */
	readonly key: string | undefined;
	/** Headers that go on to the upstream as they came. */
	readonly passedHeaders: readonly Header[];
	/** Parts of the prompt, first to last; the last one is the request's own or its session's. */
	readonly promptParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Pieces of each step of preparation. */
	readonly pieceCounts: readonly number[];
	/** What the first steps work on. */
	readonly pieceKey: string;
	/** The last event the caller has of an earlier answer. */
	readonly resumeAfter: string | undefined;
	/** What is wrong with the headers; such a request goes no further. */
	readonly problem: string | undefined;
};

/** Reads callers' requests. */
export type CallerProtocol = {
	/**
	Reads the headers of a request.
	@param headers - in the order in which they came.
	@param hasKeys - whether the deployment wants keys, which then go no further.
	*/
	read(headers: readonly Header[], hasKeys: boolean): CallerAsk;
};

export const callerProtocolToken: InjectionToken<CallerProtocol> = Symbol('CallerProtocol');

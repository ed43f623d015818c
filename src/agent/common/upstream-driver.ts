/** How an agent calls its upstream: one driver for each kind. */
import type {InjectionToken} from 'tsyringe';
import type {CallEnd} from '../../request/common/gate-actions.js';
import type {
	DispatchMessage, LoadedModel, OrderMessage, StartedMessage,
} from '../../wire/common/messages.js';

/** Takes what the upstream gives. */
export type CallSink = {
	/** The upstream has taken the call. */
	started(http?: StartedMessage['http']): void;
	/**
	A piece of the answer.
	@param units - tokens, or 1 for a piece of bytes.
	@param data - the piece; not changed afterwards.
	*/
	piece(units: number, data: Uint8Array): void;
	/** Ends when the sink can take more. */
	ready(): Promise<void>;
};

/** What an upstream tells of itself. */
export type UpstreamState = {readonly slots?: number; readonly models: readonly LoadedModel[]};

/** How an order ended. */
export type OrderEnd = {readonly isAccepted: boolean; readonly reason?: string};

/** Calls one upstream. */
export type UpstreamDriver = {
	/**
	Runs a call to its end.
	@param dispatch - what to run.
	@param sink - takes the answer.
	@param signal - cancels.
	@returns how it ended; `notRun` only with proof.
	*/
	run(dispatch: DispatchMessage, sink: CallSink, signal: AbortSignal): Promise<CallEnd>;
	/** @returns what the upstream tells of itself, or nothing where it tells nothing. */
	readState(): Promise<UpstreamState | undefined>;
	/** Cancels whatever runs on the upstream without an owner, as after a crash of its agent. */
	cancelOrphans(): Promise<void>;
	/**
	Passes an order on.
	@param order - a fenced order.
	*/
	order(order: OrderMessage): Promise<OrderEnd>;
	/** Frees the connections. */
	dispose(): void;
};

export const upstreamDriverToken: InjectionToken<UpstreamDriver> = Symbol('UpstreamDriver');

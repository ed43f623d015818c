/** The interface through which an agent calls its upstream; each kind of upstream has a driver. */
import type {InjectionToken} from 'tsyringe';
import type {CallEnd} from '../../request/common/gate-actions.js';
import type {
	DispatchMessage, LoadedModel, OrderMessage, StartedMessage,
} from '../../wire/common/messages.js';

/** Receives the response of the upstream to one call. */
export type CallSink = {
	/** The upstream has accepted the call. */
	started(http?: StartedMessage['http']): void;
	/**
	Receives a chunk of the response.
	@param units - the number of tokens, or 1 for a chunk of bytes.
	@param data - the chunk; not changed afterwards.
	*/
	chunk(units: number, data: Uint8Array): void;
	/** Resolves when the sink can accept more chunks. */
	ready(): Promise<void>;
};

/** What an upstream reports about itself. */
export type UpstreamState = {readonly slots?: number; readonly models: readonly LoadedModel[]};

/** Outcome of an order. */
export type OrderResult = {readonly isAccepted: boolean; readonly reason?: string};

/** Calls one upstream. */
export type UpstreamDriver = {
	/**
	Runs a call until it ends.
	@param dispatch - the call to run.
	@param sink - receives the response.
	@param signal - cancels the call.
	@returns how the call ended; `notRun` only if it is proven that it did not run.
	*/
	run(dispatch: DispatchMessage, sink: CallSink, signal: AbortSignal): Promise<CallEnd>;
	/** @returns the state that the upstream reports, or `undefined` if it reports none. */
	readState(): Promise<UpstreamState | undefined>;
	/** Cancels all calls on the upstream that have no owner, as after a crash of its agent. */
	cancelOrphans(): Promise<void>;
	/**
	Forwards an order to the upstream.
	@param order - the order; its fence has been checked.
	*/
	order(order: OrderMessage): Promise<OrderResult>;
	/** Closes the connections to the upstream. */
	dispose(): void;
};

export const upstreamDriverToken: InjectionToken<UpstreamDriver> = Symbol('UpstreamDriver');

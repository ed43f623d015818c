/**
Types by which hosts ask the scheduler of a pool when it would get to the steps of a request, and by which the scheduler answers. See
docs/design/hard-load.md.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';

/** Pieces of one step that a request would submit to a pool. */
export type LedgerStep = {readonly stepKey: string; readonly pieces: number; readonly resultBytes: number};

/** What a request asks of a pool. */
export type LedgerAsk = {
	readonly requestId: string;
	/** Priority; 0 is the most urgent. */
	readonly rank: number;
	readonly workspace: string;
	readonly steps: readonly LedgerStep[];
	/** Time at which the first of the steps is expected to be submitted if nothing waits anywhere. */
	readonly readyMs: number;
};

/** Work queued for a pool by one rank and workspace. */
export type QueueLoad = {
	readonly rank: number;
	readonly workspace: string;
	/** Upstream time that the work takes, in milliseconds of one upstream. */
	readonly serverMs: number;
	/** Time for which the results use all the space of one upstream, in milliseconds. */
	readonly spaceMs: number;
	readonly isLate: boolean;
};

/** State of a pool that a quote depends on. */
export type PoolState = {
	/** Upstreams that accept work, a slow one counting as a fraction. */
	readonly upstreamCount: number;
	readonly capacity: BatchCapacity;
	readonly queue: readonly QueueLoad[];
	/** Whether an upstream has no call in progress. */
	readonly hasFree: boolean;
	/** Average time for which a result uses space, from the start of its call until it is released. */
	readonly meanHoldMs: number;
};

/** When a pool would get to the work of a request. */
export type Quote = {
	/** Time until the pool would start work of this rank and workspace, in milliseconds. */
	readonly aheadMs: number;
	/** Expected duration of one call of the pool. */
	readonly callMs: number;
	/** Time until the pool would start the work behind everything else; undefined if the pool has no spare capacity. */
	readonly lateAheadMs: number | undefined;
};

/** Learned durations of the items of a pool's calls. */
export type ItemDurations = {
	/** Returns the duration of one item of a step, in milliseconds. */
	itemMs(stepKey: string | undefined, capacity: BatchCapacity): number;
	/** Returns the upstream time of one piece with its part of the fixed time of a call, in milliseconds. */
	serverMs(stepKey: string | undefined, capacity: BatchCapacity): number;
	/** Returns the expected duration of a call with the given number of pieces of each step, in milliseconds. */
	expectedCallMs(counts: ReadonlyMap<string | undefined, number>, capacity: BatchCapacity): number;
	/** Learns from a finished call; `slowness` is the ratio of actual to expected duration that is typical of the upstream. */
	recordCall(counts: ReadonlyMap<string | undefined, number>, tookMs: number, slowness: number, capacity: BatchCapacity): void;
};

/** Reserved work of one rank and workspace, for logs and metrics. */
export type LedgerStatus = {
	readonly rank: number;
	readonly workspace: string;
	/** Whether the requests were admitted late. */
	readonly isLate: boolean;
	readonly requests: number;
	/** Reserved upstream time, in milliseconds of one upstream. */
	readonly serverMs: number;
	readonly resultBytes: number;
	/** Age of the oldest reservation. */
	readonly oldestMs: number;
};

/** Work that requests have reserved in a pool and have not submitted yet. */
export type AdmissionLedger = {
	/** Returns when the pool would get to what a request asks, and reserves it at once. A repeated call replaces the reservation. */
	quote(ask: LedgerAsk, state: PoolState, nowMs: number): Quote;
	/** Reserves work without a quote, as when its pool had another scheduler before. It replaces the reservation of the request. */
	reserve(ask: LedgerAsk, isLate: boolean, capacity: BatchCapacity, nowMs: number): void;
	/** Drops all reservations. */
	dropReservations(): void;
	/** Drops the reservation of a request that was refused or has ended. */
	forgo(requestId: string): void;
	/** Handles the late admission of a request: what it reserved is no longer work in time. */
	admittedLate(requestId: string): void;
	/** Handles a step that is queued now and therefore no longer reserved. */
	submitted(requestId: string, stepKey: string): void;
	/** Removes reservations that were not used in time. */
	sweep(nowMs: number): void;
	/** Returns the reserved work by rank, workspace and lateness. */
	describe(nowMs: number): LedgerStatus[];
};

/** What one request asks of one pool, as sent to its scheduler. */
export type PoolAsk = Omit<LedgerAsk, 'readyMs'> & {readonly pool: string; readonly readyInMs: number};

/** What one request has reserved in one pool, as repeated to a new scheduler of the pool. */
export type RepeatedReservation = Omit<PoolAsk, 'pool'> & {
	/** Whether the request was admitted late. */
	readonly isLate: boolean;
};

/** Asks the schedulers of pools. */
export type QuoteSource = {
	/**
	Asks for quotes and reserves what is asked.
	@returns the quotes by pool, or undefined if no full set arrived in time.
	*/
	ask(asks: readonly PoolAsk[]): Promise<ReadonlyMap<string, Quote> | undefined>;
	/** Drops the reservations of a request in the given pools. */
	forgo(requestId: string, pools: readonly string[]): void;
	/** Handles the submission of a step: it is no longer reserved. */
	submitted(requestId: string, pool: string, stepKey: string): void;
	/** Reports to the schedulers of the given pools that a request was admitted late on their quotes. */
	admittedLate(requestId: string, pools: readonly string[]): void;
};

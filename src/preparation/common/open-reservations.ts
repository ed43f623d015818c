/**
What the requests of this host have reserved in scheduled pools and have not submitted yet, so that it can be repeated when another host
becomes the scheduler of a pool. See docs/design/hard-load.md.
*/
import type {
	LedgerStep, PoolAsk, Quote, RepeatedReservation,
} from './quotes.js';

/** Bounds of what is repeated in one message. */
export type MessageBounds = {readonly reservations: number; readonly steps: number};

/** What one request has reserved in one pool. */
type OpenReservation = {
	readonly ask: PoolAsk;
	/** The steps that are not submitted, by key. */
	readonly steps: Map<string, LedgerStep>;
	/** Time at which the scheduler expects the steps: when they are ready or it gets to them, whichever is later. */
	expectedMs: number;
	readonly lateExpectedMs: number;
	isLate: boolean;
	/** The scheduler that holds it; undefined if that host is lost. */
	holder: string | undefined;
};

/** Open reservations of one pool that its scheduler doesn't hold. */
export type MissingReservations = {readonly pool: string; readonly owner: string; readonly requestIds: readonly string[]};

/** The open reservations of this host's requests. */
export class OpenReservations {
	/**
	Creates an empty set.
	@param unusedMs - time after the expected one at which ledgers drop a reservation, in milliseconds.
	*/
	static create(unusedMs: number): OpenReservations {
		return new OpenReservations(unusedMs);
	}

	/** Reservations by request, then by pool. */
	private readonly requests = new Map<string, Map<string, OpenReservation>>();

	private constructor(private readonly unusedMs: number) {}

	/** Number of requests with open reservations. */
	get size(): number {
		return this.requests.size;
	}

	/**
	Adds what a request has reserved in one pool.
	@param ask - what the request asked of the pool.
	@param quote - the quote of the scheduler.
	@param holder - the host that gave the quote.
	@param nowMs - the current time.
	*/
	add(ask: PoolAsk, quote: Quote, holder: string, nowMs: number): void {
		const {requestId, pool, steps, readyInMs} = ask;
		const byPool = this.requests.get(requestId) ?? new Map<string, OpenReservation>();
		this.requests.set(requestId, byPool);
		byPool.set(pool, {
			ask,
			steps: new Map(steps.map(step => [step.stepKey, step])),
			expectedMs: nowMs + Math.max(readyInMs, quote.aheadMs),
			lateExpectedMs: nowMs + Math.max(readyInMs, quote.lateAheadMs ?? quote.aheadMs),
			isLate: false,
			holder,
		});
	}

	/** Handles the late admission of a request. */
	admittedLate(requestId: string): void {
		for (const reservation of this.requests.get(requestId)?.values() ?? []) {
			reservation.isLate = true;
			reservation.expectedMs = reservation.lateExpectedMs;
		}
	}

	/** Handles the submission of a step: it is no longer reserved. */
	submitted(requestId: string, pool: string, stepKey: string): void {
		const byPool = this.requests.get(requestId);
		const reservation = byPool?.get(pool);
		if (byPool && reservation) {
			reservation.steps.delete(stepKey);
			if (reservation.steps.size === 0) {
				this.deletePool(requestId, byPool, pool);
			}
		}
	}

	/** Removes what a request has reserved, as when it has ended. */
	delete(requestId: string): void {
		this.requests.delete(requestId);
	}

	/** Handles the loss of a host: it drops what it holds for this one. */
	handleLostPeer(hostId: string): void {
		for (const byPool of this.requests.values()) {
			for (const reservation of byPool.values()) {
				if (reservation.holder === hostId) {
					reservation.holder = undefined;
				}
			}
		}
	}

	/** Removes the reservations that the ledgers drop as unused. */
	sweep(nowMs: number): void {
		for (const [requestId, byPool] of this.requests) {
			for (const [pool, {expectedMs}] of byPool) {
				if (nowMs >= expectedMs + this.unusedMs) {
					this.deletePool(requestId, byPool, pool);
				}
			}
		}
	}

	/**
	Returns the reservations that the schedulers of their pools do not hold.
	@param ownerOf - returns the scheduler of a pool; called once for each pool.
	*/
	missing(ownerOf: (pool: string) => string): MissingReservations[] {
		const pools = new Map<string, {readonly pool: string; readonly owner: string; readonly requestIds: string[]}>();
		for (const [requestId, byPool] of this.requests) {
			for (const [pool, {holder}] of byPool) {
				const missing = pools.get(pool) ?? {pool, owner: ownerOf(pool), requestIds: []};
				pools.set(pool, missing);
				if (holder !== missing.owner) {
					missing.requestIds.push(requestId);
				}
			}
		}

		return [...pools.values()].filter(({requestIds}) => requestIds.length > 0);
	}

	/**
	Returns reservations as repeated to a new scheduler, in parts of the size of a message.
	@param missing - the reservations.
	@param bounds - bounds of a part. A reservation with more steps is a part of its own.
	@param nowMs - the current time.
	*/
	partsOf({pool, requestIds}: MissingReservations, bounds: MessageBounds, nowMs: number): RepeatedReservation[][] {
		const parts: RepeatedReservation[][] = [];
		let stepCount = Infinity;
		for (const requestId of requestIds) {
			const {ask: {rank, workspace}, steps, expectedMs, isLate} = this.requests.get(requestId)!.get(pool)!;
			if (stepCount + steps.size > bounds.steps || parts.at(-1)!.length >= bounds.reservations) {
				parts.push([]);
				stepCount = 0;
			}

			stepCount += steps.size;
			parts.at(-1)!.push({
				requestId, rank, workspace, steps: [...steps.values()], readyInMs: Math.max(0, expectedMs - nowMs), isLate,
			});
		}

		return parts;
	}

	/** Handles a reservation that was repeated to a new scheduler. */
	repeated(requestId: string, pool: string, holder: string): void {
		const reservation = this.requests.get(requestId)?.get(pool);
		if (reservation) {
			reservation.holder = holder;
		}
	}

	private deletePool(requestId: string, byPool: Map<string, OpenReservation>, pool: string): void {
		byPool.delete(pool);
		if (byPool.size === 0) {
			this.requests.delete(requestId);
		}
	}
}

/**
Admission of requests to pools in which the send rate of every upstream is bounded, because the upstream is cold or announces
a limit. Admits the most urgent requests first, and none whose preparation steps would be wasted.

One send is reserved for each request whose steps are running. Further sends are held back for the more urgent requests that
are expected shortly, estimated from their recent rate. Bounded sends would otherwise go to whichever request arrives first,
and a few unused sends cost less than an urgent request that is refused because none remain.
*/
import {toDisposable, type Disposable} from '../../base/common/disposable.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {PoolAvailability} from './pool-availability.js';

/** Time constant with which counted requests decay: as long as the typical window of a send bound. */
const demandWindowMs = 4000;
/** Sends are held back for the urgent requests expected within this time. It is the time until a host may send again to a pool of a few limited upstreams. */
const reservedAheadMs = 1500;

/** Exponentially decayed number of requests of one rank. */
type Demand = {count: number; atMs: number};

/** Admits requests on one host. */
export class BoundedAdmission {
	/**
	Creates an instance without reservations or recorded demand.
	@param availability - provides the number of requests that this host may send to a pool.
	*/
	static create(availability: Pick<PoolAvailability, 'remainingSends' | 'boundedUnavailability'>): BoundedAdmission {
		return new BoundedAdmission(availability);
	}

	/** Recent requests by pool and rank; also counted while a pool is not bounded, since bounds can take effect at any moment. */
	private readonly demandByPool = new Map<string, Map<number, Demand>>();
	/** Number of requests by pool that have started and have yet to be sent to it. */
	private readonly reservedByPool = new Map<string, number>();

	private constructor(private readonly availability: Pick<PoolAvailability, 'remainingSends' | 'boundedUnavailability'>) {}

	/**
	Decides whether a request may start.
	@param pool - the name of the pool that is to serve the request.
	@param rank - rank of the request; 0 is the most urgent.
	@param nowMs - the current time.
	@returns why it may not start, or undefined if it may.
	*/
	admit(pool: string, rank: number, nowMs: number): Unavailability | undefined {
		this.recordDemand(pool, rank, nowMs);
		const remaining = this.availability.remainingSends(pool, nowMs);
		if (remaining === Infinity) {
			return undefined;
		}

		const reserved = this.reservedOf(pool) + this.expectedUrgentSends(pool, rank, nowMs);
		return remaining - reserved >= 1 ? undefined : this.availability.boundedUnavailability(pool, nowMs);
	}

	/**
	Reserves a send for a request that has started and is sent once its preparation steps are complete.
	@param pool - the name of the pool that is to serve the request.
	@returns a disposable that releases the reservation, to be disposed once the request is sent or has ended.
	*/
	reserve(pool: string): Disposable {
		this.reservedByPool.set(pool, this.reservedOf(pool) + 1);
		let isHeld = true;
		return toDisposable(() => {
			if (isHeld) {
				isHeld = false;
				this.reservedByPool.set(pool, this.reservedOf(pool) - 1);
			}
		});
	}

	private reservedOf(pool: string): number {
		return this.reservedByPool.get(pool) ?? 0;
	}

	private recordDemand(pool: string, rank: number, nowMs: number): void {
		const byRank = this.demandByPool.get(pool) ?? new Map<number, Demand>();
		this.demandByPool.set(pool, byRank);
		byRank.set(rank, {count: decayedCount(byRank.get(rank), nowMs) + 1, atMs: nowMs});
	}

	/** Number of sends that more urgent requests are expected to need shortly. */
	private expectedUrgentSends(pool: string, rank: number, nowMs: number): number {
		let count = 0;
		for (const [otherRank, demand] of this.demandByPool.get(pool) ?? []) {
			count += otherRank < rank ? decayedCount(demand, nowMs) : 0;
		}

		return count * reservedAheadMs / demandWindowMs;
	}
}

function decayedCount(demand: Demand | undefined, nowMs: number): number {
	return demand ? demand.count * Math.exp(-(nowMs - demand.atMs) / demandWindowMs) : 0;
}

/**
Which requests may begin where each upstream of their pool is bounded, being cold or naming a limit: the most urgent ones first, and none
whose steps would be done in vain.

A send is kept for each request whose steps are being worked on. Besides, sends are kept back for what more urgent work is
expected to ask for in the next moment, by what came of it of late: a few that stay unused cost less than an urgent request that
finds none left, since what is bounded is taken by whoever comes first otherwise.
*/
import {toDisposable, type Disposable} from '../../base/common/disposable.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {PoolAvailability} from './pool-availability.js';

/** How far back what came counts: as long as the usual window of a bound. */
const demandMs = 4000;
/** Urgent work of this time is provided for: a host's next send to a pool of a few limited upstreams is due within it. */
const providedMs = 1500;

/** Requests of one rank: how many came, each fading with its age. */
type Demand = {count: number; atMs: number};

/** Decides at the door of one host. */
export class BoundedAdmission {
	/**
	Makes one that has admitted nothing.
	@param availability - tells what a pool takes from this host.
	*/
	static create(availability: Pick<PoolAvailability, 'left' | 'boundedText'>): BoundedAdmission {
		return new BoundedAdmission(availability);
	}

	/** What came of late, by pool and rank; counted while nothing is bounded as well, as bounds begin in a moment. */
	private readonly demands = new Map<string, Map<number, Demand>>();
	/** Requests by pool that have begun and will be sent to it. */
	private readonly reserved = new Map<string, number>();

	private constructor(private readonly availability: Pick<PoolAvailability, 'left' | 'boundedText'>) {}

	/**
	Decides whether a request may begin.
	@param pool - that is to serve it.
	@param rank - of the request; 0 is the most urgent.
	@param nowMs - the time.
	@returns why not, or nothing where it may.
	*/
	admit(pool: string, rank: number, nowMs: number): Unavailability | undefined {
		this.count(pool, rank, nowMs);
		const left = this.availability.left(pool, nowMs);
		if (left === Infinity) {
			return undefined;
		}

		const kept = this.reservedOf(pool) + this.urgentSends(pool, rank, nowMs);
		return left - kept >= 1 ? undefined : this.availability.boundedText(pool, nowMs);
	}

	/**
	Keeps a send for a request that has begun and is sent once its steps are done.
	@param pool - that is to serve it.
	@returns disposing gives the send up, as once it is made.
	*/
	reserve(pool: string): Disposable {
		this.reserved.set(pool, this.reservedOf(pool) + 1);
		let isHeld = true;
		return toDisposable(() => {
			if (isHeld) {
				isHeld = false;
				this.reserved.set(pool, this.reservedOf(pool) - 1);
			}
		});
	}

	private reservedOf(pool: string): number {
		return this.reserved.get(pool) ?? 0;
	}

	private count(pool: string, rank: number, nowMs: number): void {
		const byRank = this.demands.get(pool) ?? new Map<number, Demand>();
		this.demands.set(pool, byRank);
		byRank.set(rank, {count: countNow(byRank.get(rank), nowMs) + 1, atMs: nowMs});
	}

	/** Sends that more urgent work is expected to ask for in a moment. */
	private urgentSends(pool: string, rank: number, nowMs: number): number {
		let count = 0;
		for (const [otherRank, demand] of this.demands.get(pool) ?? []) {
			count += otherRank < rank ? countNow(demand, nowMs) : 0;
		}

		return count * providedMs / demandMs;
	}
}

function countNow(demand: Demand | undefined, nowMs: number): number {
	return demand ? demand.count * Math.exp(-(nowMs - demand.atMs) / demandMs) : 0;
}

/** Queue waits of pools, as reported to peers by the hosts that batch them. */
import type {BatchWaitsMessage} from '../../wire/common/messages.js';

/** Time for which a reported wait is valid. */
const toldLifeMs = 500;
/** Number of ranks that are reported separately; higher ranks count as the last one. */
const ranksTold = 6;

/** Reported waits of one pool, by rank. */
export type PoolWaits = BatchWaitsMessage['pools'][number];

/** A pool that this host batches, as the source of its waits. */
export type WaitingPool = {waitMs(rank: number): number};

type Told = {readonly waitMsByRank: readonly number[]; readonly atMs: number};

/** Stores the waits that peers reported, and determines what to report of this host's own pools. */
export class ToldWaits {
	static create(): ToldWaits {
		return new ToldWaits();
	}

	private readonly told = new Map<string, Told>();
	/** Pools of this host whose wait was last reported as more than zero. */
	private readonly waitingPools = new Set<string>();

	/**
	Stores the waits that a peer reported for a pool.
	@param waits - the waits by rank.
	@param nowMs - the current time.
	*/
	take({pool, waitMsByRank}: PoolWaits, nowMs: number): void {
		this.told.set(pool, {waitMsByRank, atMs: nowMs});
	}

	/**
	Returns the reported wait for a pool, in milliseconds.
	@param pool - the pool.
	@param rank - rank of the work.
	@param nowMs - the current time.
	@returns the wait; 0 if none was reported recently.
	*/
	waitMs(pool: string, rank: number, nowMs: number): number {
		const told = this.told.get(pool);
		const isFresh = told !== undefined && nowMs - told.atMs < toldLifeMs;
		return isFresh ? told.waitMsByRank[Math.min(rank, ranksTold - 1)] ?? 0 : 0;
	}

	/**
	Returns the waits to report to peers now: those of pools with a queue, and one report for each queue that has emptied.
	@param pools - the pools that this host batches.
	*/
	news(pools: ReadonlyMap<string, WaitingPool>): PoolWaits[] {
		const news: PoolWaits[] = [];
		for (const [pool, batches] of pools) {
			const waitMsByRank = Array.from({length: ranksTold}, (_, rank) => Math.round(batches.waitMs(rank)));
			const hasWait = waitMsByRank.some(waitMs => waitMs > 0);
			const wasWaiting = this.waitingPools.delete(pool);
			if (hasWait || wasWaiting) {
				news.push({pool, waitMsByRank});
			}

			if (hasWait) {
				this.waitingPools.add(pool);
			}
		}

		return news;
	}
}

/** How long work would wait for a pool, as the host that batches the pool tells its peers. */
import type {BatchWaitsMessage} from '../../wire/common/messages.js';

/** How long a wait that was told is believed. */
const toldLifeMs = 500;
/** Ranks told apart; higher ones count as the last. */
const ranksTold = 6;

/** Waits of one pool by rank, as told. */
export type PoolWaits = BatchWaitsMessage['pools'][number];

/** What is told of a pool that this host batches. */
export type WaitingPool = {waitMs(rank: number): number};

type Told = {readonly waitMsByRank: readonly number[]; readonly atMs: number};

/** Keeps what peers told of their pools, and says what to tell of this host's own. */
export class ToldWaits {
	static create(): ToldWaits {
		return new ToldWaits();
	}

	private readonly told = new Map<string, Told>();
	/** This host's pools whose wait was last told as more than none. */
	private readonly waitingPools = new Set<string>();

	/**
	A peer told how long work would wait for a pool.
	@param waits - by rank.
	@param nowMs - the time.
	*/
	take({pool, waitMsByRank}: PoolWaits, nowMs: number): void {
		this.told.set(pool, {waitMsByRank, atMs: nowMs});
	}

	/**
	Gives the wait that was told of a pool.
	@param pool - the pool.
	@param rank - of the work.
	@param nowMs - the time.
	@returns none where nothing was told of late.
	*/
	waitMs(pool: string, rank: number, nowMs: number): number {
		const told = this.told.get(pool);
		const isFresh = told !== undefined && nowMs - told.atMs < toldLifeMs;
		return isFresh ? told.waitMsByRank[Math.min(rank, ranksTold - 1)] ?? 0 : 0;
	}

	/**
	Says what to tell peers now: pools with a queue, and once each that has none any more.
	@param pools - that this host batches.
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

/** Queue waits of pools, as reported to peers by the hosts that batch them. */
import type {BatchWaitsMessage} from '../../wire/common/messages.js';

/** Time for which a reported wait is valid. */
const reportLifetimeMs = 500;
/** Number of ranks that are reported separately; higher ranks count as the last one. */
const reportedRanks = 6;

/** Reported waits of one pool, by rank. */
export type PoolWaitReport = BatchWaitsMessage['pools'][number];

/** A pool that this host batches, as the source of its waits. */
export type WaitSource = {waitMs(rank: number): number};

type StoredReport = {readonly waitMsByRank: readonly number[]; readonly atMs: number};

/** Stores the waits that peers reported, and determines what to report of this host's own pools. */
export class ReportedWaits {
	static create(): ReportedWaits {
		return new ReportedWaits();
	}

	private readonly reports = new Map<string, StoredReport>();
	/** Pools of this host whose wait was last reported as more than zero. */
	private readonly waitingPools = new Set<string>();

	/**
	Stores the waits that a peer reported for a pool.
	@param waits - the waits by rank.
	@param nowMs - the current time.
	*/
	record({pool, waitMsByRank}: PoolWaitReport, nowMs: number): void {
		this.reports.set(pool, {waitMsByRank, atMs: nowMs});
	}

	/**
	Returns the reported wait for a pool, in milliseconds.
	@param pool - the pool.
	@param rank - rank of the work.
	@param nowMs - the current time.
	@returns the wait; 0 if none was reported recently.
	*/
	waitMs(pool: string, rank: number, nowMs: number): number {
		const report = this.reports.get(pool);
		const isFresh = report !== undefined && nowMs - report.atMs < reportLifetimeMs;
		return isFresh ? report.waitMsByRank[Math.min(rank, reportedRanks - 1)] ?? 0 : 0;
	}

	/**
	Returns the waits to report to peers now: those of pools with a queue, and one report for each queue that has emptied.
	@param pools - the pools that this host batches.
	*/
	updates(pools: ReadonlyMap<string, WaitSource>): PoolWaitReport[] {
		const updates: PoolWaitReport[] = [];
		for (const [pool, source] of pools) {
			const waitMsByRank = Array.from({length: reportedRanks}, (_, rank) => Math.round(source.waitMs(rank)));
			const hasWait = waitMsByRank.some(waitMs => waitMs > 0);
			const wasWaiting = this.waitingPools.delete(pool);
			if (hasWait || wasWaiting) {
				updates.push({pool, waitMsByRank});
			}

			if (hasWait) {
				this.waitingPools.add(pool);
			}
		}

		return updates;
	}
}

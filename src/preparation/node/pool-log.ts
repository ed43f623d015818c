/**
Log lines and metrics of one batched pool: queues that persist, reservations, calls that are slow across the pool, and results
without space.
*/
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import type {BatchCall} from '../common/batch-call.js';
import type {BatchScheduler} from '../common/batch-scheduler.js';
import type {AdmissionLedger, LedgerStatus} from '../common/quotes.js';
import {pieceFailures, type PieceOutcome} from '../common/work.js';

/** Interval at which a queue that does not empty, or reservations, are logged. */
const logIntervalMs = 1000;
/** Ratio of actual to declared call duration above which a pool is logged as slow, and below which it no longer is. */
const slowThreshold = 1.7;
const recoveredThreshold = 1.3;

/** Dependencies and settings. */
export type PoolLogOptions = {
	readonly pool: string;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Logs the state of one pool. */
export class PoolLog {
	static create(options: PoolLogOptions): PoolLog {
		return new PoolLog(options);
	}

	private lastLoggedMs = -Infinity;
	private lastReservationsMs = -Infinity;
	/** Whether the pool was last logged as slow. */
	private isSlow = false;

	private constructor(private readonly options: PoolLogOptions) {}

	/**
	Logs a queue that does not empty, at most once per interval, and whether the pool has become slow or recovered.
	@param scheduler - scheduler of the pool.
	@param servers - upstreams that accept work.
	@param nowMs - the current time.
	*/
	logStatus(scheduler: Pick<BatchScheduler, 'waitingCount' | 'describe' | 'typicalSlowness'>, servers: readonly UpstreamServer[], nowMs: number): void {
		const {pool, log} = this.options;
		if (scheduler.waitingCount > 0 && nowMs - this.lastLoggedMs >= logIntervalMs) {
			this.lastLoggedMs = nowMs;
			log.info(requestLogMessages.poolBacklog, {pool, servers: servers.length, ...scheduler.describe(nowMs)});
		}

		this.logSlowness(scheduler.typicalSlowness(servers, nowMs), servers.length);
	}

	/**
	Logs the reservations of a pool that has any, at most once per interval.
	@param ledger - the reservations.
	@param nowMs - the current time.
	*/
	logReservations(ledger: Pick<AdmissionLedger, 'describe'>, nowMs: number): void {
		if (nowMs - this.lastReservationsMs < logIntervalMs) {
			return;
		}

		const statuses = ledger.describe(nowMs);
		if (statuses.length === 0) {
			return;
		}

		this.lastReservationsMs = nowMs;
		const inTime = statuses.filter(({isLate}) => !isLate);
		const late = statuses.filter(({isLate}) => isLate);
		const serverMsByRank = new Map<number, number>();
		for (const {rank, serverMs} of inTime) {
			serverMsByRank.set(rank, (serverMsByRank.get(rank) ?? 0) + serverMs);
		}

		this.options.log.info('Requests have reserved work in a pool.', {
			pool: this.options.pool,
			requests: sumOf(inTime, 'requests'),
			serverMsByRank: [...serverMsByRank].map(([rank, serverMs]) => `${rank}:${Math.round(serverMs)}`).join(' '),
			lateRequests: sumOf(late, 'requests'),
			lateServerMs: Math.round(sumOf(late, 'serverMs')),
			oldestMs: Math.round(Math.max(...statuses.map(({oldestMs}) => oldestMs))),
		});
	}

	/**
	Logs results for which an upstream had no space.
	@param call - the call that was answered.
	@param outcomes - outcomes of its pieces.
	@param knownBytes - space known to be in use.
	@param capacity - capacity of the upstream.
	*/
	logNoSpace({server, pieces}: BatchCall, outcomes: readonly PieceOutcome[], knownBytes: number, capacity: BatchCapacity): void {
		const refused = outcomes.filter(outcome => !outcome.ok && outcome.reason === pieceFailures.noRoom).length;
		if (refused > 0) {
			const {pool, log, metrics} = this.options;
			log.info('An upstream had no room for results.', {
				pool, server: server.serverId, pieces: pieces.length, refused, knownBytes, roomBytes: capacity.roomBytes,
			});
			metrics.increment('batch.noRoom', refused, {pool});
		}
	}

	/** Logs when calls begin to take longer than declared, because the declaration is wrong or all upstreams have a problem, and when they no longer do. */
	private logSlowness(slowness: number, serverCount: number): void {
		const isSlow = slowness > (this.isSlow ? recoveredThreshold : slowThreshold);
		if (isSlow !== this.isSlow) {
			this.isSlow = isSlow;
			this.options.log.info(isSlow ? 'Calls to a pool take longer than declared.' : 'Calls to a pool take about as long as declared again.', {
				pool: this.options.pool, servers: serverCount, slowness: Number(slowness.toFixed(1)),
			});
		}
	}
}

function sumOf(statuses: readonly LedgerStatus[], field: 'requests' | 'serverMs'): number {
	return statuses.reduce((sum, status) => sum + status[field], 0);
}

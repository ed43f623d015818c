/** What operators are told of one batched pool: queues that stand, workers that are slow as a whole, results without room. */
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import type {BatchCall} from '../common/batch-call.js';
import type {BatchMachine} from '../common/batch-machine.js';
import {pieceFailures, type PieceOutcome} from '../common/work.js';

/** A queue that does not empty is told of this often. */
const tellMs = 1000;
/** Slowness against what is declared from which a pool is told as slow, and below which it no longer is. */
const slowSlowness = 1.7;
const usualAgainSlowness = 1.3;

/** What a pool's log is made of. */
export type PoolLogOptions = {
	readonly pool: string;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Writes of one pool. */
export class PoolLog {
	static create(options: PoolLogOptions): PoolLog {
		return new PoolLog(options);
	}

	private toldMs = -Infinity;
	/** Whether the pool is told as slow. */
	private isSlow = false;

	private constructor(private readonly options: PoolLogOptions) {}

	/**
	Tells how a pool stands, where that is worth a line.
	@param machine - of the pool.
	@param servers - upstreams that may get work.
	@param nowMs - the time.
	*/
	standing(machine: Pick<BatchMachine, 'waitingCount' | 'describe' | 'usualSlowness'>, servers: readonly UpstreamServer[], nowMs: number): void {
		const {pool, log} = this.options;
		if (machine.waitingCount > 0 && nowMs - this.toldMs >= tellMs) {
			this.toldMs = nowMs;
			log.info(requestLogMessages.poolBacklog, {pool, servers: servers.length, ...machine.describe(nowMs)});
		}

		this.slowness(machine.usualSlowness(servers, nowMs), servers.length);
	}

	/**
	Tells of results that an upstream had no room for.
	@param call - that was answered.
	@param outcomes - of its pieces.
	@param knownBytes - room that was known to be taken.
	@param capacity - of the upstream.
	*/
	noRoom({server, pieces}: BatchCall, outcomes: readonly PieceOutcome[], knownBytes: number, capacity: BatchCapacity): void {
		const refused = outcomes.filter(outcome => !outcome.ok && outcome.reason === pieceFailures.noRoom).length;
		if (refused > 0) {
			const {pool, log, metrics} = this.options;
			log.info('An upstream had no room for results.', {
				pool, server: server.serverId, pieces: pieces.length, refused, knownBytes, roomBytes: capacity.roomBytes,
			});
			metrics.increment('batch.noRoom', refused, {pool});
		}
	}

	/** What is declared does not fit, or something ails all workers: told once, and once when it is over. */
	private slowness(slowness: number, serverCount: number): void {
		const isSlow = slowness > (this.isSlow ? usualAgainSlowness : slowSlowness);
		if (isSlow !== this.isSlow) {
			this.isSlow = isSlow;
			this.options.log.info(isSlow ? 'A pool is slower than declared as a whole.' : 'A pool is as fast as declared again.', {
				pool: this.options.pool, servers: serverCount, slowness: Number(slowness.toFixed(1)),
			});
		}
	}
}

/** Measures how many pieces a pool completes while work is queued: what its space for results and its upstreams really allow. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';

const windowMs = 1500;
/** Minimum age of a queue before its throughput is significant: several calls of each upstream. */
const shortestMs = 700;
/**
Share of the declared throughput that is assumed for a pool that made no progress: the hosts may have been lost rather
than its upstreams.
*/
const leastHopedShare = 0.25;

/** Counts the pieces completed while a queue exists. */
export class Throughput {
	static create(): Throughput {
		return new Throughput();
	}

	private done: Array<{readonly atMs: number; readonly pieces: number}> = [];
	private beganMs = 0;

	/** Starts a new measurement when work is queued after a time without a queue. */
	queueBegan(nowMs: number): void {
		this.beganMs = nowMs;
		this.done = [];
	}

	count(pieces: number, nowMs: number): void {
		this.done.push({atMs: nowMs, pieces});
	}

	/**
	Returns the pieces that a pool completes per millisecond: the declared rate, or the measured one if that is lower while
	a queue exists.
	@param upstreams - the number of upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	donePerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		const best = bestPerMs(upstreams, capacity);
		return Math.min(best, this.seenPerMs(nowMs) ?? best);
	}

	/**
	Returns an optimistic estimate of the pieces that a pool completes per millisecond, for when few were completed recently.
	@param upstreams - the number of upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	hopedPerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		return Math.max(this.donePerMs(upstreams, capacity, nowMs), leastHopedShare * bestPerMs(upstreams, capacity));
	}

	/** Pieces completed per millisecond; undefined while the queue is too young. */
	private seenPerMs(nowMs: number): number | undefined {
		const sinceMs = Math.max(this.beganMs, nowMs - windowMs);
		if (nowMs - sinceMs < shortestMs) {
			return undefined;
		}

		this.done = this.done.filter(({atMs}) => atMs > sinceMs);
		const pieces = this.done.reduce((sum, item) => sum + item.pieces, 0);
		return Math.max(1, pieces) / (nowMs - sinceMs);
	}
}

/**
Returns the declared duration of a full call, in milliseconds.
@param capacity - capacity of one upstream.
*/
export function fullCallMs({callMs, batchSize, itemMs}: BatchCapacity): number {
	return callMs + (batchSize * itemMs);
}

/** Declared number of pieces per millisecond with full calls. */
function bestPerMs(upstreams: number, capacity: BatchCapacity): number {
	return (upstreams * capacity.batchSize) / fullCallMs(capacity);
}

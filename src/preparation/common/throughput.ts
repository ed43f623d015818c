/** Measures how many pieces a pool completes while work is queued, and thus what its upstreams and their space for results really allow. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';

const windowMs = 1500;
/** Minimum age of a queue before its throughput is significant: several calls of each upstream. */
const minQueueAgeMs = 700;
/**
Minimum share of the declared throughput that is assumed, even for a pool that made no progress: the cause may be lost
hosts rather than its upstreams.
*/
const minAssumedShare = 0.25;

/** Counts the pieces completed while a queue exists. */
export class Throughput {
	static create(): Throughput {
		return new Throughput();
	}

	private completed: Array<{readonly atMs: number; readonly pieces: number}> = [];
	private queueStartMs = 0;

	/** Starts a new measurement when work is queued after a time without a queue. */
	startQueue(nowMs: number): void {
		this.queueStartMs = nowMs;
		this.completed = [];
	}

	record(pieces: number, nowMs: number): void {
		this.completed.push({atMs: nowMs, pieces});
	}

	/**
	Returns the pieces that a pool completes per millisecond: the declared rate, or the measured one if that is lower while
	a queue exists.
	@param upstreams - the number of upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	piecesPerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		const declaredRate = declaredPerMs(upstreams, capacity);
		return Math.min(declaredRate, this.measuredPerMs(nowMs) ?? declaredRate);
	}

	/**
	Returns an optimistic estimate of the pieces that a pool completes per millisecond, for when few were completed recently.
	@param upstreams - the number of upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	optimisticPiecesPerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		return Math.max(this.piecesPerMs(upstreams, capacity, nowMs), minAssumedShare * declaredPerMs(upstreams, capacity));
	}

	/** Pieces completed per millisecond; undefined while the queue is too young. */
	private measuredPerMs(nowMs: number): number | undefined {
		const sinceMs = Math.max(this.queueStartMs, nowMs - windowMs);
		if (nowMs - sinceMs < minQueueAgeMs) {
			return undefined;
		}

		this.completed = this.completed.filter(({atMs}) => atMs > sinceMs);
		const pieces = this.completed.reduce((sum, item) => sum + item.pieces, 0);
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
function declaredPerMs(upstreams: number, capacity: BatchCapacity): number {
	return (upstreams * capacity.batchSize) / fullCallMs(capacity);
}

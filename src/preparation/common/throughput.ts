/**
Measures how much work a pool completes while work is queued, and thus what its upstreams and their space for results really
allow. The unit is that of the pool's `CallTimes`: pieces, or upstream time in milliseconds.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';

const windowMs = 1500;
/** Minimum age of a queue before its throughput is significant: several calls of each upstream. */
const minQueueAgeMs = 700;
/**
Minimum share of the expected throughput that is assumed, even for a pool that made no progress: the cause may be lost
hosts rather than its upstreams.
*/
const minAssumedShare = 0.25;

/** Sums the work completed while a queue exists. */
export class Throughput {
	static create(): Throughput {
		return new Throughput();
	}

	private completed: Array<{readonly atMs: number; readonly amount: number}> = [];
	private queueStartMs = 0;

	/** Starts a new measurement when work is queued after a time without a queue. */
	startQueue(nowMs: number): void {
		this.queueStartMs = nowMs;
		this.completed = [];
	}

	record(amount: number, nowMs: number): void {
		this.completed.push({atMs: nowMs, amount});
	}

	/**
	Returns the work that a pool completes per millisecond: the expected rate, or the measured one if that is lower while a queue
	exists.
	@param expectedPerMs - rate with full calls.
	@param minAmount - work that is assumed to be completed in any case: one piece.
	@param nowMs - the current time.
	*/
	amountPerMs(expectedPerMs: number, minAmount: number, nowMs: number): number {
		return Math.min(expectedPerMs, this.measuredPerMs(minAmount, nowMs) ?? expectedPerMs);
	}

	/**
	Returns an optimistic estimate of the work that a pool completes per millisecond, for when little was completed recently.
	@param expectedPerMs - rate with full calls.
	@param minAmount - work that is assumed to be completed in any case: one piece.
	@param nowMs - the current time.
	*/
	optimisticAmountPerMs(expectedPerMs: number, minAmount: number, nowMs: number): number {
		return Math.max(this.amountPerMs(expectedPerMs, minAmount, nowMs), minAssumedShare * expectedPerMs);
	}

	/** Work completed per millisecond; undefined while the queue is too young. */
	private measuredPerMs(minAmount: number, nowMs: number): number | undefined {
		const sinceMs = Math.max(this.queueStartMs, nowMs - windowMs);
		if (nowMs - sinceMs < minQueueAgeMs) {
			return undefined;
		}

		this.completed = this.completed.filter(({atMs}) => atMs > sinceMs);
		const amount = this.completed.reduce((sum, item) => sum + item.amount, 0);
		return Math.max(minAmount, amount) / (nowMs - sinceMs);
	}
}

/**
Returns the declared duration of a full call, in milliseconds.
@param capacity - capacity of one upstream.
*/
export function fullCallMs({callMs, batchSize, itemMs}: BatchCapacity): number {
	return callMs + (batchSize * itemMs);
}

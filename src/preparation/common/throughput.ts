/** How many pieces a pool gets done while work waits for it: what its room and its upstreams really give. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';

const windowMs = 1500;
/** A queue must have stood this long before its throughput says anything: several calls of each upstream. */
const shortestMs = 700;
/** A pool that has stood still is believed to do this part of what it can: it may have stood still as the hosts were lost, not its upstreams. */
const leastHopedShare = 0.25;

/** Counts what is done while a queue stands. */
export class Throughput {
	static create(): Throughput {
		return new Throughput();
	}

	private done: Array<{readonly atMs: number; readonly pieces: number}> = [];
	private beganMs = 0;

	/** Work waits from now on, after a time without a queue. */
	queueBegan(nowMs: number): void {
		this.beganMs = nowMs;
		this.done = [];
	}

	count(pieces: number, nowMs: number): void {
		this.done.push({atMs: nowMs, pieces});
	}

	/**
	Gives the pieces that a pool does in a millisecond: as declared, or less where less is seen while a queue stands.
	@param upstreams - how many of them work.
	@param capacity - of each.
	@param nowMs - the time.
	*/
	donePerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		const best = bestPerMs(upstreams, capacity);
		return Math.min(best, this.seenPerMs(nowMs) ?? best);
	}

	/**
	Gives the pieces that a pool may be hoped to do in a millisecond, though little was seen of late.
	@param upstreams - how many of them work.
	@param capacity - of each.
	@param nowMs - the time.
	*/
	hopedPerMs(upstreams: number, capacity: BatchCapacity, nowMs: number): number {
		return Math.max(this.donePerMs(upstreams, capacity, nowMs), leastHopedShare * bestPerMs(upstreams, capacity));
	}

	/** What was done in a millisecond; nothing while the queue has not stood long enough. */
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
Gives the time of a full call, as declared.
@param capacity - of one upstream.
*/
export function fullCallMs({callMs, batchSize, itemMs}: BatchCapacity): number {
	return callMs + (batchSize * itemMs);
}

/** Pieces that a pool does in a millisecond in full calls. */
function bestPerMs(upstreams: number, capacity: BatchCapacity): number {
	return (upstreams * capacity.batchSize) / fullCallMs(capacity);
}

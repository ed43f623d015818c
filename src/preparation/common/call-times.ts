/**
Durations of calls and the amount of queued work, either as declared or as learned. Pools that are not scheduled count pieces and
use the declared times; scheduled pools count upstream time, since pieces of different steps take different times.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import type {ItemDurations} from './quotes.js';
import {fullCallMs} from './throughput.js';

/** Amounts of work, in a unit that depends on the class, and durations of calls. */
export type CallTimes = {
	/** Returns the amount of work of one piece. */
	amountOf(item: BatchPiece, capacity: BatchCapacity): number;
	/** Returns the amount of work of a piece about which nothing is known. */
	typicalAmount(capacity: BatchCapacity): number;
	/** Returns the amount of work that a number of upstreams do per millisecond with full calls. */
	amountPerMs(upstreams: number, capacity: BatchCapacity): number;
	/** Returns the expected duration of a call, in milliseconds. */
	expectedMs(pieces: readonly BatchPiece[], capacity: BatchCapacity): number;
	/** Returns the expected duration of a full call with pieces such as the given ones, in milliseconds. */
	fullCallMs(pieces: readonly BatchPiece[], capacity: BatchCapacity): number;
	/**
	Learns from a finished call.
	@param slowness - ratio of actual to expected duration that is typical of the upstream.
	*/
	record(pieces: readonly BatchPiece[], tookMs: number, slowness: number, capacity: BatchCapacity): void;
};

/** Declared times; the amount of work is the number of pieces. */
export class DeclaredTimes implements CallTimes {
	static create(): DeclaredTimes {
		return new DeclaredTimes();
	}

	amountOf(): number {
		return 1;
	}

	typicalAmount(): number {
		return 1;
	}

	amountPerMs(upstreams: number, capacity: BatchCapacity): number {
		return (upstreams * capacity.batchSize) / fullCallMs(capacity);
	}

	expectedMs(pieces: readonly BatchPiece[], {callMs, itemMs}: BatchCapacity): number {
		return callMs + (pieces.length * itemMs);
	}

	fullCallMs(_pieces: readonly BatchPiece[], capacity: BatchCapacity): number {
		return fullCallMs(capacity);
	}

	record(): void {
		// Nothing is learned.
	}
}

/** Learned times; the amount of work is the upstream time, in milliseconds. */
export class LearnedTimes implements CallTimes {
	/**
	Creates an instance.
	@param itemDurations - learned durations by step.
	*/
	static create(itemDurations: ItemDurations): LearnedTimes {
		return new LearnedTimes(itemDurations);
	}

	private constructor(private readonly itemDurations: ItemDurations) {}

	amountOf({work}: BatchPiece, capacity: BatchCapacity): number {
		return this.itemDurations.serverMs(work.stepKey, capacity);
	}

	typicalAmount(capacity: BatchCapacity): number {
		return this.itemDurations.serverMs(undefined, capacity);
	}

	amountPerMs(upstreams: number): number {
		return upstreams;
	}

	expectedMs(pieces: readonly BatchPiece[], capacity: BatchCapacity): number {
		return this.itemDurations.expectedCallMs(countsOf(pieces), capacity);
	}

	fullCallMs(pieces: readonly BatchPiece[], capacity: BatchCapacity): number {
		if (pieces.length === 0) {
			return fullCallMs(capacity);
		}

		let sumMs = 0;
		for (const [stepKey, count] of countsOf(pieces)) {
			sumMs += count * this.itemDurations.itemMs(stepKey, capacity);
		}

		return capacity.callMs + (capacity.batchSize * sumMs / pieces.length);
	}

	record(pieces: readonly BatchPiece[], tookMs: number, slowness: number, capacity: BatchCapacity): void {
		this.itemDurations.recordCall(countsOf(pieces), tookMs, slowness, capacity);
	}
}

function countsOf(pieces: readonly BatchPiece[]): Map<string | undefined, number> {
	const counts = new Map<string | undefined, number>();
	for (const {work: {stepKey}} of pieces) {
		counts.set(stepKey, (counts.get(stepKey) ?? 0) + 1);
	}

	return counts;
}

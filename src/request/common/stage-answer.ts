/** The answer of one stage as it is received: its chunks in order, and their number of units. */
import {ByteQueue} from '../../base/common/byte-queue.js';
import type {HttpResponseHead} from './request-plan.js';

const maxAnswerBytes = 32 * 1024 * 1024;

/** Accumulates the chunks of an answer; chunks are never removed. */
export class StageAnswer {
	static create(): StageAnswer {
		return new StageAnswer();
	}

	/** Head of the response that began the answer, if it has one. */
	head: HttpResponseHead | undefined;
	private readonly received = ByteQueue.create();
	private unitCount = 0;

	get units(): number {
		return this.unitCount;
	}

	/** A copy of all bytes received so far. */
	get body(): Uint8Array {
		return this.received.copy();
	}

	/**
	Counts a chunk whose bytes are kept elsewhere.
	@param units - the number of units in the chunk.
	*/
	count(units: number): void {
		this.unitCount += units;
	}

	/**
	Appends the next chunk.
	@param units - the number of units in the chunk.
	@param data - the chunk.
	*/
	add(units: number, data: Uint8Array): void {
		this.received.append(data);
		this.unitCount += units;
	}
}

/** Returns whether an answer of this size exceeds the maximum. */
export function isTooLarge(sizeBytes: number): boolean {
	return sizeBytes > maxAnswerBytes;
}

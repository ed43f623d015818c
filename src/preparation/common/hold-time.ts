/** Average time for which results use space at the upstreams of a pool, from the start of their call until they are released. */

/** Weight that earlier results keep when another one is released: the average follows a change after about fifty results. */
const retainedWeight = 0.98;
/** Assumed time from the end of a call until its results are released, before any was released. */
const firstReleaseMs = 250;

/** Moving average of hold times. Results count by their size, since large ones determine how long space is in use. */
export class HoldTime {
	static create(): HoldTime {
		return new HoldTime();
	}

	private weightedSumMs = 0;
	private weightSum = 0;

	/**
	Records a released or expired result.
	@param heldMs - time from the start of its call.
	@param bytes - its size.
	*/
	record(heldMs: number, bytes: number): void {
		const weight = Math.max(1, bytes);
		this.weightedSumMs = (this.weightedSumMs * retainedWeight) + (heldMs * weight);
		this.weightSum = (this.weightSum * retainedWeight) + weight;
	}

	/**
	Returns the average, in milliseconds.
	@param callMs - expected duration of a full call, for the estimate before any result was released.
	*/
	meanMs(callMs: number): number {
		return this.weightSum > 0 ? this.weightedSumMs / this.weightSum : callMs + firstReleaseMs;
	}
}

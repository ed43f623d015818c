/** How long steps take from their asking to their end, learned by pool: waits for upstreams and for room included. */

/** Weight of a new time: some ten of them follow a change, within a second under load. */
const smoothing = 0.1;
/** A time counts as this many times what is usual at most: what gave way to others says little about the pool. */
const mostFactor = 3;

/** Learns the times of steps. */
export class StepTimes {
	static create(): StepTimes {
		return new StepTimes();
	}

	private readonly usual = new Map<string, number>();

	/**
	A step is done.
	@param pool - that did it.
	@param tookMs - from its asking to its end.
	*/
	record(pool: string, tookMs: number): void {
		const usualMs = this.usual.get(pool);
		this.usual.set(pool, usualMs === undefined ? tookMs : usualMs + (smoothing * (Math.min(tookMs, usualMs * mostFactor) - usualMs)));
	}

	/** @returns the usual time of a pool's steps, or nothing before one was done. */
	usualMs(pool: string): number | undefined {
		return this.usual.get(pool);
	}
}

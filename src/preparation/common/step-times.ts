/** Tracks by pool how long steps take from submission to completion, including waits for upstreams and for space. */

/** Weight of a new duration: about ten of them follow a change, which takes less than a second under load. */
const smoothing = 0.1;
/**
Durations are capped at this multiple of the typical one: a step that gave way to more urgent ones says little about the
pool.
*/
const mostFactor = 3;

/** Moving averages of step durations. */
export class StepTimes {
	static create(): StepTimes {
		return new StepTimes();
	}

	private readonly usual = new Map<string, number>();

	/**
	Records the duration of a finished step.
	@param pool - the pool that processed it.
	@param tookMs - time from submission to completion.
	*/
	record(pool: string, tookMs: number): void {
		const usualMs = this.usual.get(pool);
		this.usual.set(pool, usualMs === undefined ? tookMs : usualMs + (smoothing * (Math.min(tookMs, usualMs * mostFactor) - usualMs)));
	}

	/** @returns the typical duration of the pool's steps, or undefined before one is done. */
	usualMs(pool: string): number | undefined {
		return this.usual.get(pool);
	}
}

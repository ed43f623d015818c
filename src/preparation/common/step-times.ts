/** Tracks by pool how long steps take from submission to completion, including waits for upstreams and for space. */

/** Weight of a new duration: the average follows a change after about ten steps, which takes less than a second under load. */
const smoothing = 0.1;
/**
Durations are capped at this multiple of the typical one: a step that was delayed by more urgent ones indicates little about the
pool.
*/
const maxFactor = 3;

/** Moving averages of step durations. */
export class StepTimes {
	static create(): StepTimes {
		return new StepTimes();
	}

	private readonly typical = new Map<string, number>();

	/**
	Records the duration of a finished step.
	@param pool - the pool that processed it.
	@param tookMs - time from submission to completion.
	*/
	record(pool: string, tookMs: number): void {
		const typicalMs = this.typical.get(pool);
		this.typical.set(pool, typicalMs === undefined ? tookMs : typicalMs + (smoothing * (Math.min(tookMs, typicalMs * maxFactor) - typicalMs)));
	}

	/** @returns the typical duration of the pool's steps, or undefined before one is done. */
	typicalMs(pool: string): number | undefined {
		return this.typical.get(pool);
	}
}

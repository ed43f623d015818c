/** Creates the trace of a stage: its attempts, and how much of their upstream time contributed to the answer. */
import type {Attempt} from './attempt.js';
import type {StageTrace} from './request-plan.js';

/** The data from which a trace is created. */
export type TraceParts = Pick<StageTrace, 'stage' | 'heldMs' | 'tookMs'> & {
	readonly attempts: readonly Attempt[];
	/** Returns whether an attempt's units are part of the answer. */
	readonly isUseful: (attempt: Attempt) => boolean;
};

/**
Creates the trace of a stage.
@param parts - the times and attempts of the stage.
@returns the trace, with upstream time divided into useful and wasted time.
*/
export function makeStageTrace({stage, heldMs, tookMs, attempts, isUseful}: TraceParts): StageTrace {
	let usefulMs = 0;
	let wastedMs = 0;
	for (const attempt of attempts) {
		if (isUseful(attempt)) {
			usefulMs += attempt.runMs;
		} else {
			wastedMs += attempt.runMs;
		}
	}

	return {
		stage, heldMs, tookMs, attempts: attempts.map(attempt => attempt.trace()), usefulMs, wastedMs,
	};
}

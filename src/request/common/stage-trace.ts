/** The trace of a stage: its attempts, and what of their time went into the answer. */
import type {Attempt} from './attempt.js';
import type {StageTrace} from './request-plan.js';

/** What a trace is made of. */
export type TraceParts = Pick<StageTrace, 'stage' | 'heldMs' | 'tookMs'> & {
	readonly attempts: readonly Attempt[];
	/** Whether an attempt's units are part of the answer. */
	readonly isUseful: (attempt: Attempt) => boolean;
};

/**
Makes the trace of a stage.
@param parts - times and attempts.
@returns the trace, with upstream time useful and wasted.
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

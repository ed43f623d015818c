/** Tells operators that the machine slept. */
import type {Clock} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';

/**
Writes a log line for each sleep, and counts them.
@param clock - that notices it.
@param log - where to.
@param metrics - counts `host.slept` and, where only the time of day is known to have jumped, `host.mayHaveSlept`.
@returns disposing ends it.
*/
export function logSuspensions(clock: Clock, log: Logger, metrics: Metrics): Disposable {
	return clock.onDidResume(({forMs, isSure}) => {
		const fields = {forMs: Math.round(forMs)};
		if (isSure) {
			log.warn('This host slept; that time counts.', fields);
			metrics.increment('host.slept', 1);
		} else {
			log.warn('The time of day jumped ahead. Whether this host slept can\'t be told, as no boot clock keeps step with its steady clock.', fields);
			metrics.increment('host.mayHaveSlept', 1);
		}
	});
}

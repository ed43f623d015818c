/** Reports suspensions of the machine to operators. */
import type {Clock} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';

/**
Logs and counts suspensions.
@param clock - detects the suspensions.
@param log - receives a warning for each.
@param metrics - counts `host.slept` and, where it is only certain that the wall clock jumped, `host.mayHaveSlept`.
@returns a disposable that stops the reports.
*/
export function logSuspensions(clock: Clock, log: Logger, metrics: Metrics): Disposable {
	return clock.onDidResume(({forMs, isSure}) => {
		const fields = {forMs: Math.round(forMs)};
		if (isSure) {
			log.warn('This host slept; that time counts.', fields);
			metrics.increment('host.slept', 1);
		} else {
			log.warn('The wall clock jumped ahead. Whether this host was suspended is unknown, because no boot clock is consistent with its monotonic clock.', fields);
			metrics.increment('host.mayHaveSlept', 1);
		}
	});
}

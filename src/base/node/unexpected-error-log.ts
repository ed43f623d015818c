/** Makes the unexpected errors of a process visible: in its log, and in the metric `process.unexpectedErrors`. */
import type {Clock} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import {messageOf} from '../common/errors.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';
import {setUnexpectedErrorHandler} from '../common/unexpected-errors.js';

/** The line about an unexpected error. */
export const unexpectedErrorMessage = 'A part of this process failed unexpectedly; the others go on.';
/** Minimum time between lines about errors of the same place: an error may occur with each request. */
const minIntervalMs = 5000;
const maxReasonLength = 500;
const maxStackLength = 2000;

/**
Logs and counts unexpected errors.
@param log - receives a line at level `error` for the first error of a place, and for further ones at most every five seconds.
@param metrics - counts all of them by their place.
@param clock - the time source.
@returns a disposable that ends it.
*/
export function logUnexpectedErrors(log: Logger, metrics: Metrics, clock: Clock): Disposable {
	const places = new Map<string, {loggedMs: number; count: number}>();
	return setUnexpectedErrorHandler((place, error) => {
		metrics.increment('process.unexpectedErrors', 1, {place});
		const seen = places.get(place) ?? {loggedMs: -Infinity, count: 0};
		places.set(place, seen);
		seen.count++;
		const nowMs = clock.nowMs();
		if (nowMs - seen.loggedMs < minIntervalMs) {
			return;
		}

		log.error(unexpectedErrorMessage, {
			place,
			count: seen.count,
			reason: messageOf(error).slice(0, maxReasonLength),
			...(error instanceof Error && {name: error.name, stack: error.stack?.slice(0, maxStackLength)}),
		});
		seen.loggedMs = nowMs;
		seen.count = 0;
	});
}

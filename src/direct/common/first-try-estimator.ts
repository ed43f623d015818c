/**
Estimates how long ago a caller first sent a request, from the remaining time that callers of its route state. Most requests
are first tries and state their full time limit, so a shorter remaining time indicates how much of it has passed.

The estimate is chosen per route. Where most callers state the same remaining time, that is the limit of all callers, and
the difference to it has passed. Where callers have different limits, a remaining time below the longest one indicates
nothing: on a route whose limits vary by 15%, half of all first tries would count as late by a fifth of their target. In
that case only a caller with less time than nearly all others is taken for a returning one, and the median remaining time is
taken as its limit.
*/

/** Samples are kept for at least this long, and at most twice as long. */
const windowMs = 10_000;
/**
With fewer samples than this in both windows the route's own time limit is used, as after a start, when most callers are
returning. The value is small because a first try that is taken for a returning caller is queued behind others, whereas the
opposite mistake costs nothing.
*/
const minSamples = 5;
/** Samples kept per window: enough to determine the lowest tenth. */
const maxSamplesPerWindow = 100;
/** Callers are taken to have the same limit where at least this share of them state the longest remaining time. */
const commonLimitShare = 0.5;
/** Share of the longest remaining time that may have passed in transit; a remaining time that is shorter by no more than this counts as equal to the longest. */
const transitShare = 0.01;
/** Where limits differ, first tries within this lowest share of remaining times are taken for returning callers. */
const returningShare = 0.1;

/** Remaining times that callers stated, each capped at the route's time limit. */
type Window = {readonly sinceMs: number; readonly remainingMs: number[]};

/** Learns the time limits of callers by route. */
export class FirstTryEstimator {
	static create(): FirstTryEstimator {
		return new FirstTryEstimator();
	}

	/** The current and the previous window of each route. */
	private readonly windows = new Map<string, readonly [Window, Window]>();

	/**
	Records a request and estimates how long ago its caller first sent it.
	@param route - name of the route.
	@param timeLimitMs - the longest time for which the route holds a request.
	@param remainingMs - how long the caller will still wait; undefined if the caller does not state it.
	@param nowMs - the current time.
	@returns the time in milliseconds; 0 for a first try.
	*/
	sinceFirstTryMs(route: string, timeLimitMs: number, remainingMs: number | undefined, nowMs: number): number {
		if (remainingMs === undefined) {
			return 0;
		}

		const [current, previous] = this.windowsOf(route, nowMs);
		const cappedRemainingMs = Math.min(timeLimitMs, remainingMs);
		current.remainingMs.push(cappedRemainingMs);
		if (current.remainingMs.length > maxSamplesPerWindow) {
			current.remainingMs.shift();
		}

		const samplesMs = [...current.remainingMs, ...previous.remainingMs].toSorted((left, right) => left - right);
		return samplesMs.length < minSamples ? timeLimitMs - cappedRemainingMs : estimateElapsedMs(cappedRemainingMs, samplesMs);
	}

	private windowsOf(route: string, nowMs: number): readonly [Window, Window] {
		const known = this.windows.get(route);
		if (known && nowMs < known[0].sinceMs + windowMs) {
			return known;
		}

		const isRecent = known !== undefined && nowMs < known[0].sinceMs + (2 * windowMs);
		const windows = [emptyWindow(nowMs), isRecent ? known[0] : emptyWindow(nowMs)] as const;
		this.windows.set(route, windows);
		return windows;
	}
}

/**
Estimates how long ago a caller first sent its request.
@param remainingMs - the caller's remaining time.
@param samplesMs - remaining times of callers of its route, in ascending order.
@returns the time in milliseconds; 0 for a first try.
*/
function estimateElapsedMs(remainingMs: number, samplesMs: readonly number[]): number {
	const longestMs = samplesMs.at(-1)!;
	const longestCount = samplesMs.filter(each => each >= longestMs * (1 - transitShare)).length;
	if (longestCount >= samplesMs.length * commonLimitShare) {
		return longestMs - remainingMs;
	}

	const isTypical = remainingMs >= samplesMs[Math.floor(samplesMs.length * returningShare)];
	return isTypical ? 0 : Math.max(0, samplesMs[Math.floor(samplesMs.length / 2)] - remainingMs);
}

function emptyWindow(sinceMs: number): Window {
	return {sinceMs, remainingMs: []};
}

/**
Estimates how long ago a caller first sent a request, from the remaining time that callers of its route state. Most requests
are first tries and state their full time limit, so a shorter remaining time indicates how much of it has passed.

The estimate is chosen per route. Where most callers state the same remaining time, that is the limit of all callers, and
the difference to it has passed. Where callers have different limits, a remaining time below the longest one indicates
nothing: on a route whose limits vary by 15%, half of all first tries would count as late by a fifth of their target. In
that case only a caller whose remaining time is below the range of the limits is taken for a returning one, and the median
remaining time is taken as its limit.

A host of a large deployment sees only a few requests of some routes. For these the other routes of the same kind indicate
whether limits differ, and how far, as shares of each route's time limit.
*/

import type {Route} from '../../deployment/common/declaration.js';

/** Samples are kept for at least this long, and at most twice as long. */
const windowMs = 10_000;
/**
With fewer samples than this in both windows the samples of the route's kind are used; if these are too few as well, the
route's own time limit, as after a start, when most callers are returning. The value is small because a first try that is
taken for a returning caller is queued behind others, whereas the opposite mistake costs little.
*/
const minSamples = 5;
/**
With fewer samples than this, the range of differing limits is inaccurate: with 5 evenly spread limits 5% of all first
tries are below it. A caller is then taken for a returning one only if the samples of the route's kind show it as well.
*/
const minRangeSamples = 20;
/** Samples kept per window: enough to determine the range of differing limits. */
const maxSamplesPerWindow = 100;
/** Callers are taken to have the same limit where at least this share of them state the longest remaining time. */
const commonLimitShare = 0.5;
/** Share of the longest remaining time that may have passed in transit; a remaining time that is shorter by no more than this counts as equal to the longest. */
const transitShare = 0.01;
/**
Where limits differ, they are taken to reach below the median by this multiple of the distance from the median to the longest
remaining time. Evenly spread limits reach as far below the median as above it; the margin covers inaccurate medians. With
limits spread over 15% and a third of the callers returning, a multiple above 2 includes callers that return after a third
of their limit.
*/
const rangeFactor = 1.5;
/**
Divided by the number of samples, this is added to `rangeFactor`, as few samples often miss the ends of the range: without it
4% of all first tries are below the range of 15 evenly spread limits, with it 2%.
*/
const fewSamplesFactor = 6;

/** Values that were recorded since a time. */
type Window = {readonly sinceMs: number; readonly values: number[]};

/** What the estimate needs to know of a route. */
export type CallerRoute = Pick<Route, 'name' | 'kind' | 'timeoutMs'>;

/** Learns the time limits of callers by route. */
export class FirstTryEstimator {
	static create(): FirstTryEstimator {
		return new FirstTryEstimator();
	}

	/** By name of the route: remaining times that callers stated, in milliseconds, each capped at the route's time limit. */
	private readonly ofRoutes = RecentSamples.create();
	/** By kind of route: the same times, as shares of their route's time limit. */
	private readonly ofKinds = RecentSamples.create();

	/**
	Records a request and estimates how long ago its caller first sent it.
	@param route - the route of the request.
	@param remainingMs - how long the caller will still wait; undefined if the caller does not state it.
	@param nowMs - the current time.
	@returns the time in milliseconds; 0 for a first try.
	*/
	sinceFirstTryMs(route: CallerRoute, remainingMs: number | undefined, nowMs: number): number {
		if (remainingMs === undefined) {
			return 0;
		}

		const {name, kind, timeoutMs} = route;
		const cappedMs = Math.min(timeoutMs, remainingMs);
		const samplesMs = this.ofRoutes.add(name, cappedMs, nowMs);
		const kindShares = this.ofKinds.add(kind, timeoutMs === 0 ? 1 : cappedMs / timeoutMs, nowMs);
		if (samplesMs.length >= minSamples && hasCommonLimit(samplesMs)) {
			return samplesMs.at(-1)! - cappedMs;
		}

		if (samplesMs.length >= minRangeSamples) {
			return elapsedByRangeMs(cappedMs, samplesMs);
		}

		// A limit that is common to a kind but shorter than the whole may be that of a single route, and is not used for others.
		const byKindMs = kindShares.length < minSamples || hasCommonLimit(kindShares)
			? timeoutMs - cappedMs
			: elapsedByRangeMs(cappedMs, kindShares.map(share => share * timeoutMs));
		return samplesMs.length < minSamples ? byKindMs : Math.min(byKindMs, elapsedByRangeMs(cappedMs, samplesMs));
	}
}

/** Samples of the current and the previous window, by key. */
class RecentSamples {
	static create(): RecentSamples {
		return new RecentSamples();
	}

	private readonly windows = new Map<string, readonly [Window, Window]>();

	/**
	Adds a sample.
	@param key - what the sample is of.
	@param value - the sample.
	@param nowMs - the current time.
	@returns the samples of the key including this one, in ascending order.
	*/
	add(key: string, value: number, nowMs: number): readonly number[] {
		const [current, previous] = this.windowsOf(key, nowMs);
		current.values.push(value);
		if (current.values.length > maxSamplesPerWindow) {
			current.values.shift();
		}

		return [...current.values, ...previous.values].toSorted((left, right) => left - right);
	}

	private windowsOf(key: string, nowMs: number): readonly [Window, Window] {
		const known = this.windows.get(key);
		if (known && nowMs < known[0].sinceMs + windowMs) {
			return known;
		}

		const isRecent = known !== undefined && nowMs < known[0].sinceMs + (2 * windowMs);
		const windows = [emptyWindow(nowMs), isRecent ? known[0] : emptyWindow(nowMs)] as const;
		this.windows.set(key, windows);
		return windows;
	}
}

/**
Tells whether most callers have the same limit.
@param samples - remaining times of callers, in ascending order.
@returns whether at least `commonLimitShare` of them equal the longest.
*/
function hasCommonLimit(samples: readonly number[]): boolean {
	const longest = samples.at(-1)!;
	return samples.filter(each => each >= longest * (1 - transitShare)).length >= samples.length * commonLimitShare;
}

/**
Estimates how long ago a caller first sent its request, where limits differ.
@param remainingMs - the caller's remaining time.
@param samplesMs - remaining times of callers, in ascending order.
@returns the time in milliseconds; 0 for a first try.
*/
function elapsedByRangeMs(remainingMs: number, samplesMs: readonly number[]): number {
	const medianMs = samplesMs[Math.floor((samplesMs.length - 1) / 2)];
	const factor = rangeFactor + (fewSamplesFactor / samplesMs.length);
	const shortestLimitMs = medianMs - (factor * (samplesMs.at(-1)! - medianMs));
	return remainingMs >= shortestLimitMs ? 0 : medianMs - remainingMs;
}

function emptyWindow(sinceMs: number): Window {
	return {sinceMs, values: []};
}

/**
How long callers of each route wait in all, learned from the time they say they still have: most come for the first
time and have all of it. What less one has tells how long ago it first asked.

Which way fits is found out for each route. Where most say the same, that is the limit of all, and what is missing has
passed. Where callers have limits of their own, having less than the longest says nothing: on a route whose limits are spread
over 15%, half of all first tries would count as a fifth of their target late. Only who has less than nearly all others is
taken for a returning caller then, one of usual limit.
*/

/** What callers said is kept for this long at least, twice as long at most. */
const windowMs = 10_000;
/**
Below this many requests in the windows the route's own bound stands in, as after a start, when most who come have asked
before. Few, since taking a first try for a returning one puts it behind others, and the other mistake costs nothing.
*/
const fewestSeen = 5;
/** Values kept of each window: enough for a tenth to be told from the rest. */
const mostKept = 100;
/** Callers have the same limit where this part of them have the longest one, but for the part that is the way's. */
const sameShare = 0.5;
const wayShare = 0.01;
/** Part of first tries that has less time than is taken for a first try's, where limits differ. */
const lowShare = 0.1;

/** The times that callers said they still have; never more than the route's bound. */
type Window = {readonly sinceMs: number; readonly remainingMs: number[]};

/** Learns the limits of callers. */
export class FirstTries {
	static create(): FirstTries {
		return new FirstTries();
	}

	/** The present window of each route, and the one before it. */
	private readonly windows = new Map<string, readonly [Window, Window]>();

	/**
	A request came; tells how long ago its caller first asked.
	@param route - its route's name.
	@param boundMs - the longest time the route holds a request.
	@param remainingMs - how long the caller still waits; absent where it doesn't say.
	@param nowMs - the time.
	@returns 0 for a first try.
	*/
	sinceFirstTryMs(route: string, boundMs: number, remainingMs: number | undefined, nowMs: number): number {
		if (remainingMs === undefined) {
			return 0;
		}

		const [present, before] = this.windowsOf(route, nowMs);
		const leftMs = Math.min(boundMs, remainingMs);
		present.remainingMs.push(leftMs);
		if (present.remainingMs.length > mostKept) {
			present.remainingMs.shift();
		}

		const seenMs = [...present.remainingMs, ...before.remainingMs].toSorted((left, right) => left - right);
		return seenMs.length < fewestSeen ? boundMs - leftMs : sinceOf(leftMs, seenMs);
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
Tells how long ago a caller first asked.
@param leftMs - the time that it has left.
@param seenMs - what callers of its route had left, the least first.
*/
function sinceOf(leftMs: number, seenMs: readonly number[]): number {
	const longestMs = seenMs.at(-1)!;
	const atLongest = seenMs.filter(each => each >= longestMs * (1 - wayShare)).length;
	if (atLongest >= seenMs.length * sameShare) {
		return longestMs - leftMs;
	}

	const isUsual = leftMs >= seenMs[Math.floor(seenMs.length * lowShare)];
	return isUsual ? 0 : Math.max(0, seenMs[Math.floor(seenMs.length / 2)] - leftMs);
}

function emptyWindow(sinceMs: number): Window {
	return {sinceMs, remainingMs: []};
}

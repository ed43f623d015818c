/**
How long callers of each route wait in all, learned from the time they say they still have: most come for the first
time and have all of it. What less one has tells how long ago it first asked.
*/

/** The longest time seen is kept for this long at least, twice as long at most. */
const windowMs = 10_000;
/**
Below this many requests in the windows the route's own bound stands in, as after a start, when most who come have asked
before. Few, since taking a first try for a returning one puts it behind others, and the other mistake costs nothing.
*/
const fewestSeen = 5;

type Window = {readonly sinceMs: number; longestMs: number; seen: number};

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
		present.longestMs = Math.max(present.longestMs, remainingMs);
		present.seen++;
		const isKnown = present.seen + before.seen >= fewestSeen;
		const limitMs = isKnown ? Math.min(boundMs, Math.max(present.longestMs, before.longestMs)) : boundMs;
		return Math.max(0, limitMs - remainingMs);
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

function emptyWindow(sinceMs: number): Window {
	return {sinceMs, longestMs: 0, seen: 0};
}

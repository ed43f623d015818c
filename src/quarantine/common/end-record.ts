/**
Which starts of servers ended while they ran a request of which content, as all hosts together know it.

For each content a set of ends that only grows, a set of those that count no more because the same content has run to
a good end since, and how often it was tried again. The sets merge by union and the number by its maximum, so that it does not
matter how late, how often or in which order hosts tell each other.
*/

/** What is remembered of one content, as hosts tell it. */
export type ContentEnds = {
	readonly contentId: string;
	/** Starts that ended, and how long ago. */
	readonly ends: ReadonlyArray<{readonly serverId: string; readonly ageMs: number}>;
	/** Starts whose end does not count. */
	readonly cleared: readonly string[];
	/** How often it was tried again after it was barred, and how long ago the last time; absent where it was not. */
	readonly trials?: {readonly count: number; readonly ageMs: number};
};

/** How long a content is remembered after its last end or trial: longer than it is ever barred at once. */
export const rememberMs = 7_200_000;
/** Contents that are remembered, about 300 bytes each; beyond them those that are not barred go first. */
const mostContents = 10_000;
/** Ends of one content that are remembered, cleared or not: a content that is asked for all day meets many. */
const mostEnds = 64;

/** How long a content is barred before it is tried once: who was only unlucky is served again after that. */
const firstBarMs = 60_000;
/**
It doubles with each trial, or each end where pieces were tried, up to this: a request that ends servers costs six of them in the
first hour after it was barred, then one an hour.
*/
const longestBarMs = 3_600_000;

type Entry = {readonly ends: Map<string, number>; readonly cleared: Set<string>; trialCount: number; triedMs: number; keptUntilMs: number};

/** Holds the ends of all contents. */
export class EndRecord {
	/**
	Makes an empty record.
	@param barredAfter - ends of one content after which it is sent no more.
	*/
	static create(barredAfter: number): EndRecord {
		return new EndRecord(barredAfter);
	}

	/** By content; the one that was changed longest ago first. */
	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly barredAfter: number) {}

	get size(): number {
		return this.entries.size;
	}

	/**
	Counts the ends that speak against a content.
	@param contentId - the content.
	@param nowMs - the time.
	*/
	countOf(contentId: string, nowMs: number): number {
		return this.current(contentId, nowMs)?.ends.size ?? 0;
	}

	/** Gives the contents that are remembered. */
	get contentIds(): Iterable<string> {
		return this.entries.keys();
	}

	/**
	Tells until when a content is sent to no server.
	@param contentId - the content.
	@param nowMs - the time.
	@returns a time that is over for one that is not barred, or that may be tried again.
	*/
	barredUntilMs(contentId: string, nowMs: number): number {
		const entry = this.current(contentId, nowMs);
		if (!entry || entry.ends.size < this.barredAfter) {
			return -Infinity;
		}

		const doublings = Math.max(entry.trialCount, entry.ends.size - this.barredAfter);
		return lastMs(entry) + Math.min(longestBarMs, firstBarMs * (2 ** doublings));
	}

	/**
	A content that was barred is tried once more.
	@param contentId - the content.
	@param nowMs - the time.
	@returns what peers are to know, or nothing for one that is not barred.
	*/
	trial(contentId: string, nowMs: number): ContentEnds | undefined {
		const entry = this.current(contentId, nowMs);
		return entry && entry.ends.size >= this.barredAfter
			? this.merge({
				contentId, ends: [], cleared: [], trials: {count: entry.trialCount + 1, ageMs: 0},
			}, nowMs)
			: undefined;
	}

	/**
	Takes in what is known of a content.
	@param known - from this host or a peer.
	@param nowMs - the time.
	@returns what of it was not known here, or nothing.
	*/
	merge({contentId, ends, cleared, trials}: ContentEnds, nowMs: number): ContentEnds | undefined {
		const entry = this.current(contentId, nowMs) ?? emptyEntry();
		const newlyCleared = cleared.filter(serverId => !entry.cleared.has(serverId));
		for (const serverId of newlyCleared) {
			entry.ends.delete(serverId);
			entry.cleared.add(serverId);
		}

		const newEnds = ends.filter(({serverId, ageMs}) => ageMs < rememberMs && !entry.ends.has(serverId) && !entry.cleared.has(serverId));
		for (const {serverId, ageMs} of newEnds) {
			entry.ends.set(serverId, nowMs - ageMs);
		}

		const isTriedMore = trials !== undefined && trials.count > entry.trialCount;
		if (isTriedMore) {
			entry.trialCount = trials.count;
			entry.triedMs = nowMs - trials.ageMs;
		}

		if (newEnds.length === 0 && newlyCleared.length === 0 && !isTriedMore) {
			return undefined;
		}

		this.keep(contentId, entry, nowMs);
		return {
			contentId, ends: newEnds, cleared: newlyCleared, ...(isTriedMore && {trials}),
		};
	}

	/**
	Gives the starts whose end speaks against a content.
	@param contentId - the content.
	@param nowMs - the time.
	*/
	serversOf(contentId: string, nowMs: number): string[] {
		return [...this.current(contentId, nowMs)?.ends.keys() ?? []];
	}

	/**
	Gives everything that speaks against a content, for a host that may lack it.
	@param nowMs - the time.
	*/
	all(nowMs: number): ContentEnds[] {
		const kept = [...this.entries].filter(([, {ends, keptUntilMs}]) => ends.size > 0 && nowMs < keptUntilMs);
		return kept.map(([contentId, {ends, cleared, trialCount, triedMs}]) => ({
			contentId,
			ends: [...ends].map(([serverId, endedMs]) => ({serverId, ageMs: nowMs - endedMs})),
			cleared: [...cleared],
			...(trialCount > 0 && {trials: {count: trialCount, ageMs: nowMs - triedMs}}),
		}));
	}

	private current(contentId: string, nowMs: number): Entry | undefined {
		const entry = this.entries.get(contentId);
		if (entry && nowMs >= entry.keptUntilMs) {
			this.entries.delete(contentId);
			return undefined;
		}

		return entry;
	}

	private keep(contentId: string, entry: Entry, nowMs: number): void {
		trim(entry);
		entry.keptUntilMs = rememberMs + (entry.ends.size > 0 ? lastMs(entry) : nowMs);
		this.entries.delete(contentId);
		this.entries.set(contentId, entry);
		this.makeRoom();
	}

	private makeRoom(): void {
		for (const [contentId, {ends}] of this.entries) {
			if (this.entries.size <= mostContents) {
				return;
			}

			if (ends.size < this.barredAfter) {
				this.entries.delete(contentId);
			}
		}

		for (const contentId of this.entries.keys()) {
			if (this.entries.size <= mostContents) {
				return;
			}

			this.entries.delete(contentId);
		}
	}
}

function emptyEntry(): Entry {
	return {
		ends: new Map(), cleared: new Set(), trialCount: 0, triedMs: -Infinity, keptUntilMs: 0,
	};
}

/** The last end or trial of a content. */
function lastMs({ends, triedMs}: Entry): number {
	return Math.max(triedMs, ...ends.values());
}

/** Forgets the oldest where there are too many. */
function trim({ends, cleared}: Entry): void {
	for (const serverId of ends.keys()) {
		if (ends.size <= mostEnds) {
			break;
		}

		ends.delete(serverId);
	}

	for (const serverId of cleared) {
		if (cleared.size <= mostEnds) {
			break;
		}

		cleared.delete(serverId);
	}
}

/**
Records which server processes crashed while they ran a request of which content, replicated between all hosts.

A server process is one start of a server; its `serverId` names that start. For each content the record holds a grow-only set of
crashes, a set of those that no longer count because the same content has since run to completion, and the number of trial
requests. The sets merge by union and the number by its maximum, so the result does not depend on how late, how often or in which
order hosts report to each other.
*/

/** What is recorded for one content, as hosts send it to each other. */
export type ContentEnds = {
	readonly contentId: string;
	/** Server processes that crashed, and how long ago. */
	readonly ends: ReadonlyArray<{readonly serverId: string; readonly ageMs: number}>;
	/** Server processes whose crash does not count. */
	readonly cleared: readonly string[];
	/** Number of trial requests after the content was barred, and the age of the last one; absent if there was none. */
	readonly trials?: {readonly count: number; readonly ageMs: number};
};

/** Retention of a content after its last crash or trial request; longer than the longest time for which it is barred. */
export const rememberMs = 7_200_000;
/** Maximum number of recorded contents, about 300 bytes each. Beyond it, contents that are not barred are evicted first. */
const mostContents = 10_000;
/** Maximum number of crashes recorded for one content, and of cleared ones: a content that is requested all day is present at many. */
const mostEnds = 64;

/** How long a content is barred before its first trial request: one that is harmless and was only present at crashes is served again after that. */
const firstBarMs = 60_000;
/**
Maximum time for which a content is barred. The time doubles with each trial request, or with each further crash where pieces of
batches were tried: a request that crashes servers costs six of them in the first hour after it was barred, then one an hour.
*/
const longestBarMs = 3_600_000;

type Entry = {readonly ends: Map<string, number>; readonly cleared: Set<string>; trialCount: number; triedMs: number; keptUntilMs: number};

/** Holds the crashes of all contents. */
export class EndRecord {
	/**
	Creates an empty record.
	@param barredAfter - number of crashes of one content after which it is barred.
	*/
	static create(barredAfter: number): EndRecord {
		return new EndRecord(barredAfter);
	}

	/** By content id; the least recently changed first. */
	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly barredAfter: number) {}

	get size(): number {
		return this.entries.size;
	}

	/**
	Counts the crashes that count against a content.
	@param contentId - the content.
	@param nowMs - the current time.
	*/
	countOf(contentId: string, nowMs: number): number {
		return this.current(contentId, nowMs)?.ends.size ?? 0;
	}

	/** The ids of all recorded contents, expired ones included. */
	get contentIds(): Iterable<string> {
		return this.entries.keys();
	}

	/**
	Computes until when a content is barred, that is, sent to no server.
	@param contentId - the content.
	@param nowMs - the current time.
	@returns a time in the past if the content is not barred, or if a trial request may be sent.
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
	Records that a trial request of a barred content is sent.
	@param contentId - the content.
	@param nowMs - the current time.
	@returns the update for peers, or `undefined` if the content has too few crashes to be barred.
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
	Merges what this host or a peer knows of a content.
	@param known - the crashes, cleared crashes and trial requests of the content.
	@param nowMs - the current time.
	@returns the part that was not known here, or `undefined` if there was none.
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
	Lists the server processes whose crash counts against a content.
	@param contentId - the content.
	@param nowMs - the current time.
	*/
	serversOf(contentId: string, nowMs: number): string[] {
		return [...this.current(contentId, nowMs)?.ends.keys() ?? []];
	}

	/**
	Lists all contents that have crashes, for a host that may not know them.
	@param nowMs - the current time.
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

/** Returns the time of the last crash or trial request of a content. */
function lastMs({ends, triedMs}: Entry): number {
	return Math.max(triedMs, ...ends.values());
}

/** Drops the oldest crashes beyond the maximum. */
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

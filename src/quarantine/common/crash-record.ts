/**
Records which server processes crashed while they ran a request of which content, replicated between all hosts.

A server process is one start of a server; its `serverId` names that start. For each content the record holds a grow-only set of
crashes, a set of those that no longer count because the same content has since run to completion, and the number of trial
requests. The sets merge by union and the number by its maximum, so the result does not depend on how late, how often or in which
order hosts report to each other.
*/

import {CrashEntries, dropOldest} from './crash-entries.js';

/** What is recorded for one content, as hosts send it to each other. */
export type ContentCrashes = {
	readonly contentId: string;
	/** Server processes that crashed, and how long ago. */
	readonly ends: ReadonlyArray<{readonly serverId: string; readonly ageMs: number}>;
	/** Server processes whose crash does not count. */
	readonly cleared: readonly string[];
	/** Number of trial requests after the content was barred, and the age of the last one; absent if there was none. */
	readonly trials?: {readonly count: number; readonly ageMs: number};
};

/** Retention of a content after its last crash or trial request; longer than the longest time for which it is barred. */
export const retentionMs = 7_200_000;
/** Maximum number of recorded contents, about 300 bytes each. */
const maxContents = 10_000;

/**
How long a content is barred before its first trial request. A harmless content that was only present at crashes is served again
after that.
*/
const initialBarMs = 60_000;
/**
Maximum time for which a content is barred. The time doubles with each trial request; if pieces of batches were tried instead, it
doubles with each further crash. A request that crashes servers costs six of them in the first hour after it was barred, then one
an hour.
*/
const maxBarMs = 3_600_000;

type Entry = {readonly crashes: Map<string, number>; readonly cleared: Set<string>; trialCount: number; lastTrialMs: number; expiresAtMs: number};

/** Holds the crashes of all contents. */
export class CrashRecord {
	/**
	Creates an empty record.
	@param crashesToBar - number of crashes of one content after which it is barred.
	*/
	static create(crashesToBar: number): CrashRecord {
		return new CrashRecord(crashesToBar);
	}

	private readonly entries: CrashEntries<Entry>;

	private constructor(private readonly crashesToBar: number) {
		this.entries = CrashEntries.create({maxEntries: maxContents, isBarred: ({crashes}) => crashes.size >= crashesToBar});
	}

	get size(): number {
		return this.entries.size;
	}

	/**
	Returns how many crashes are held against a content; cleared ones are not included.
	@param contentId - id of the content.
	@param nowMs - the current time.
	*/
	crashCountOf(contentId: string, nowMs: number): number {
		return this.entries.get(contentId, nowMs)?.crashes.size ?? 0;
	}

	/** The ids of all recorded contents, expired ones included. */
	get contentIds(): Iterable<string> {
		return this.entries.keys;
	}

	/**
	Computes until when a content is barred, that is, sent to no server.
	@param contentId - id of the content.
	@param nowMs - the current time.
	@returns a time in the past if the content is not barred, or if a trial request may be sent.
	*/
	barredUntilMs(contentId: string, nowMs: number): number {
		const entry = this.entries.get(contentId, nowMs);
		if (!entry || entry.crashes.size < this.crashesToBar) {
			return -Infinity;
		}

		const doublings = Math.max(entry.trialCount, entry.crashes.size - this.crashesToBar);
		return lastEventMs(entry) + Math.min(maxBarMs, initialBarMs * (2 ** doublings));
	}

	/**
	Records that a trial request of a barred content is sent.
	@param contentId - id of the content.
	@param nowMs - the current time.
	@returns the update for peers, or `undefined` if the content has too few crashes to be barred.
	*/
	recordTrial(contentId: string, nowMs: number): ContentCrashes | undefined {
		const entry = this.entries.get(contentId, nowMs);
		return entry && entry.crashes.size >= this.crashesToBar
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
	merge({contentId, ends, cleared, trials}: ContentCrashes, nowMs: number): ContentCrashes | undefined {
		const entry = this.entries.get(contentId, nowMs) ?? emptyEntry();
		const newlyCleared = cleared.filter(serverId => !entry.cleared.has(serverId));
		for (const serverId of newlyCleared) {
			entry.crashes.delete(serverId);
			entry.cleared.add(serverId);
		}

		const newCrashes = ends.filter(({serverId, ageMs}) => ageMs < retentionMs && !entry.crashes.has(serverId) && !entry.cleared.has(serverId));
		for (const {serverId, ageMs} of newCrashes) {
			entry.crashes.set(serverId, nowMs - ageMs);
		}

		const hasNewTrials = trials !== undefined && trials.count > entry.trialCount;
		if (hasNewTrials) {
			entry.trialCount = trials.count;
			entry.lastTrialMs = nowMs - trials.ageMs;
		}

		if (newCrashes.length === 0 && newlyCleared.length === 0 && !hasNewTrials) {
			return undefined;
		}

		dropOldest(entry.crashes);
		dropOldest(entry.cleared);
		entry.expiresAtMs = retentionMs + (entry.crashes.size > 0 ? lastEventMs(entry) : nowMs);
		this.entries.store(contentId, entry);
		return {
			contentId, ends: newCrashes, cleared: newlyCleared, ...(hasNewTrials && {trials}),
		};
	}

	/**
	Lists the server processes whose crash counts against a content.
	@param contentId - id of the content.
	@param nowMs - the current time.
	*/
	crashedServersOf(contentId: string, nowMs: number): string[] {
		return [...this.entries.get(contentId, nowMs)?.crashes.keys() ?? []];
	}

	/**
	Lists all contents that have crashes, for a host that may not know them.
	@param nowMs - the current time.
	*/
	all(nowMs: number): ContentCrashes[] {
		const live = this.entries.live(nowMs).filter(([, {crashes}]) => crashes.size > 0);
		return live.map(([contentId, {crashes, cleared, trialCount, lastTrialMs}]) => ({
			contentId,
			ends: [...crashes].map(([serverId, crashedMs]) => ({serverId, ageMs: nowMs - crashedMs})),
			cleared: [...cleared],
			...(trialCount > 0 && {trials: {count: trialCount, ageMs: nowMs - lastTrialMs}}),
		}));
	}
}

function emptyEntry(): Entry {
	return {
		crashes: new Map(), cleared: new Set(), trialCount: 0, lastTrialMs: -Infinity, expiresAtMs: 0,
	};
}

/** Returns the time of the last crash or trial request of a content. */
function lastEventMs({crashes, lastTrialMs}: Entry): number {
	return Math.max(lastTrialMs, ...crashes.values());
}

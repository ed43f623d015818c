/**
Records which server processes crashed while they ran requests with which part of a prompt, replicated between all hosts.

As in the record of contents, crashes and cleared crashes are sets that merge by union, and trial requests by their maximum number, so
that the result does not depend on how late, how often or in which order hosts report to each other.
*/

import {CrashEntries, dropOldest} from './crash-entries.js';

/** What is recorded for one part, as hosts send it to each other. */
export type PartCrashes = {
	readonly part: string;
	/** Server processes that crashed: how long ago, and how long ago the last request with the part was sent to them. */
	readonly crashes: ReadonlyArray<{readonly serverId: string; readonly ageMs: number; readonly sentAgeMs: number}>;
	/** Server processes whose crash does not count, because a request with the part has completed since. */
	readonly cleared: readonly string[];
	/** Number of trial requests, and the age of the last one; absent if there was none. */
	readonly trials?: {readonly count: number; readonly ageMs: number};
};

/** Retention of a part after its last crash or trial request; longer than the longest time for which it is barred. */
const retentionMs = 7_200_000;
/** Maximum number of recorded parts. */
const maxParts = 10_000;

/** Number of crashes after which a part is barred unless a request with it completes. */
export const crashesToBar = 3;
/**
Time from the last of these crashes until the part is barred. Servers that fail at the same time for another reason had the parts in
common that many requests use; some of these complete within this time.
*/
const confirmationMs = 700;
/** Time from the last crash until the first trial request: a part is barred wrongly if it only occurs together with the cause. */
const firstTrialMs = 1500;
/** Time after a trial request that showed nothing, because it was not run or its caller left; it doubles with each trial. */
const inconclusiveBarMs = 5000;
/** Time after a trial request that crashed its server; it doubles with each trial. */
const failedBarMs = 60_000;
const maxBarMs = 3_600_000;
/** Tolerance for the times that hosts report to each other. */
const clockToleranceMs = 200;

type Crash = {readonly crashedMs: number; sentMs: number};
type Entry = {readonly crashes: Map<string, Crash>; readonly cleared: Set<string>; trialCount: number; lastTrialMs: number; expiresAtMs: number};

/** When a barred part may be tried. */
export type PartBar = {
	/** When a request in which it is the only barred part may be sent. */
	readonly aloneMs: number;
	/** When a request with other barred parts may be sent; such a request does not show which part is the cause. */
	readonly jointMs: number;
};

/** Holds the crashes of all parts. */
export class PartRecord {
	static create(): PartRecord {
		return new PartRecord();
	}

	private readonly entries = CrashEntries.create<Entry>({maxEntries: maxParts, isBarred: ({crashes}) => crashes.size >= crashesToBar});

	get size(): number {
		return this.entries.size;
	}

	/**
	Returns when a part may be tried.
	@param part - key of the part.
	@param nowMs - the current time.
	@returns undefined if the part is not barred.
	*/
	barOf(part: string, nowMs: number): PartBar | undefined {
		const barredFromMs = this.barredFromMs(part, nowMs);
		if (barredFromMs === undefined || nowMs < barredFromMs) {
			return undefined;
		}

		const entry = this.entries.get(part, nowMs)!;
		const lastCrashMs = Math.max(...[...entry.crashes.values()].map(({crashedMs}) => crashedMs));
		// A trial request from before the part was barred belongs to an earlier bar, which was lifted.
		const isTried = entry.trialCount > 0 && entry.lastTrialMs >= barredFromMs - clockToleranceMs;
		if (!isTried) {
			return {aloneMs: lastCrashMs + firstTrialMs, jointMs: lastCrashMs + failedBarMs};
		}

		const {trialCount, lastTrialMs} = entry;
		const isFailed = [...entry.crashes.values()].some(({sentMs}) => sentMs >= lastTrialMs - clockToleranceMs);
		const factor = 2 ** (trialCount - 1);
		return {
			aloneMs: lastTrialMs + Math.min(maxBarMs, (isFailed ? failedBarMs : inconclusiveBarMs) * factor),
			jointMs: Math.max(lastTrialMs, lastCrashMs) + Math.min(maxBarMs, failedBarMs * factor),
		};
	}

	/**
	Returns when a part is barred, in the past or the future, if no request with it completes until then.
	@param part - key of the part.
	@param nowMs - the current time.
	@returns undefined if it has too few crashes.
	*/
	barredFromMs(part: string, nowMs: number): number | undefined {
		const entry = this.entries.get(part, nowMs);
		if (!entry || entry.crashes.size < crashesToBar) {
			return undefined;
		}

		const times = [...entry.crashes.values()].map(({crashedMs}) => crashedMs).toSorted((left, right) => left - right);
		return times[crashesToBar - 1] + confirmationMs;
	}

	/**
	Lists the server processes whose crash counts against a part.
	@param part - key of the part.
	@param nowMs - the current time.
	*/
	crashedServersOf(part: string, nowMs: number): string[] {
		return [...this.entries.get(part, nowMs)?.crashes.keys() ?? []];
	}

	/**
	Records that a trial request with a barred part is sent.
	@param part - key of the part.
	@param nowMs - the current time.
	@returns the update for peers.
	*/
	recordTrial(part: string, nowMs: number): PartCrashes | undefined {
		const count = (this.entries.get(part, nowMs)?.trialCount ?? 0) + 1;
		return this.merge({
			part, crashes: [], cleared: [], trials: {count, ageMs: 0},
		}, nowMs);
	}

	/**
	Merges what this host or a peer knows of a part.
	@param known - the crashes, cleared crashes and trial requests of the part.
	@param nowMs - the current time.
	@returns the part that was not known here, or `undefined` if there was none.
	*/
	merge({part, crashes, cleared, trials}: PartCrashes, nowMs: number): PartCrashes | undefined {
		const entry = this.entries.get(part, nowMs) ?? emptyEntry();
		const newlyCleared = cleared.filter(serverId => !entry.cleared.has(serverId));
		for (const serverId of newlyCleared) {
			entry.crashes.delete(serverId);
			entry.cleared.add(serverId);
		}

		const newCrashes = crashes.filter(({serverId, ageMs}) => ageMs < retentionMs && !entry.cleared.has(serverId) && !entry.crashes.has(serverId));
		for (const {serverId, ageMs, sentAgeMs} of crashes) {
			const crash = entry.crashes.get(serverId);
			if (crash) {
				// Several hosts lost calls to the server; the last one sent counts.
				crash.sentMs = Math.max(crash.sentMs, nowMs - sentAgeMs);
			} else if (newCrashes.some(each => each.serverId === serverId)) {
				entry.crashes.set(serverId, {crashedMs: nowMs - ageMs, sentMs: nowMs - sentAgeMs});
			}
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
		entry.expiresAtMs = nowMs + retentionMs;
		this.entries.store(part, entry);
		return {
			part, crashes: newCrashes, cleared: newlyCleared, ...(hasNewTrials && {trials}),
		};
	}

	/**
	Lists all parts that have crashes, for a host that may not know them.
	@param nowMs - the current time.
	*/
	all(nowMs: number): PartCrashes[] {
		const live = this.entries.live(nowMs).filter(([, {crashes}]) => crashes.size > 0);
		return live.map(([part, {crashes, cleared, trialCount, lastTrialMs}]) => ({
			part,
			crashes: [...crashes].map(([serverId, {crashedMs, sentMs}]) => ({serverId, ageMs: Math.max(0, nowMs - crashedMs), sentAgeMs: Math.max(0, nowMs - sentMs)})),
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

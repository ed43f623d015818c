/**
Tracks entries of servers that have been missing since the store was unavailable, and until when each may come back.

A host can't distinguish an outage of the store from a loss of its own connection to it, during which servers may have left. But an outage makes
entries lapse together, while servers leave one at a time. A server whose entry is missing gets work for less time than is allowed for a server that has left.
*/

/**
Time after the recovery of the store during which a missing entry may still come back.
The platform states that entries of live servers are back within about two seconds.
*/
export const lapseGraceMs = 2200;
/**
Fraction of `leavingWithinMs` during which a missing entry may come back, counted from when this host detected that it is missing.
The remainder, 0.7 s of 2 s, allows for the sweep that removes the entry and for the last call to connect.
*/
const maxMissingFraction = 0.65;

/** A missing entry: the revision at which it was missing, and until when it may come back. */
type MissingEntry = {readonly revision: number; readonly untilMs: number};

/** Keeps the missing entries of one host. */
export class MissingEntries {
	/**
	Creates an instance without missing entries.
	@param leavingWithinMs - time after the write to the store within which a leaving server must stop getting work.
	*/
	static create(leavingWithinMs: number): MissingEntries {
		return new MissingEntries(leavingWithinMs);
	}

	/** By `serverId`. */
	private readonly missing = new Map<string, MissingEntry>();
	/** Until when a removed entry may have lapsed because of the outage; Infinity while the store is unavailable. */
	private mayReturnUntilMs = 0;

	private constructor(private readonly leavingWithinMs: number) {}

	/** Records that the store is unavailable: entries that are missing from the lists of peers may have lapsed. */
	markStoreUnavailable(): void {
		this.mayReturnUntilMs = Infinity;
	}

	/**
	Records that the store responds again after it was unavailable: entries that are missing now may have lapsed.
	@param nowMs - current time.
	*/
	markStoreRecovered(nowMs: number): void {
		this.mayReturnUntilMs = nowMs + lapseGraceMs;
	}

	/**
	Returns whether an entry that is removed now may have lapsed because of an outage of the store.
	@param nowMs - current time.
	*/
	mayReturn(nowMs: number): boolean {
		return nowMs < this.mayReturnUntilMs;
	}

	has(serverId: string): boolean {
		return this.missing.has(serverId);
	}

	/**
	Returns the revision at which an entry was missing.
	@param serverId - the server.
	@returns undefined if the entry is not missing.
	*/
	revisionOf(serverId: string): number | undefined {
		return this.missing.get(serverId)?.revision;
	}

	/**
	Records that an entry is missing.
	@param serverId - its server.
	@param revision - the revision at which it is missing.
	@param nowMs - current time.
	*/
	add(serverId: string, revision: number, nowMs: number): void {
		this.missing.set(serverId, {revision, untilMs: Math.min(this.mayReturnUntilMs, nowMs + (this.leavingWithinMs * maxMissingFraction))});
	}

	/**
	Removes an entry that has come back or whose server is gone.
	@param serverId - the server.
	@returns whether the entry was missing.
	*/
	delete(serverId: string): boolean {
		return this.missing.delete(serverId);
	}

	/**
	Returns the servers whose entries can no longer come back.
	@param nowMs - current time.
	*/
	overdue(nowMs: number): string[] {
		return [...this.missing].filter(([, {untilMs}]) => nowMs >= untilMs).map(([serverId]) => serverId);
	}
}

/**
Entries of servers that are missing since the store was away, and until when each may come back.

A host can't tell an outage of the store from a lost path of its own, during which servers may have left. But an outage makes entries lapse together, while
servers leave one after the other: what is missing gets work for less time than a server that left may get any.
*/

/**
How long after the store's return a missing entry may still come back.
The platform's figure: entries of live servers are back within about two seconds.
*/
export const lapseGraceMs = 2200;
/**
Part of the time within which a server that left must get no more, for which a missing entry may come back, counted
from when this host learned of it. The rest, 0.7 s of 2 s, is for the sweep that ends it and for the last call to connect.
*/
const missingShare = 0.65;

/** An entry that is missing: by which writing, and until when it may come back. */
type Missing = {readonly revision: number; readonly untilMs: number};

/** Knows the missing entries of one host. */
export class MissingEntries {
	/**
	Makes one in which nothing is missing.
	@param leavingWithinMs - within this time after the store took it a server that leaves must get no more.
	*/
	static create(leavingWithinMs: number): MissingEntries {
		return new MissingEntries(leavingWithinMs);
	}

	/** By `serverId`. */
	private readonly missing = new Map<string, Missing>();
	/** Until when an entry that goes may have lapsed with the store; Infinity while the store does not answer. */
	private mayReturnUntilMs = 0;

	private constructor(private readonly leavingWithinMs: number) {}

	/** The store does not answer: entries that peers miss may have lapsed. */
	storeLost(): void {
		this.mayReturnUntilMs = Infinity;
	}

	/**
	The store answers again after it was away: entries missing now may have lapsed.
	@param nowMs - the time.
	*/
	storeReturned(nowMs: number): void {
		this.mayReturnUntilMs = nowMs + lapseGraceMs;
	}

	/**
	Tells whether an entry that goes now may have lapsed with the store.
	@param nowMs - the time.
	*/
	mayReturn(nowMs: number): boolean {
		return nowMs < this.mayReturnUntilMs;
	}

	has(serverId: string): boolean {
		return this.missing.has(serverId);
	}

	/**
	Gives the writing that lacks an entry.
	@param serverId - the server.
	@returns nothing for one that is not missing.
	*/
	revisionOf(serverId: string): number | undefined {
		return this.missing.get(serverId)?.revision;
	}

	/**
	An entry is missing.
	@param serverId - its server.
	@param revision - the writing that lacks it.
	@param nowMs - the time.
	*/
	add(serverId: string, revision: number, nowMs: number): void {
		this.missing.set(serverId, {revision, untilMs: Math.min(this.mayReturnUntilMs, nowMs + (this.leavingWithinMs * missingShare))});
	}

	/**
	An entry is back, or its server is gone.
	@param serverId - the server.
	@returns whether it was missing.
	*/
	delete(serverId: string): boolean {
		return this.missing.delete(serverId);
	}

	/**
	Gives the servers whose time to come back is over.
	@param nowMs - the time.
	*/
	overdue(nowMs: number): string[] {
		return [...this.missing].filter(([, {untilMs}]) => nowMs >= untilMs).map(([serverId]) => serverId);
	}
}

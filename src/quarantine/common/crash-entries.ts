/** Entries of a record of crashes, by what the crashes are recorded for: each expires, and their number is bounded. */

/** How long an entry is kept, and how many are. */
export type EntryBounds<T> = {
	/** Maximum number of entries. */
	readonly maxEntries: number;
	/** Returns whether an entry holds a bar; such entries are evicted last. */
	readonly isBarred: (entry: T) => boolean;
};

/** Maximum number of crashes of one entry, and of those that were cleared: what is requested all day is present at many crashes. */
export const maxCrashes = 64;

/** Holds the entries, the least recently stored first. */
export class CrashEntries<T extends {expiresAtMs: number}> {
	static create<T extends {expiresAtMs: number}>(bounds: EntryBounds<T>): CrashEntries<T> {
		return new CrashEntries(bounds);
	}

	private readonly entries = new Map<string, T>();

	private constructor(private readonly bounds: EntryBounds<T>) {}

	get size(): number {
		return this.entries.size;
	}

	/** The keys of all entries, expired ones included. */
	get keys(): Iterable<string> {
		return this.entries.keys();
	}

	/**
	Returns an entry that has not expired.
	@param key - what it was stored for.
	@param nowMs - the current time.
	*/
	get(key: string, nowMs: number): T | undefined {
		const entry = this.entries.get(key);
		if (entry && nowMs >= entry.expiresAtMs) {
			this.entries.delete(key);
			return undefined;
		}

		return entry;
	}

	/**
	Stores an entry, and evicts others if there are too many.
	@param key - what it is stored for.
	@param entry - the entry.
	*/
	store(key: string, entry: T): void {
		this.entries.delete(key);
		this.entries.set(key, entry);
		this.evict(each => !this.bounds.isBarred(each));
		this.evict(() => true);
	}

	/**
	Lists the entries that have not expired.
	@param nowMs - the current time.
	*/
	live(nowMs: number): Array<[string, T]> {
		return [...this.entries].filter(([, {expiresAtMs}]) => nowMs < expiresAtMs);
	}

	private evict(isEvictable: (entry: T) => boolean): void {
		for (const [key, entry] of this.entries) {
			if (this.entries.size <= this.bounds.maxEntries) {
				return;
			}

			if (isEvictable(entry)) {
				this.entries.delete(key);
			}
		}
	}
}

/**
Drops the oldest items beyond the maximum number of crashes.
@param items - server processes in the order in which they were added.
*/
export function dropOldest(items: Map<string, unknown> | Set<string>): void {
	for (const key of items.keys()) {
		if (items.size <= maxCrashes) {
			return;
		}

		items.delete(key);
	}
}

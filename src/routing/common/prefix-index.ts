/** Which upstream may hold which prompt prefix: a hint that decays, never a truth. */

const halfLifeMs = 20_000;
const capacity = 20_000;

type Holder = {readonly upstreamId: string; atMs: number};

/** Remembers where a prefix was last sent. */
export class PrefixIndex {
	static create(): PrefixIndex {
		return new PrefixIndex();
	}

	private readonly holders = new Map<number, Holder[]>();

	/**
	An upstream has worked on a prefix, or reported to hold it.
	@param upstreamId - which.
	@param prefixHash - the prefix; 0 is none.
	@param nowMs - the time.
	*/
	observe(upstreamId: string, prefixHash: number, nowMs: number): void {
		if (prefixHash === 0) {
			return;
		}

		const others = (this.holders.get(prefixHash) ?? []).filter(holder => holder.upstreamId !== upstreamId);
		// Insertion order doubles as age: the oldest prefix is dropped first.
		this.holders.delete(prefixHash);
		this.holders.set(prefixHash, [{upstreamId, atMs: nowMs}, ...others].slice(0, 3));
		if (this.holders.size > capacity) {
			const [oldest] = this.holders.keys();
			this.holders.delete(oldest);
		}
	}

	/**
	Forgets an upstream's prefixes, as when its engine was restarted.
	@param upstreamId - which.
	*/
	forgetUpstream(upstreamId: string): void {
		for (const [prefixHash, holders] of this.holders) {
			const left = holders.filter(holder => holder.upstreamId !== upstreamId);
			if (left.length === 0) {
				this.holders.delete(prefixHash);
			} else {
				this.holders.set(prefixHash, left);
			}
		}
	}

	/**
	Gives the belief that an upstream holds a prefix.
	@param upstreamId - which.
	@param prefixHash - the prefix.
	@param nowMs - the time.
	@returns from 0 to 1.
	*/
	holds(upstreamId: string, prefixHash: number, nowMs: number): number {
		if (prefixHash === 0) {
			return 0;
		}

		const holder = this.holders.get(prefixHash)?.find(item => item.upstreamId === upstreamId);
		return holder ? 2 ** (-(nowMs - holder.atMs) / halfLifeMs) : 0;
	}

	/**
	Finds the upstream that last worked on a prefix.
	@param prefixHash - the prefix.
	@returns its id.
	*/
	likelyHolder(prefixHash: number): string | undefined {
		return this.holders.get(prefixHash)?.[0].upstreamId;
	}
}

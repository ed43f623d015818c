/** Tracks which upstreams may have a prompt prefix in their cache. The result is a hint that decays with time, never a certainty. */

const halfLifeMs = 20_000;
const maxPrefixes = 20_000;

type Holder = {readonly upstreamId: string; atMs: number};

/** Remembers the upstreams that last processed each prefix. */
export class PrefixIndex {
	static create(): PrefixIndex {
		return new PrefixIndex();
	}

	private readonly holders = new Map<number, Holder[]>();

	/**
	Records that an upstream has processed a prefix, or reported that it holds it.
	@param upstreamId - the id of the upstream.
	@param prefixHash - the hash of the prefix; 0 if there is none.
	@param nowMs - the current time.
	*/
	observe(upstreamId: string, prefixHash: number, nowMs: number): void {
		if (prefixHash === 0) {
			return;
		}

		const others = (this.holders.get(prefixHash) ?? []).filter(holder => holder.upstreamId !== upstreamId);
		// Each observed prefix is inserted anew, so the first key of the map is the least recently observed prefix.
		this.holders.delete(prefixHash);
		this.holders.set(prefixHash, [{upstreamId, atMs: nowMs}, ...others].slice(0, 3));
		if (this.holders.size > maxPrefixes) {
			const [oldest] = this.holders.keys();
			this.holders.delete(oldest);
		}
	}

	/**
	Removes all prefixes of an upstream, for example after its engine was restarted.
	@param upstreamId - the id of the upstream.
	*/
	forgetUpstream(upstreamId: string): void {
		for (const [prefixHash, holders] of this.holders) {
			const remaining = holders.filter(holder => holder.upstreamId !== upstreamId);
			if (remaining.length === 0) {
				this.holders.delete(prefixHash);
			} else {
				this.holders.set(prefixHash, remaining);
			}
		}
	}

	/**
	Estimates how likely it is that an upstream still holds a prefix.
	@param upstreamId - the id of the upstream.
	@param prefixHash - the hash of the prefix; 0 if there is none.
	@param nowMs - the current time.
	@returns a likelihood from 0 to 1.
	*/
	holdLikelihood(upstreamId: string, prefixHash: number, nowMs: number): number {
		if (prefixHash === 0) {
			return 0;
		}

		const holder = this.holders.get(prefixHash)?.find(item => item.upstreamId === upstreamId);
		return holder ? 2 ** (-(nowMs - holder.atMs) / halfLifeMs) : 0;
	}

	/**
	Finds the upstream that processed a prefix last.
	@param prefixHash - the hash of the prefix.
	@returns the id of the upstream, or undefined if none is known.
	*/
	likelyHolder(prefixHash: number): string | undefined {
		return this.holders.get(prefixHash)?.[0].upstreamId;
	}
}

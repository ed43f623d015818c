/**
Space for results at one upstream, as far as this host knows: results that this host requested, and space used by results
unknown to it, such as those requested by another host, or by this one before a restart.
*/

/** Share of an upstream's space for results that is used: the upstream may count more space as used than this host does. */
const usableShare = 0.95;
/** Share of the space used by unknown results that is assumed to be still in use after a call that found enough space. */
const unknownRetainedShare = 0.5;
/** Time, about one call, after which an upstream without space is tried again with one result of the size it refused. */
const refusedRetryMs = 250;

type UsedSpace = {readonly bytes: number; readonly untilMs: number};
type StoredResult = UsedSpace & {
	/** Start of the call that stored it. */
	readonly sinceMs: number;
};

/** A result that no longer uses space. */
export type EndedResult = {readonly bytes: number; readonly heldMs: number};

/** Space usage derived from the response to a call. */
export type SpaceReport = {
	/** Total size of the results that were stored. */
	readonly storedBytes: number;
	/** Size of the smallest result that found no space; absent if none was refused. */
	readonly refusedBytes: number | undefined;
};

/** Tracks the space at one upstream. */
export class ResultSpace {
	static create(): ResultSpace {
		return new ResultSpace();
	}

	private readonly results = new Map<string, StoredResult>();
	/** Space used by results unknown to this host; the upstream drops them itself once their retention time has passed. */
	private unknown: UsedSpace | undefined;
	/** Space reserved for one refused result until it is tried again. */
	private refused: UsedSpace | undefined;

	/**
	Returns the space available for new results, in bytes.
	@param roomBytes - space of the upstream, as declared.
	@param nowMs - the current time.
	*/
	freeBytes(roomBytes: number, nowMs: number): number {
		return (roomBytes * usableShare) - this.usedBytes(nowMs);
	}

	/**
	Returns the space in use, in bytes, and removes expired results.
	@param nowMs - the current time.
	*/
	usedBytes(nowMs: number): number {
		let sumBytes = bytesAt(this.unknown, nowMs) + bytesAt(this.refused, nowMs);
		for (const [handle, used] of this.results) {
			if (nowMs >= used.untilMs) {
				this.results.delete(handle);
			} else {
				sumBytes += used.bytes;
			}
		}

		return sumBytes;
	}

	/**
	Records a stored result.
	@param handle - handle of the result.
	@param bytes - its size.
	@param sinceMs - start of its call.
	@param untilMs - when the upstream drops it by itself.
	*/
	add(handle: string, bytes: number, sinceMs: number, untilMs: number): void {
		this.results.set(handle, {bytes, sinceMs, untilMs});
	}

	/**
	Frees the space of a result that was released or lost.
	@param handle - its handle.
	@param nowMs - the current time.
	@returns the result, or undefined if it is unknown.
	*/
	free(handle: string, nowMs: number): EndedResult | undefined {
		const result = this.results.get(handle);
		this.results.delete(handle);
		return result && {bytes: result.bytes, heldMs: Math.min(nowMs, result.untilMs) - result.sinceMs};
	}

	/** Size of the largest result known to be stored. */
	get largestBytes(): number {
		let largestBytes = 0;
		for (const {bytes} of this.results.values()) {
			largestBytes = Math.max(largestBytes, bytes);
		}

		return largestBytes;
	}

	/**
	Updates the estimate with the report of a call, before the results of that call are recorded. If results were refused,
	all space that is not accounted for counts as used until the upstream must have dropped its contents; after a delay one
	result of the refused size is tried.
	@param report - derived from the response to the call.
	@param capacity - space of the upstream, and how long it stores results.
	@param nowMs - the current time.
	@param refusedShare - share of the refused size that counts as used until then.
	*/
	update({storedBytes, refusedBytes}: SpaceReport, capacity: {readonly roomBytes: number; readonly resultTtlMs: number}, nowMs: number, refusedShare = 1): void {
		if (refusedBytes !== undefined) {
			this.unknown = undefined;
			this.refused = undefined;
			const unknownBytes = this.freeBytes(capacity.roomBytes, nowMs) - storedBytes - refusedBytes;
			this.unknown = {bytes: Math.max(0, unknownBytes), untilMs: nowMs + capacity.resultTtlMs};
			this.refused = {bytes: refusedShare * refusedBytes, untilMs: nowMs + refusedRetryMs};
		} else if (this.unknown && storedBytes > 0) {
			this.unknown = {...this.unknown, bytes: this.unknown.bytes * unknownRetainedShare};
		}
	}
}

function bytesAt(used: UsedSpace | undefined, nowMs: number): number {
	return used === undefined || nowMs >= used.untilMs ? 0 : used.bytes;
}

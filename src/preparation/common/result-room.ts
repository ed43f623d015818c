/**
Room for results at one upstream, as far as it is known here: results this host had made, and what something unknown
takes, as results that another host, or this one before a restart, had made.
*/

/** Share of an upstream's room for results that is used: its own count may be ahead of ours. */
const usedRoomShare = 0.95;
/** Part of the room taken by something unknown that is believed to be there still after a call that found enough. */
const unknownRoomKept = 0.5;
/** After this long, about a call, an upstream without room is tried again with one result of the size it refused. */
const roomTryMs = 250;

type Held = {readonly bytes: number; readonly untilMs: number};

/** What a call has told of the room. */
export type RoomReading = {
	/** Results that were made. */
	readonly madeBytes: number;
	/** Size of the smallest result that found no room; absent where all did. */
	readonly refusedBytes: number | undefined;
};

/** Keeps account of the room at one upstream. */
export class ResultRoom {
	static create(): ResultRoom {
		return new ResultRoom();
	}

	private readonly results = new Map<string, Held>();
	/** Room that something unknown takes; it is dropped by the upstream itself in the end. */
	private unknown: Held | undefined;
	/** Room of one refused result until it is tried again. */
	private refused: Held | undefined;

	/**
	Tells how much room is left for new results.
	@param roomBytes - of the upstream, as declared.
	@param nowMs - the time.
	*/
	leftBytes(roomBytes: number, nowMs: number): number {
		return (roomBytes * usedRoomShare) - this.takenBytes(nowMs);
	}

	/**
	Tells how much room is taken; results whose time is over are forgotten on the way.
	@param nowMs - the time.
	*/
	takenBytes(nowMs: number): number {
		let sumBytes = bytesAt(this.unknown, nowMs) + bytesAt(this.refused, nowMs);
		for (const [handle, held] of this.results) {
			if (nowMs >= held.untilMs) {
				this.results.delete(handle);
			} else {
				sumBytes += held.bytes;
			}
		}

		return sumBytes;
	}

	/**
	A result was made.
	@param handle - its name.
	@param bytes - its size.
	@param untilMs - when the upstream drops it by itself.
	*/
	keep(handle: string, bytes: number, untilMs: number): void {
		this.results.set(handle, {bytes, untilMs});
	}

	/** A result was given up, and its room is free. */
	free(handle: string): void {
		this.results.delete(handle);
	}

	/**
	Takes in what a call told, before its results are kept. Where results were refused, all room that isn't accounted
	for counts as taken until it must have been dropped; after a while one result of the refused size is tried.
	@param reading - what it told.
	@param capacity - room of the upstream, and how long it keeps results.
	@param nowMs - the time.
	*/
	learn({madeBytes, refusedBytes}: RoomReading, capacity: {readonly roomBytes: number; readonly resultTtlMs: number}, nowMs: number): void {
		if (refusedBytes !== undefined) {
			this.unknown = undefined;
			this.refused = undefined;
			const unknownBytes = this.leftBytes(capacity.roomBytes, nowMs) - madeBytes - refusedBytes;
			this.unknown = {bytes: Math.max(0, unknownBytes), untilMs: nowMs + capacity.resultTtlMs};
			this.refused = {bytes: refusedBytes, untilMs: nowMs + roomTryMs};
		} else if (this.unknown && madeBytes > 0) {
			this.unknown = {...this.unknown, bytes: this.unknown.bytes * unknownRoomKept};
		}
	}
}

function bytesAt(held: Held | undefined, nowMs: number): number {
	return held === undefined || nowMs >= held.untilMs ? 0 : held.bytes;
}

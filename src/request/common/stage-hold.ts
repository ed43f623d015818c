/** How long a stage is held while no upstream can take it. */

/** How soon upstreams are looked at again: far below the time of a call. */
const holdRetryMs = 20;

/** Follows the times at which one stage is held; whether it is held now is its status. */
export class StageHold {
	/**
	Makes the hold of a stage that no upstream has taken yet.
	@param startMs - when the stage began.
	*/
	static create(startMs: number): StageHold {
		return new StageHold(startMs);
	}

	private totalMs = 0;
	private nextTryMs = Infinity;

	private constructor(private sinceMs: number) {}

	/** Time held so far, without the hold that is not over. */
	get heldMs(): number {
		return this.totalMs;
	}

	/** When upstreams are looked at again. */
	get retryAtMs(): number {
		return this.nextTryMs;
	}

	/**
	Gives the end of the hold.
	@param longestMs - how long the stage may be held at once.
	*/
	endMs(longestMs: number): number {
		return this.sinceMs + longestMs;
	}

	/**
	The stage is held from now on.
	@param nowMs - the time.
	*/
	begin(nowMs: number): void {
		this.sinceMs = nowMs;
	}

	/**
	No upstream can take the stage now.
	@param nowMs - the time.
	*/
	retryLater(nowMs: number): void {
		this.nextTryMs = nowMs + holdRetryMs;
	}

	/**
	The hold is over, with or without an upstream.
	@param nowMs - the time.
	*/
	end(nowMs: number): void {
		this.totalMs += nowMs - this.sinceMs;
	}
}

/** Tracks how long a stage is held while no upstream is available for it. */

/** Interval at which a held stage looks for an upstream again; short compared with the duration of a call. */
const holdRetryIntervalMs = 20;

/** Records the periods during which one stage is held. Whether it is held now is part of the stage's status. */
export class StageHold {
	/**
	Creates the hold of a stage that has not been sent to an upstream yet.
	@param startMs - when the stage began.
	*/
	static create(startMs: number): StageHold {
		return new StageHold(startMs);
	}

	private totalMs = 0;
	private nextRetryMs = Infinity;

	private constructor(private heldSinceMs: number) {}

	/** Total time of all completed holds; a hold in progress is not included. */
	get heldMs(): number {
		return this.totalMs;
	}

	/** When the stage looks for an upstream again. */
	get retryAtMs(): number {
		return this.nextRetryMs;
	}

	/**
	Returns when the current hold must end.
	@param maxHoldMs - the maximum duration of a single hold.
	*/
	endMs(maxHoldMs: number): number {
		return this.heldSinceMs + maxHoldMs;
	}

	/**
	Starts a hold.
	@param nowMs - the current time.
	*/
	begin(nowMs: number): void {
		this.heldSinceMs = nowMs;
	}

	/**
	Schedules the next look for an upstream.
	@param nowMs - the current time.
	*/
	retryLater(nowMs: number): void {
		this.nextRetryMs = nowMs + holdRetryIntervalMs;
	}

	/**
	Ends the hold, whether or not an upstream was found.
	@param nowMs - the current time.
	*/
	end(nowMs: number): void {
		this.totalMs += nowMs - this.heldSinceMs;
	}
}

/** Liveness of one upstream: the sends that have not been answered yet, and when it last responded. */

/** Tracks the unanswered sends to one upstream and whether the upstream should be avoided. */
export class ServerSigns {
	static create(): ServerSigns {
		return new ServerSigns();
	}

	private readonly unanswered = new Map<string, number>();
	private heardMs = -Infinity;
	private avoidedUntilMs = -Infinity;
	private failures = 0;

	/** Number of sends whose answer has not started. */
	get waiting(): number {
		return this.unanswered.size;
	}

	sent(id: string, nowMs: number): void {
		this.unanswered.set(id, nowMs);
	}

	/** Records that an answer started, continued or ended. */
	heard(id: string, nowMs: number): void {
		this.unanswered.delete(id);
		this.heardMs = nowMs;
		this.failures = 0;
		this.avoidedUntilMs = -Infinity;
	}

	/** Removes a send that ended without an answer. */
	forget(id: string): void {
		this.unanswered.delete(id);
	}

	/**
	Records that a connection could not be established or was lost: the upstream is avoided for a time that doubles with each failure.
	@param nowMs - the current time.
	@param firstMs - the duration of the first avoidance.
	@param longestMs - the maximum duration.
	*/
	unreachable(nowMs: number, firstMs: number, longestMs: number): void {
		if (nowMs >= this.avoidedUntilMs) {
			this.avoidedUntilMs = nowMs + Math.min(longestMs, firstMs * (2 ** this.failures));
			this.failures++;
		}
	}

	/**
	Records that the upstream has crashed, although the list of servers may still contain it: it is avoided for a time, unless it responds after all.
	@param nowMs - the current time.
	@param forMs - the time until its entry is removed from the list.
	*/
	ended(nowMs: number, forMs: number): void {
		this.avoidedUntilMs = nowMs + forMs;
	}

	isAvoided(nowMs: number): boolean {
		return nowMs < this.avoidedUntilMs;
	}

	/**
	Computes for how long an answer has been pending while the upstream has not responded at all.
	@param nowMs - the current time.
	@returns the time in milliseconds; 0 if no answer is pending.
	*/
	silentMs(nowMs: number): number {
		const [oldestMs] = this.unanswered.values();
		return oldestMs === undefined ? 0 : Math.max(0, nowMs - Math.max(oldestMs, this.heardMs));
	}
}

/** Signs of life of one upstream: what was sent and not answered yet, and when it was last heard. */

/** Follows the unanswered sends to one upstream. */
export class ServerSigns {
	static create(): ServerSigns {
		return new ServerSigns();
	}

	private readonly unanswered = new Map<string, number>();
	private heardMs = -Infinity;
	private avoidedUntilMs = -Infinity;
	private failures = 0;

	/** Sends whose answer has not begun. */
	get waiting(): number {
		return this.unanswered.size;
	}

	sent(id: string, nowMs: number): void {
		this.unanswered.set(id, nowMs);
	}

	/** An answer began, went on or ended. */
	heard(id: string, nowMs: number): void {
		this.unanswered.delete(id);
		this.heardMs = nowMs;
		this.failures = 0;
		this.avoidedUntilMs = -Infinity;
	}

	/** A send came to its end without an answer. */
	forget(id: string): void {
		this.unanswered.delete(id);
	}

	/**
	No connection came about, or it broke: the upstream is left alone for a while that doubles.
	@param nowMs - the time.
	@param firstMs - the first while.
	@param longestMs - the longest while.
	*/
	unreachable(nowMs: number, firstMs: number, longestMs: number): void {
		if (nowMs >= this.avoidedUntilMs) {
			this.avoidedUntilMs = nowMs + Math.min(longestMs, firstMs * (2 ** this.failures));
			this.failures++;
		}
	}

	/**
	It has ended, though the list may not say so yet: it is left alone, but for one that is heard from after all.
	@param nowMs - the time.
	@param forMs - until its entry is gone.
	*/
	ended(nowMs: number, forMs: number): void {
		this.avoidedUntilMs = nowMs + forMs;
	}

	isAvoided(nowMs: number): boolean {
		return nowMs < this.avoidedUntilMs;
	}

	/**
	Tells for how long an answer has been due while the upstream gave no sign at all.
	@param nowMs - the time.
	@returns 0 where nothing is due.
	*/
	silentMs(nowMs: number): number {
		const [oldestMs] = this.unanswered.values();
		return oldestMs === undefined ? 0 : Math.max(0, nowMs - Math.max(oldestMs, this.heardMs));
	}
}

/** Liveness of one upstream: the sends that have not been answered yet, and when it last responded. */

/** Tracks the unanswered sends to one upstream and whether the upstream should be avoided. */
export class ServerLiveness {
	static create(): ServerLiveness {
		return new ServerLiveness();
	}

	private readonly unanswered = new Map<string, number>();
	/** Streams whose head was received, and no event, with the time of the head. */
	private readonly eventless = new Map<string, number>();
	private lastReceivedMs = -Infinity;
	private lastProgressMs = -Infinity;
	private avoidedUntilMs = -Infinity;
	private failures = 0;

	/** Number of sends without any part of an answer yet. */
	get unansweredCount(): number {
		return this.unanswered.size;
	}

	sent(id: string, nowMs: number): void {
		this.unanswered.set(id, nowMs);
	}

	/** Records that the head of a stream was received. It ends the silence, but does not show yet that the upstream works. */
	streamBegan(id: string, nowMs: number): void {
		this.unanswered.delete(id);
		this.eventless.set(id, nowMs);
		this.lastReceivedMs = nowMs;
	}

	/** Records that an answer started, continued or ended. */
	received(id: string, nowMs: number): void {
		this.forget(id);
		this.lastProgressMs = nowMs;
		this.lastReceivedMs = nowMs;
		this.failures = 0;
		this.avoidedUntilMs = -Infinity;
	}

	/** Removes a send that ended without an answer. */
	forget(id: string): void {
		this.unanswered.delete(id);
		this.eventless.delete(id);
	}

	/**
	Records that a connection could not be established or was lost, or that the upstream sends nothing of use: the upstream is avoided for a time that doubles
	with each failure. Failures while the upstream is already avoided do not count.
	@param nowMs - the current time.
	@param initialMs - the duration of the first avoidance.
	@param maxMs - the maximum duration.
	*/
	connectionFailed(nowMs: number, initialMs: number, maxMs: number): void {
		if (nowMs >= this.avoidedUntilMs) {
			this.avoidedUntilMs = nowMs + Math.min(maxMs, initialMs * (2 ** this.failures));
			this.failures++;
		}
	}

	/**
	Records that the upstream has crashed. The list of servers may still contain it, so it is avoided for a time, or until it responds.
	@param nowMs - the current time.
	@param durationMs - the time until its entry is removed from the list.
	*/
	crashed(nowMs: number, durationMs: number): void {
		this.avoidedUntilMs = nowMs + durationMs;
	}

	isAvoided(nowMs: number): boolean {
		return nowMs < this.avoidedUntilMs;
	}

	/**
	Computes for how long an answer has been pending without any response from the upstream.
	@param nowMs - the current time.
	@returns the time in milliseconds; 0 if no answer is pending.
	*/
	silentMs(nowMs: number): number {
		const [oldestMs] = this.unanswered.values();
		return oldestMs === undefined ? 0 : Math.max(0, nowMs - Math.max(oldestMs, this.lastReceivedMs));
	}

	/**
	Computes for how long a stream has had no event after its head, without any other progress of the upstream.
	@param nowMs - the current time.
	@returns the time in milliseconds; 0 if each stream has begun.
	*/
	eventlessMs(nowMs: number): number {
		const [oldestMs] = this.eventless.values();
		return oldestMs === undefined ? 0 : Math.max(0, nowMs - Math.max(oldestMs, this.lastProgressMs));
	}

	/**
	Returns whether the upstream has made no progress in any response for a time.
	@param sinceMs - the start of that time.
	*/
	hasStalledSince(sinceMs: number): boolean {
		return this.lastProgressMs <= sinceMs;
	}
}

/** Finds out that this process slept: what it reads then may be old, however fresh it looks. */

/** Gap between two ticks that counts as sleep. */
export const pauseThresholdMs = 500;

/** Follows the ticks of a process, and which connections have been heard from since it woke. */
export class PauseDetector {
	static create(nowMs: number): PauseDetector {
		return new PauseDetector(nowMs);
	}

	private wokeCount = 0;
	private readonly confirmed = new Map<number, number>();

	private constructor(private lastTickMs: number) {}

	/** How often this process has slept. */
	get wakeCount(): number {
		return this.wokeCount;
	}

	/**
	Time goes on. Called by a timer, and before each message is looked at: after a
	sleep the sockets may be read before any timer runs.
	@param nowMs - the time.
	@returns whether the process has just woken.
	*/
	tick(nowMs: number): boolean {
		const hasSlept = nowMs - this.lastTickMs > pauseThresholdMs;
		this.lastTickMs = nowMs;
		if (hasSlept) {
			this.wokeCount++;
		}

		return hasSlept;
	}

	/**
	A connection was opened, or answered a ping sent after the last wake.
	@param connectionId - which.
	@param wakeCount - the wake count when the ping was sent.
	*/
	confirm(connectionId: number, wakeCount: number): void {
		this.confirmed.set(connectionId, Math.max(wakeCount, this.confirmed.get(connectionId) ?? 0));
	}

	forget(connectionId: number): void {
		this.confirmed.delete(connectionId);
	}

	/**
	Tells whether what a connection brings may be old.
	@param connectionId - which.
	*/
	isStale(connectionId: number): boolean {
		return (this.confirmed.get(connectionId) ?? -1) < this.wokeCount;
	}
}

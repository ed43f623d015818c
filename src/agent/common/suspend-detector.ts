/** Detects that this process was suspended: data that it reads afterwards may be stale although it has only just arrived. */

/** Gap between two ticks above which the process counts as having been suspended. */
export const suspendThresholdMs = 500;

/** Watches the ticks of a process, and tracks which connections have been confirmed since it resumed. */
export class SuspendDetector {
	static create(nowMs: number): SuspendDetector {
		return new SuspendDetector(nowMs);
	}

	private currentResumeCount = 0;
	private readonly confirmed = new Map<number, number>();

	private constructor(private lastTickMs: number) {}

	/** How often this process has resumed after a suspension. */
	get resumeCount(): number {
		return this.currentResumeCount;
	}

	/**
	Records that the process is running. Called by a timer, and before each message is
	handled: after a suspension the sockets may be read before any timer runs.
	@param nowMs - the current time.
	@returns whether the process has just resumed.
	*/
	tick(nowMs: number): boolean {
		const wasSuspended = nowMs - this.lastTickMs > suspendThresholdMs;
		this.lastTickMs = nowMs;
		if (wasSuspended) {
			this.currentResumeCount++;
		}

		return wasSuspended;
	}

	/**
	Confirms a connection that was opened, or that answered a ping.
	@param connectionId - id of the connection.
	@param resumeCount - how often the process had resumed when the ping was sent.
	*/
	confirm(connectionId: number, resumeCount: number): void {
		this.confirmed.set(connectionId, Math.max(resumeCount, this.confirmed.get(connectionId) ?? 0));
	}

	forget(connectionId: number): void {
		this.confirmed.delete(connectionId);
	}

	/**
	Checks whether messages of a connection may be old, because it was not confirmed since the process last resumed.
	@param connectionId - id of the connection.
	*/
	isStale(connectionId: number): boolean {
		return (this.confirmed.get(connectionId) ?? -1) < this.currentResumeCount;
	}
}

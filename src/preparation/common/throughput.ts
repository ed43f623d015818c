/** How many pieces a pool gets done while work waits for it: what its room and its upstreams really give. */

const windowMs = 1500;
/** A queue must have stood this long before its throughput says anything: several calls of each upstream. */
const shortestMs = 700;

/** Counts what is done while a queue stands. */
export class Throughput {
	static create(): Throughput {
		return new Throughput();
	}

	private done: Array<{readonly atMs: number; readonly pieces: number}> = [];
	private beganMs = 0;

	/** Work waits from now on, after a time without a queue. */
	queueBegan(nowMs: number): void {
		this.beganMs = nowMs;
		this.done = [];
	}

	count(pieces: number, nowMs: number): void {
		this.done.push({atMs: nowMs, pieces});
	}

	/**
	Gives the pieces done in a millisecond.
	@param nowMs - the time.
	@returns nothing while the queue has not stood long enough.
	*/
	perMs(nowMs: number): number | undefined {
		const sinceMs = Math.max(this.beganMs, nowMs - windowMs);
		if (nowMs - sinceMs < shortestMs) {
			return undefined;
		}

		this.done = this.done.filter(({atMs}) => atMs > sinceMs);
		const pieces = this.done.reduce((sum, item) => sum + item.pieces, 0);
		return Math.max(1, pieces) / (nowMs - sinceMs);
	}
}

/** Sums up what requests asked of a pool within the last second. */

const windowMs = 1000;
/** Resolution at which demand leaves the window. */
const bucketMs = 50;

/** Work asked of a pool. */
export type Demand = {
	readonly pieces: number;
	/** Upstream time, in milliseconds of one upstream. */
	readonly serverMs: number;
	/** Total size of the results. */
	readonly resultBytes: number;
};

/** Demand of a part of the window. Work that is no longer wanted is subtracted from the part in which it was asked for. */
export class DemandBucket {
	static create(startMs: number): DemandBucket {
		return new DemandBucket(startMs);
	}

	private pieces = 0;
	private serverMs = 0;
	private resultBytes = 0;

	private constructor(readonly startMs: number) {}

	get demand(): Demand {
		const {pieces, serverMs, resultBytes} = this;
		return {pieces, serverMs, resultBytes};
	}

	/**
	Adds work.
	@param work - the work.
	@param sign - -1 to subtract it.
	*/
	add(work: Demand, sign: 1 | -1): void {
		this.pieces += sign * work.pieces;
		this.serverMs += sign * work.serverMs;
		this.resultBytes += sign * work.resultBytes;
	}
}

/** Demand of the last second. */
export class DemandWindow {
	static create(): DemandWindow {
		return new DemandWindow();
	}

	private buckets: DemandBucket[] = [];

	/**
	Records work that is asked for now.
	@returns the bucket that counts it, from which it can be subtracted.
	*/
	record(work: Demand, nowMs: number): DemandBucket {
		this.buckets = this.buckets.filter(({startMs}) => startMs > nowMs - windowMs);
		let bucket = this.buckets.at(-1);
		if (!bucket || nowMs >= bucket.startMs + bucketMs) {
			bucket = DemandBucket.create(nowMs);
			this.buckets.push(bucket);
		}

		bucket.add(work, 1);
		return bucket;
	}

	/** Returns the demand of the last second per millisecond. */
	perMs(nowMs: number): Demand {
		let pieces = 0;
		let serverMs = 0;
		let resultBytes = 0;
		for (const {startMs, demand} of this.buckets) {
			if (startMs > nowMs - windowMs) {
				pieces += demand.pieces;
				serverMs += demand.serverMs;
				resultBytes += demand.resultBytes;
			}
		}

		// Subtraction can leave rounding errors.
		return {pieces: Math.max(0, pieces) / windowMs, serverMs: Math.max(0, serverMs) / windowMs, resultBytes: Math.max(0, resultBytes) / windowMs};
	}
}

/** Work asked for in the last second, whether or not it was admitted. Each request counts once, however often it asks. */
export class OfferedLoad {
	static create(): OfferedLoad {
		return new OfferedLoad();
	}

	private readonly window = DemandWindow.create();
	/** The last ask of each request, oldest first. */
	private readonly asks = new Map<string, {readonly work: Demand; readonly bucket: DemandBucket}>();

	/**
	Records what a request asks for now. A former ask of the request must be withdrawn first.
	@param requestId - the request.
	@param work - the work.
	@param nowMs - the current time.
	*/
	record(requestId: string, work: Demand, nowMs: number): void {
		for (const [id, {bucket}] of this.asks) {
			if (bucket.startMs > nowMs - windowMs) {
				break;
			}

			this.asks.delete(id);
		}

		this.asks.set(requestId, {work, bucket: this.window.record(work, nowMs)});
	}

	/**
	Subtracts the last ask of a request, which asks again.
	@param requestId - the request.
	*/
	withdraw(requestId: string): void {
		const ask = this.asks.get(requestId);
		if (ask) {
			ask.bucket.add(ask.work, -1);
			this.asks.delete(requestId);
		}
	}

	/** Returns the offered load of the last second per millisecond. */
	perMs(nowMs: number): Demand {
		return this.window.perMs(nowMs);
	}
}

/** Adds amounts of work. */
export function sumOf(demands: Iterable<Demand>): Demand {
	let pieces = 0;
	let serverMs = 0;
	let resultBytes = 0;
	for (const demand of demands) {
		pieces += demand.pieces;
		serverMs += demand.serverMs;
		resultBytes += demand.resultBytes;
	}

	return {pieces, serverMs, resultBytes};
}

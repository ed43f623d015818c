/** Streaming quantiles of recent samples, kept in logarithmic buckets whose counts decay. */

const bucketsPerDoubling = 4;
const bucketCount = 80;
/** All counts are halved when their sum reaches this value, so that recent samples weigh most. */
const halvingWeight = 400;

/** A histogram of durations from below a millisecond to about a quarter of an hour. */
export class DecayedHistogram {
	static create(): DecayedHistogram {
		return new DecayedHistogram();
	}

	private readonly counts = new Float64Array(bucketCount);
	private total = 0;

	/** Total weight of the samples after decay. */
	get weight(): number {
		return this.total;
	}

	/**
	Adds a sample.
	@param valueMs - the duration in milliseconds.
	*/
	record(valueMs: number): void {
		this.counts[bucketOf(valueMs)]++;
		this.total++;
		if (this.total >= halvingWeight) {
			this.halve();
		}
	}

	/**
	Estimates the duration below which a fraction of the samples lies.
	@param fraction - the fraction, in [0, 1].
	@returns the duration in milliseconds, or undefined if there are no samples.
	*/
	quantile(fraction: number): number | undefined {
		if (this.total === 0) {
			return undefined;
		}

		let remaining = fraction * this.total;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			remaining -= this.counts[bucket];
			if (remaining <= 0 && this.counts[bucket] > 0) {
				return valueOf(bucket);
			}
		}

		return valueOf(bucketCount - 1);
	}

	private halve(): void {
		this.total = 0;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			this.counts[bucket] = Math.floor(this.counts[bucket] / 2);
			this.total += this.counts[bucket];
		}
	}
}

function bucketOf(valueMs: number): number {
	const bucket = Math.floor(Math.log2(Math.max(valueMs, 1)) * bucketsPerDoubling);
	return Math.min(bucketCount - 1, bucket);
}

function valueOf(bucket: number): number {
	return 2 ** ((bucket + 0.5) / bucketsPerDoubling);
}

/** How long stages take: streaming quantiles of what was seen, by stage and model. */
import {DecayedHistogram} from './decayed-histogram.js';

/** Share of samples that the optimistic estimate lies above. */
const optimisticShare = 0.1;
const typicalShare = 0.5;
const slowShare = 0.95;
/** Below this many samples an estimate says nothing. */
const fewestSamples = 8;

/** Estimates for every stage key seen. */
export class StageEstimates {
	static create(): StageEstimates {
		return new StageEstimates();
	}

	private readonly histograms = new Map<string, DecayedHistogram>();

	/**
	A stage was completed.
	@param key - names stage and model.
	@param tookMs - from its first dispatch to its end.
	*/
	record(key: string, tookMs: number): void {
		let histogram = this.histograms.get(key);
		if (!histogram) {
			histogram = DecayedHistogram.create();
			this.histograms.set(key, histogram);
		}

		histogram.record(tookMs);
	}

	/**
	Gives the time that even a lucky run takes.
	@param keys - the stages still to run.
	@returns milliseconds; stages without samples count as 0.
	*/
	optimisticMs(keys: readonly string[]): number {
		let sumMs = 0;
		for (const key of keys) {
			sumMs += this.quantile(key, optimisticShare) ?? 0;
		}

		return sumMs;
	}

	/** @returns the middle of what was seen of a stage. */
	typicalMs(key: string): number | undefined {
		return this.quantile(key, typicalShare);
	}

	/** @returns the time after which an attempt is unusually slow. */
	slowMs(key: string): number | undefined {
		return this.quantile(key, slowShare);
	}

	private quantile(key: string, share: number): number | undefined {
		const histogram = this.histograms.get(key);
		return histogram && histogram.weight >= fewestSamples ? histogram.quantile(share) : undefined;
	}
}

/** Estimates of stage durations: streaming quantiles of the observed durations, by stage and model. */
import {DecayedHistogram} from './decayed-histogram.js';

/** Quantile of the optimistic estimate: this share of the samples lies below it. */
const optimisticQuantile = 0.1;
const typicalQuantile = 0.5;
const slowQuantile = 0.95;
/** Minimum weight of samples; with less there is no estimate. */
const minSamples = 8;

/** Duration estimates of all stages observed so far. */
export class StageEstimates {
	static create(): StageEstimates {
		return new StageEstimates();
	}

	private readonly histograms = new Map<string, DecayedHistogram>();

	/**
	Records a completed stage.
	@param key - identifies the stage and the model.
	@param durationMs - the time from the first dispatch of the stage to its end.
	*/
	record(key: string, durationMs: number): void {
		let histogram = this.histograms.get(key);
		if (!histogram) {
			histogram = DecayedHistogram.create();
			this.histograms.set(key, histogram);
		}

		histogram.record(durationMs);
	}

	/**
	Estimates the shortest time in which stages can be expected to run one after the other.
	@param keys - the stages that have not run yet.
	@returns the time in milliseconds; stages without an estimate count as 0.
	*/
	optimisticMs(keys: readonly string[]): number {
		let sumMs = 0;
		for (const key of keys) {
			sumMs += this.quantile(key, optimisticQuantile) ?? 0;
		}

		return sumMs;
	}

	/** @returns the median duration of a stage, or undefined with too few samples. */
	typicalMs(key: string): number | undefined {
		return this.quantile(key, typicalQuantile);
	}

	/** @returns the duration above which an attempt is unusually slow, or undefined with too few samples. */
	slowMs(key: string): number | undefined {
		return this.quantile(key, slowQuantile);
	}

	private quantile(key: string, fraction: number): number | undefined {
		const histogram = this.histograms.get(key);
		return histogram && histogram.weight >= minSamples ? histogram.quantile(fraction) : undefined;
	}
}

/** Statistics that an entry keeps on one upstream: its own calls there, the last load report, answer times and errors. */
import type {UpstreamLoad} from '../../wire/common/messages.js';

const smoothing = 0.2;
const reportHalfLifeMs = 1000;

/** Tracks the load, speed and errors of one upstream. The calls of this entry count in full; load reports lose weight with age. */
export class UpstreamStats {
	static create(): UpstreamStats {
		return new UpstreamStats();
	}

	/** Calls of this entry that are still running. */
	inFlight = 0;
	/**
	Smoothed ratio of the answer time to the typical time of the same stage on all upstreams; 1 is typical.
	Absolute times would make an upstream look slow because it happened to receive long-running work.
	*/
	slowness: number | undefined;
	/** Smoothed share of calls that failed, from 0 to 1. */
	errorShare = 0;
	/** Failures since the last success. */
	consecutiveFailures = 0;
	private report: UpstreamLoad | undefined;
	private reportAtMs = 0;
	/** Value of `inFlight` when the report arrived. */
	private inFlightAtReport = 0;

	/** The last reported load of the upstream. */
	get load(): UpstreamLoad | undefined {
		return this.report;
	}

	/**
	Records a load that a report or a reply contained.
	@param load - the reported load.
	@param nowMs - the current time.
	*/
	observeLoad(load: UpstreamLoad, nowMs: number): void {
		this.report = load;
		this.reportAtMs = nowMs;
		this.inFlightAtReport = this.inFlight;
	}

	/**
	Records the end of a call: its outcome and, if it succeeded, its time.
	@param runMs - the run time on the upstream.
	@param typicalMs - the typical run time of the same stage.
	@param isFailure - whether the upstream failed.
	*/
	observeEnd(runMs: number, typicalMs: number, isFailure: boolean): void {
		this.observeOutcome(isFailure);
		if (!isFailure) {
			this.observeTime(runMs, typicalMs);
		}
	}

	/**
	Records whether a call failed, without its time.
	@param isFailure - whether the upstream failed.
	*/
	observeOutcome(isFailure: boolean): void {
		this.errorShare += smoothing * ((isFailure ? 1 : 0) - this.errorShare);
		this.consecutiveFailures = isFailure ? this.consecutiveFailures + 1 : 0;
	}

	/**
	Records a duration of a call, which may still be running.
	@param durationMs - the duration to compare: the total time, or the time to the first token.
	@param typicalMs - the typical value of the same duration.
	*/
	observeTime(durationMs: number, typicalMs: number): void {
		const ratio = durationMs / Math.max(1, typicalMs);
		this.slowness = this.slowness === undefined ? ratio : this.slowness + (smoothing * (ratio - this.slowness));
	}

	/**
	Estimates how long a call sent now would wait, in units of the answer time.
	@param typicalSlots - concurrent calls to assume if the upstream does not report its slots.
	@param nowMs - the current time.
	@returns the wait as a multiple of the answer time; 0 while a slot is free.
	*/
	waitInServiceTimes(typicalSlots: number, nowMs: number): number {
		const slots = Math.max(1, this.report?.slots ?? typicalSlots);
		return Math.max(0, this.outstanding(nowMs) + 1 - slots) / slots;
	}

	/**
	Estimates the number of calls at the upstream: the reported number, discounted by the age of the report,
	corrected by what this entry has sent and completed since. Never less than this entry's own calls.
	@param nowMs - the current time.
	@returns the number of running and queued calls.
	*/
	outstanding(nowMs: number): number {
		if (!this.report) {
			return this.inFlight;
		}

		const reportWeight = 2 ** (-(nowMs - this.reportAtMs) / reportHalfLifeMs);
		const reported = this.report.running + this.report.queued - this.inFlightAtReport;
		return this.inFlight + Math.max(0, reported * reportWeight);
	}
}

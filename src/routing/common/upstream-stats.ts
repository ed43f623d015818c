/** What an entry knows of one upstream: its own work there, aged reports, answer times, errors. */
import type {UpstreamLoad} from '../../wire/common/messages.js';

const smoothing = 0.2;
const reportHalfLifeMs = 1000;

/** Learns from replies first and from reports second. */
export class UpstreamStats {
	static create(): UpstreamStats {
		return new UpstreamStats();
	}

	/** Calls of this entry that have not ended. */
	inFlight = 0;
	/**
	Smoothed answer time against what the same stage takes elsewhere: 1 is usual.
	Plain times would make an upstream look slow that happened to get long work.
	*/
	slowness: number | undefined;
	/** Smoothed share of calls that failed. */
	errorShare = 0;
	/** Failures since the last success. */
	consecutiveFailures = 0;
	private report: UpstreamLoad | undefined;
	private reportAtMs = 0;
	/** This entry's own work when the report came. */
	private inFlightAtReport = 0;

	/** What the upstream carries, as last reported. */
	get load(): UpstreamLoad | undefined {
		return this.report;
	}

	/**
	A report or a reply told the load.
	@param load - as told.
	@param nowMs - the time.
	*/
	observeLoad(load: UpstreamLoad, nowMs: number): void {
		this.report = load;
		this.reportAtMs = nowMs;
		this.inFlightAtReport = this.inFlight;
	}

	/**
	A call ended.
	@param runMs - its time on the upstream.
	@param usualMs - what the same stage usually takes.
	@param isFailure - whether the upstream failed.
	*/
	observeEnd(runMs: number, usualMs: number, isFailure: boolean): void {
		this.observeOutcome(isFailure);
		if (!isFailure) {
			this.observeTime(runMs, usualMs);
		}
	}

	/**
	A call ended well or badly.
	@param isFailure - whether the upstream failed.
	*/
	observeOutcome(isFailure: boolean): void {
		this.errorShare += smoothing * ((isFailure ? 1 : 0) - this.errorShare);
		this.consecutiveFailures = isFailure ? this.consecutiveFailures + 1 : 0;
	}

	/**
	A call took its time, whether it has ended or not.
	@param tookMs - what is compared: its whole time, or that to its first token.
	@param usualMs - the same as it usually is.
	*/
	observeTime(tookMs: number, usualMs: number): void {
		const ratio = tookMs / Math.max(1, usualMs);
		this.slowness = this.slowness === undefined ? ratio : this.slowness + (smoothing * (ratio - this.slowness));
	}

	/**
	Estimates how many answer times a call sent now would wait.
	@param usualSlots - calls run at once where the upstream does not say.
	@param nowMs - the time.
	@returns 0 while a slot is free.
	*/
	waitTurns(usualSlots: number, nowMs: number): number {
		const slots = Math.max(1, this.report?.slots ?? usualSlots);
		return Math.max(0, this.outstanding(nowMs) + 1 - slots) / slots;
	}

	/**
	Estimates the calls at the upstream now: the report's, as far as it still holds,
	moved on by what this entry did since; never less than its own.
	@param nowMs - the time.
	@returns calls running or waiting.
	*/
	outstanding(nowMs: number): number {
		if (!this.report) {
			return this.inFlight;
		}

		const trust = 2 ** (-(nowMs - this.reportAtMs) / reportHalfLifeMs);
		const reported = this.report.running + this.report.queued - this.inFlightAtReport;
		return this.inFlight + Math.max(0, reported * trust);
	}
}

/** Statistics that an entry keeps on one upstream: its own calls there, the last load report, answer times and errors. */
import type {UpstreamLoad} from '../../wire/common/messages.js';
import type {ReportedFigure} from './reported-load.js';

const smoothing = 0.2;
const reportHalfLifeMs = 1000;
/**
Time without a report after which the measured slowness of a reporting upstream counts half as much: an upstream that gets no calls must not
remain the worst of its pool because of its last ones.
*/
const unreportedHalfLifeMs = 1000;
/**
Time without a report after which one call is sent to a reporting upstream as a trial, so that no upstream stays without work for good. Two
seconds cost a host half a call per second and upstream at most.
*/
const trialAfterMs = 2000;

/** Returns the last figure that an upstream reported, or undefined if it reports none. */
export type FigureSource = (nowMs: number) => ReportedFigure | undefined;

/** Tracks the load, speed and errors of one upstream. The calls of this entry count in full; load reports lose weight with age. */
export class UpstreamStats {
	/**
	Creates statistics without data.
	@param figureAt - returns what the upstream reports about its speed; by default nothing.
	*/
	static create(figureAt: FigureSource = () => undefined): UpstreamStats {
		return new UpstreamStats(figureAt);
	}

	/** Calls of this entry that are still running. */
	inFlight = 0;
	/**
	Smoothed ratio of the answer time to the typical time of the same stage on all upstreams; 1 is typical.
	Absolute times would make an upstream look slow because it happened to receive long-running work.
	For an upstream that reports its speed, the caller of `observeTime` excludes the reported part.
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

	private constructor(private readonly figureAt: FigureSource) {}

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
	Returns the reported ratio of the duration of work to the usual one.
	@param nowMs - the current time.
	@returns the ratio; 1 if there is no recent report.
	*/
	reportedSlownessAt(nowMs: number): number {
		return this.figureAt(nowMs)?.slowness ?? 1;
	}

	/**
	Checks whether the duration of a call shows the usual speed of the upstream: where the reported speed changed during the call, it does not.
	@param sentMs - when the call was sent.
	@param nowMs - the current time.
	@returns true if it does, or if the upstream reports no speed.
	*/
	hasSteadySpeedSince(sentMs: number, nowMs: number): boolean {
		const figure = this.figureAt(nowMs);
		return figure === undefined || figure.changedMs <= sentMs;
	}

	/**
	Returns the expected ratio of the answer time of a call sent now to the typical one: the measured ratio, and for a reporting upstream its usual
	ratio multiplied by the reported one.
	@param nowMs - the current time.
	*/
	expectedSlownessAt(nowMs: number): number {
		const figure = this.figureAt(nowMs);
		const measured = this.slowness ?? 1;
		return figure ? figure.slowness * (1 + ((measured - 1) * (2 ** (-figure.ageMs / unreportedHalfLifeMs)))) : measured;
	}

	/**
	Checks whether a reporting upstream should be sent one call to find out its speed.
	@param nowMs - the current time.
	*/
	isTrialDue(nowMs: number): boolean {
		const figure = this.figureAt(nowMs);
		return figure !== undefined && figure.ageMs >= trialAfterMs && this.inFlight === 0;
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

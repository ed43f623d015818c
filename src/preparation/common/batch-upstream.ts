/** State of one upstream that processes work in batches: its call, slowness, failures and space for results. */
import type {BatchCall} from './batch-call.js';
import {ResultSpace} from './result-space.js';

/** Weight of the latest call in the measured slowness. */
const slownessWeight = 0.6;
/** Time without a call after which the excess slowness of an upstream is halved: it may have recovered. */
const slownessHalfLifeMs = 2500;
/**
Bound on the slowness derived from a call that was overdue: an upstream that hangs, or falls silent for a moment, must not count as that slow.
*/
const maxOverdueSlowness = 20;
/** Time without work after a failed call; it doubles with each further failure. */
const firstAvoidMs = 250;
const maxAvoidMs = 2000;

/**
Returns the ratio of the duration of work at an upstream to the usual one, as the upstream reported it.
@param nowMs - the current time.
@returns the ratio, or undefined if there is no recent report.
*/
export type ReportedSlowness = (nowMs: number) => number | undefined;

/** Tracks one upstream. */
export class BatchUpstream {
	/**
	Creates the state of an upstream without calls.
	@param reportedSlowness - returns what the upstream reports about itself; by default nothing.
	*/
	static create(reportedSlowness: ReportedSlowness = () => undefined): BatchUpstream {
		return new BatchUpstream(reportedSlowness);
	}

	/** The call in progress. */
	call: BatchCall | undefined;
	readonly space = ResultSpace.create();
	/**
	Number of the last call if it was answered and all of its inputs were found; otherwise 0. The upstream runs one call at a time, so
	nothing that was sent before that call is still ahead of the next one.
	*/
	answeredCallId = 0;
	private slowness = 1;
	private measuredMs = 0;
	private avoidedUntilMs = -Infinity;
	private failures = 0;

	private constructor(private readonly reportedSlowness: ReportedSlowness) {}

	/**
	Whether it may receive a call. A server with an overdue call is left alone for a time in which a silent one goes on; then the response may have been lost.
	@param nowMs - the current time.
	*/
	isFree(nowMs: number): boolean {
		return (this.call === undefined || nowMs >= this.call.deadlineMs + maxAvoidMs) && !this.isAvoided(nowMs);
	}

	/** Whether it receives no work for now because calls to it have failed. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.avoidedUntilMs;
	}

	/**
	Returns the ratio of actual to declared call duration. A recent report replaces the measured value; after a failed call, whichever is
	larger counts, because an upstream may report a usual speed although its calls time out.
	@param nowMs - the current time.
	*/
	slownessAt(nowMs: number): number {
		const reported = this.reportedSlowness(nowMs);
		const measured = this.measuredSlownessAt(nowMs);
		if (reported === undefined) {
			return measured;
		}

		return this.failures > 0 ? Math.max(reported, measured) : reported;
	}

	/**
	Returns the factor by which a recent report lengthens or shortens a call that is sent now.
	@param nowMs - the current time.
	@returns the factor; 1 without a report, because measured slowness is relative to the expected duration.
	*/
	expectedFactorAt(nowMs: number): number {
		return this.reportedSlowness(nowMs) ?? 1;
	}

	/**
	Returns the capacity of the upstream relative to one that runs as declared. Only an upstream that reports it counts as more than 1: a short call
	that was measured may have been cheap for another reason.
	@param nowMs - the current time.
	*/
	speedAt(nowMs: number): number {
		const slowness = this.slownessAt(nowMs);
		return 1 / (this.reportedSlowness(nowMs) === undefined ? Math.max(1, slowness) : slowness);
	}

	completeCall(call: BatchCall, nowMs: number): void {
		this.clearCall(call);
		this.failures = 0;
		this.avoidedUntilMs = -Infinity;
		const ratio = Math.min(nowMs < call.deadlineMs ? Infinity : maxOverdueSlowness, (nowMs - call.sentMs) / call.expectedMs);
		this.slowness = (this.measuredSlownessAt(nowMs) * (1 - slownessWeight)) + (ratio * slownessWeight);
		this.measuredMs = nowMs;
	}

	/**
	Handles a call whose response is overdue.
	@param call - the call, which is in progress.
	@param nowMs - the current time.
	*/
	callOverdue(call: BatchCall, nowMs: number): void {
		// It may still be running the call when the next one arrives.
		this.answeredCallId = 0;
		const ratio = Math.min(maxOverdueSlowness, (nowMs - call.sentMs) / call.expectedMs);
		if (ratio > this.measuredSlownessAt(nowMs)) {
			// If all upstreams are that slow, the next call is given more time.
			this.slowness = ratio;
			this.measuredMs = nowMs;
		}
	}

	failCall(call: BatchCall, nowMs: number): void {
		this.clearCall(call);
		// The upstream may still be running it.
		this.answeredCallId = 0;
		if (nowMs >= call.deadlineMs) {
			this.callOverdue(call, nowMs);
		}

		this.avoidedUntilMs = nowMs + Math.min(maxAvoidMs, firstAvoidMs * (2 ** this.failures));
		this.failures++;
	}

	/** A measured value decays towards 1 while no call is made. */
	private measuredSlownessAt(nowMs: number): number {
		return 1 + ((this.slowness - 1) * (2 ** (-(nowMs - this.measuredMs) / slownessHalfLifeMs)));
	}

	private clearCall(call: BatchCall): void {
		if (this.call === call) {
			this.call = undefined;
		}
	}
}

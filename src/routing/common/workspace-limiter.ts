/** Limits of one workspace at one entry: requests in flight and requests a second. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';

/** Limits, as inherited in the settings. */
export type Limits = {
	readonly maxInFlight: number;
	/** 0 sets no limit. */
	readonly requestsPerSecond: number;
	readonly burst: number;
};

/** Why a request is not let in, and when to come back. */
export type LimitRefusal = {readonly code: 'tooManyInFlight' | 'rateExceeded'; readonly retryAfterMs: number};

const inFlightRetryMs = 200;

/** Counts a workspace's requests. */
export class WorkspaceLimiter {
	static create(nowMs: number): WorkspaceLimiter {
		return new WorkspaceLimiter(nowMs);
	}

	private inFlight = 0;
	private tokens: number | undefined;

	private constructor(private filledMs: number) {}

	/**
	Lets a request in, or not; one let in must be let out again.
	@param limits - limits in force.
	@param nowMs - the time.
	*/
	tryEnter(limits: Limits, nowMs: number): Outcome<undefined, LimitRefusal> {
		if (this.inFlight >= limits.maxInFlight) {
			return fail({code: 'tooManyInFlight', retryAfterMs: inFlightRetryMs});
		}

		if (limits.requestsPerSecond > 0) {
			const refilled = (this.tokens ?? limits.burst) + (((nowMs - this.filledMs) / 1000) * limits.requestsPerSecond);
			this.tokens = Math.min(limits.burst, refilled);
			this.filledMs = nowMs;
			if (this.tokens < 1) {
				return fail({code: 'rateExceeded', retryAfterMs: ((1 - this.tokens) / limits.requestsPerSecond) * 1000});
			}

			this.tokens--;
		}

		this.inFlight++;
		return ok(undefined);
	}

	/** A request that was let in has ended. */
	leave(): void {
		this.inFlight--;
	}
}

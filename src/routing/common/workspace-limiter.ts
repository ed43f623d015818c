/** Limits the requests of one workspace at one entry: requests in flight and requests per second. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';

/** Limits that apply to a workspace after inheritance in the settings. */
export type Limits = {
	readonly maxInFlight: number;
	/** 0 means no limit. */
	readonly requestsPerSecond: number;
	readonly burst: number;
};

/** Why a request was refused, and after what time to retry. */
export type LimitRefusal = {readonly code: 'tooManyInFlight' | 'rateExceeded'; readonly retryAfterMs: number};

const inFlightRetryMs = 200;

/** Counts the requests of a workspace against its limits. */
export class WorkspaceLimiter {
	static create(nowMs: number): WorkspaceLimiter {
		return new WorkspaceLimiter(nowMs);
	}

	private inFlight = 0;
	private tokens: number | undefined;

	private constructor(private lastRefillMs: number) {}

	/**
	Admits a request or refuses it. An admitted request must be released when it ends.
	@param limits - the limits in force.
	@param nowMs - the current time.
	*/
	tryAdmit(limits: Limits, nowMs: number): Outcome<undefined, LimitRefusal> {
		if (this.inFlight >= limits.maxInFlight) {
			return fail({code: 'tooManyInFlight', retryAfterMs: inFlightRetryMs});
		}

		if (limits.requestsPerSecond > 0) {
			const refilled = (this.tokens ?? limits.burst) + (((nowMs - this.lastRefillMs) / 1000) * limits.requestsPerSecond);
			this.tokens = Math.min(limits.burst, refilled);
			this.lastRefillMs = nowMs;
			if (this.tokens < 1) {
				return fail({code: 'rateExceeded', retryAfterMs: ((1 - this.tokens) / limits.requestsPerSecond) * 1000});
			}

			this.tokens--;
		}

		this.inFlight++;
		return ok(undefined);
	}

	/** Releases an admitted request that has ended. */
	release(): void {
		this.inFlight--;
	}
}

/** Limits retries to a share of first attempts, so that retries do not amplify an overload or an outage. */

const maxTokens = 50;
/** Tokens added per second up to the floor, so that a workspace may retry even if it has too few requests for their share to allow a retry. */
const floorTokensPerS = 1;
const defaultFloorTokens = 5;

/** A token bucket: first attempts add tokens, retries consume them. */
export class RetryBudget {
	/**
	Creates a budget.
	@param nowMs - the current time.
	@param floorTokens - maximum number of tokens that accrue with time, without first attempts; 0 for hedges, which a workspace with few requests does not need.
	*/
	static create(nowMs: number, floorTokens = defaultFloorTokens): RetryBudget {
		return new RetryBudget(nowMs, floorTokens);
	}

	private tokens: number;

	private constructor(private lastRefillMs: number, private readonly floorTokens: number) {
		this.tokens = floorTokens;
	}

	/**
	Records a first attempt.
	@param share - the number of retries that the attempt allows; may be a fraction.
	*/
	deposit(share: number): void {
		this.tokens = Math.min(maxTokens, this.tokens + share);
	}

	/**
	Takes a token for a retry if there is one.
	@param nowMs - the current time.
	@returns whether the retry may be sent.
	*/
	tryWithdraw(nowMs: number): boolean {
		this.refill(nowMs);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Adds the tokens that accrue with time, which fill the bucket only up to the floor. */
	private refill(nowMs: number): void {
		const gained = ((nowMs - this.lastRefillMs) / 1000) * floorTokensPerS;
		this.lastRefillMs = nowMs;
		if (this.tokens < this.floorTokens) {
			this.tokens = Math.min(this.floorTokens, this.tokens + gained);
		}
	}
}

/** Retries bounded as a share of first attempts, so that trouble is not multiplied. */

const mostTokens = 50;
/** A quiet workspace may retry as well: this many a second, whatever its share gives. */
const floorPerSecond = 1;
const defaultFloorTokens = 5;

/** A bucket that first attempts fill and retries drain. */
export class RetryBudget {
	/**
	Makes a budget.
	@param nowMs - the time.
	@param floorTokens - retries that time alone allows; 0 for hedges, which a quiet workspace can do without.
	*/
	static create(nowMs: number, floorTokens = defaultFloorTokens): RetryBudget {
		return new RetryBudget(nowMs, floorTokens);
	}

	private tokens: number;

	private constructor(private filledMs: number, private readonly floorTokens: number) {
		this.tokens = floorTokens;
	}

	/**
	A first attempt was sent.
	@param share - retries allowed for each.
	*/
	deposit(share: number): void {
		this.tokens = Math.min(mostTokens, this.tokens + share);
	}

	/**
	Pays for a retry.
	@param nowMs - the time.
	@returns whether it may be sent.
	*/
	tryWithdraw(nowMs: number): boolean {
		this.refill(nowMs);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Time alone fills the bucket up to the floor, not above it. */
	private refill(nowMs: number): void {
		const gained = ((nowMs - this.filledMs) / 1000) * floorPerSecond;
		this.filledMs = nowMs;
		if (this.tokens < this.floorTokens) {
			this.tokens = Math.min(this.floorTokens, this.tokens + gained);
		}
	}
}

/** Retries bounded as a share of first attempts, so that trouble is not multiplied. */

/** Retries allowed before any first attempt was seen. */
const initialTokens = 5;
const mostTokens = 50;

/** A bucket that first attempts fill and retries drain. */
export class RetryBudget {
	static create(): RetryBudget {
		return new RetryBudget();
	}

	private tokens = initialTokens;

	/**
	A first attempt was sent.
	@param share - retries allowed for each.
	*/
	deposit(share: number): void {
		this.tokens = Math.min(mostTokens, this.tokens + share);
	}

	/** @returns whether a retry may be sent; it is then paid for. */
	tryWithdraw(): boolean {
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}

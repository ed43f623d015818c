/** Limits repeated sends (retries and hedges) in a sliding window to a share of the first sends plus a slack that is divided among all hosts. */

/** Bounds on repeated sends, from the deployment's settings. */
export type RepeatBounds = {
	/** Repeats allowed per first send. */
	readonly ratio: number;
	/** Additional repeats allowed in each window for all hosts together. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Number of buckets in which a window is counted; an expired bucket is dropped as a whole. */
const bucketsPerWindow = 20;
/** Share of the bounds that is used. The margin is needed because the windows of hosts are not aligned, and the bounds apply to the times at which sends arrive. */
const usedShare = 0.85;

/** State of a budget: what was sent within the window, the repeats that it allows, and the number of hosts that share the slack. */
export type BudgetState = {readonly repeats: number; readonly firstSends: number; readonly allowed: number; readonly hosts: number};

type WindowBucket = {readonly atMs: number; firstSends: number; repeats: number; hostCount: number};

/** Counts the first sends and repeats to one pool on this host. */
export class WindowedBudget {
	/**
	Creates a budget.
	@param bounds - the bounds on all hosts together.
	@param hostCount - returns the number of hosts that share the slack now.
	*/
	static create(bounds: RepeatBounds, hostCount: () => number): WindowedBudget {
		return new WindowedBudget(bounds, hostCount);
	}

	private readonly buckets: WindowBucket[] = [];

	private constructor(private readonly bounds: RepeatBounds, private readonly hostCount: () => number) {}

	/**
	Records first sends.
	@param nowMs - the current time.
	@param count - the number of sends.
	*/
	countFirstSends(nowMs: number, count = 1): void {
		this.bucketAt(nowMs).firstSends += count;
	}

	/**
	Takes repeats from the budget if it has enough.
	@param nowMs - the current time.
	@param count - the number of repeats to send together.
	@returns whether they may be sent.
	*/
	tryWithdraw(nowMs: number, count = 1): boolean {
		const current = this.bucketAt(nowMs);
		const {repeats, allowed} = this.describe(nowMs);
		if (repeats + count > allowed) {
			return false;
		}

		current.repeats += count;
		return true;
	}

	/**
	Returns the state of the budget.
	@param nowMs - the current time.
	*/
	describe(nowMs: number): BudgetState {
		this.bucketAt(nowMs);
		let firstSends = 0;
		let repeats = 0;
		// Hosts that are partitioned or have left may have used their part of the slack within this window.
		let maxHosts = 1;
		for (const bucket of this.buckets) {
			firstSends += bucket.firstSends;
			repeats += bucket.repeats;
			maxHosts = Math.max(maxHosts, bucket.hostCount);
		}

		const {ratio, slack} = this.bounds;
		return {
			repeats, firstSends, allowed: usedShare * ((ratio * firstSends) + (slack / maxHosts)), hosts: maxHosts,
		};
	}

	private bucketAt(nowMs: number): WindowBucket {
		const {windowMs} = this.bounds;
		while (this.buckets.length > 0 && this.buckets[0].atMs <= nowMs - windowMs) {
			this.buckets.shift();
		}

		const last = this.buckets.at(-1);
		const hostCount = this.hostCount();
		if (last && nowMs < last.atMs + (windowMs / bucketsPerWindow)) {
			last.hostCount = Math.max(last.hostCount, hostCount);
			return last;
		}

		const bucket = {
			atMs: nowMs, firstSends: 0, repeats: 0, hostCount,
		};
		this.buckets.push(bucket);
		return bucket;
	}
}

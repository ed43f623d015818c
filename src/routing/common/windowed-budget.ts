/** Limits repeated sends in a sliding window to a share of the first sends plus this host's part of a slack. */

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
/** Share of the bounds that hosts use. The margin is needed because the windows of hosts are not aligned, and the bounds apply to the times at which sends arrive. */
export const usedShare = 0.85;

/** This host's part of what may be used of the slack, and the time from which it may be used. */
export type SlackPart = {
	/** Returns the part; undefined if it can't be used now, because it isn't known. */
	readonly partAt: (nowMs: number) => number | undefined;
	readonly fromMs: number;
};

/** State of a budget: what was sent within the window, the repeats that it allows, and the part of the slack in them. */
export type BudgetState = {readonly repeats: number; readonly firstSends: number; readonly allowed: number; readonly slack: number};

type WindowBucket = {readonly atMs: number; firstSends: number; repeats: number; slack: number};

/** Counts the first sends and repeats to one pool on this host. */
export class WindowedBudget {
	/**
	Creates a budget.
	@param bounds - the bounds on all hosts together.
	@param slackPart - this host's part of the slack.
	*/
	static create(bounds: RepeatBounds, slackPart: SlackPart): WindowedBudget {
		return new WindowedBudget(bounds, slackPart);
	}

	private readonly buckets: WindowBucket[] = [];

	private constructor(private readonly bounds: RepeatBounds, private readonly slackPart: SlackPart) {}

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
		const isSlackUsable = nowMs >= this.slackPart.fromMs && this.slackPart.partAt(nowMs) !== undefined;
		this.bucketAt(nowMs);
		let firstSends = 0;
		let repeats = 0;
		// A part that has grown within the window may still be in use by a host that has left since.
		let slack = Infinity;
		const {ratio, windowMs} = this.bounds;
		for (const bucket of this.buckets) {
			repeats += bucket.repeats;
			// The last bucket holds sends that are older than the window, too: they count as repeats, but allow none.
			if (bucket.atMs > nowMs - windowMs) {
				firstSends += bucket.firstSends;
				slack = Math.min(slack, bucket.slack);
			}
		}

		slack = isSlackUsable ? slack : 0;
		return {
			repeats, firstSends, allowed: (usedShare * ratio * firstSends) + slack, slack,
		};
	}

	private bucketAt(nowMs: number): WindowBucket {
		const {windowMs} = this.bounds;
		const bucketMs = windowMs / bucketsPerWindow;
		while (this.buckets.length > 0 && this.buckets[0].atMs + bucketMs <= nowMs - windowMs) {
			this.buckets.shift();
		}

		const last = this.buckets.at(-1);
		const slack = this.slackPart.partAt(nowMs) ?? Infinity;
		if (last && nowMs < last.atMs + bucketMs) {
			last.slack = Math.min(last.slack, slack);
			return last;
		}

		const bucket = {
			atMs: nowMs, firstSends: 0, repeats: 0, slack,
		};
		this.buckets.push(bucket);
		return bucket;
	}
}

/** Repeats bounded over a sliding window, as a share of first sends and a slack that all hosts divide among them. */

/** Bounds on repeats, as the deployment's settings give them. */
export type RepeatBounds = {
	/** Repeats allowed for each first send. */
	readonly ratio: number;
	/** Repeats allowed in each window besides, over all hosts together. */
	readonly slack: number;
	readonly windowMs: number;
};

/** The window is counted in this many steps; the oldest is dropped whole. */
const stepsPerWindow = 20;
/** Part of the bounds that is used: hosts count at different moments, and a send counts where it arrives. */
const usedShare = 0.85;

type Step = {readonly atMs: number; firsts: number; repeats: number; hosts: number};

/** Counts first sends and repeats of one pool on this host. */
export class WindowedBudget {
	/**
	Makes a budget.
	@param bounds - for all hosts together.
	@param hostCount - gives how many hosts share the slack now.
	*/
	static create(bounds: RepeatBounds, hostCount: () => number): WindowedBudget {
		return new WindowedBudget(bounds, hostCount);
	}

	private readonly steps: Step[] = [];

	private constructor(private readonly bounds: RepeatBounds, private readonly hostCount: () => number) {}

	/**
	Something was sent for the first time.
	@param nowMs - the time.
	@param count - how many.
	*/
	countFirst(nowMs: number, count = 1): void {
		this.stepAt(nowMs).firsts += count;
	}

	/**
	Pays for a repeat.
	@param nowMs - the time.
	@param count - how many are sent at once.
	@returns whether they may be sent.
	*/
	tryWithdraw(nowMs: number, count = 1): boolean {
		const current = this.stepAt(nowMs);
		let firsts = 0;
		let repeats = 0;
		// Hosts that are cut off or have left may have used their part of the window.
		let hosts = 1;
		for (const step of this.steps) {
			firsts += step.firsts;
			repeats += step.repeats;
			hosts = Math.max(hosts, step.hosts);
		}

		const {ratio, slack} = this.bounds;
		const allowed = usedShare * ((ratio * firsts) + (slack / hosts));
		if (repeats + count > allowed) {
			return false;
		}

		current.repeats += count;
		return true;
	}

	private stepAt(nowMs: number): Step {
		const {windowMs} = this.bounds;
		while (this.steps.length > 0 && this.steps[0].atMs <= nowMs - windowMs) {
			this.steps.shift();
		}

		const last = this.steps.at(-1);
		const hosts = this.hostCount();
		if (last && nowMs < last.atMs + (windowMs / stepsPerWindow)) {
			last.hosts = Math.max(last.hosts, hosts);
			return last;
		}

		const step = {
			atMs: nowMs, firsts: 0, repeats: 0, hosts,
		};
		this.steps.push(step);
		return step;
	}
}

/** Takes upstreams out for a while that fail, or are far slower than their peers. */
import type {Candidate} from './chooser.js';

/** When an upstream is taken out, and for how long. */
export type OutlierOptions = {
	readonly consecutiveFailures: number;
	readonly errorShare: number;
	/** Times the median slowness of its peers. */
	readonly slowFactor: number;
	readonly baseEjectionMs: number;
	readonly longestEjectionMs: number;
	/** Most of a pool that may be out at once. */
	readonly mostEjectedShare: number;
};

export const defaultOutlierOptions: OutlierOptions = {
	consecutiveFailures: 3, errorShare: 0.6, slowFactor: 4, baseEjectionMs: 2000, longestEjectionMs: 30_000, mostEjectedShare: 0.34,
};

const fewestKnown = 3;

type Ejection = {untilMs: number; count: number};

/** Keeps the ejected upstreams of all pools. */
export class OutlierDetector {
	static create(options: OutlierOptions = defaultOutlierOptions): OutlierDetector {
		return new OutlierDetector(options);
	}

	private readonly ejections = new Map<string, Ejection>();

	private constructor(private readonly options: OutlierOptions) {}

	/**
	Leaves out the ejected ones, within the bound on their share.
	@param candidates - all of a pool.
	@param nowMs - the time.
	@returns those that may be chosen; never none where there were some.
	*/
	withoutEjected(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
		if (this.ejections.size === 0) {
			return candidates;
		}

		const kept = candidates.filter(candidate => !this.isEjected(candidate.upstreamId, nowMs));
		const fewest = Math.ceil(candidates.length * (1 - this.options.mostEjectedShare));
		return kept.length >= Math.max(1, fewest) ? kept : candidates;
	}

	isEjected(upstreamId: string, nowMs: number): boolean {
		return (this.ejections.get(upstreamId)?.untilMs ?? 0) > nowMs;
	}

	/**
	Looks at an upstream after one of its calls ended.
	@param observed - the upstream.
	@param peers - all of its pool.
	@param medianSlowness - of the pool, where enough is known.
	@param nowMs - the time.
	@returns whether it is now taken out.
	*/
	observe(observed: Candidate, peers: readonly Candidate[], medianSlowness: number | undefined, nowMs: number): boolean {
		const {stats, upstreamId} = observed;
		if (this.isEjected(upstreamId, nowMs) || !this.isOutlier(observed, medianSlowness)) {
			return false;
		}

		const ejected = peers.filter(peer => this.isEjected(peer.upstreamId, nowMs)).length;
		if (ejected + 1 > peers.length * this.options.mostEjectedShare) {
			return false;
		}

		const count = (this.ejections.get(upstreamId)?.count ?? 0) + 1;
		const lengthMs = Math.min(this.options.longestEjectionMs, this.options.baseEjectionMs * (2 ** (count - 1)));
		this.ejections.set(upstreamId, {untilMs: nowMs + lengthMs, count});
		// What was measured before counts no longer when it comes back.
		stats.errorShare = 0;
		stats.consecutiveFailures = 0;
		stats.slowness = undefined;
		return true;
	}

	private isOutlier(observed: Candidate, medianSlowness: number | undefined): boolean {
		const {stats} = observed;
		if (stats.consecutiveFailures >= this.options.consecutiveFailures || stats.errorShare > this.options.errorShare) {
			return true;
		}

		return medianSlowness !== undefined && (stats.slowness ?? 0) > medianSlowness * this.options.slowFactor;
	}
}

/**
Gives the middle slowness of a pool.
@param candidates - its upstreams.
@returns nothing where fewer than three are known.
*/
export function medianSlownessOf(candidates: readonly Candidate[]): number | undefined {
	const known = candidates.flatMap(candidate => candidate.stats.slowness ?? []).toSorted((a, b) => a - b);
	return known.length < fewestKnown ? undefined : known[Math.floor((known.length - 1) / 2)];
}

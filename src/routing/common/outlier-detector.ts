/** Ejects upstreams that fail, or are much slower than the other upstreams of their pool, for a limited time. */
import type {Candidate} from './chooser.js';

/** Conditions and duration of an ejection. */
export type OutlierOptions = {
	readonly consecutiveFailures: number;
	readonly errorShare: number;
	/** An upstream is an outlier if its slowness exceeds the median of its pool by this factor. */
	readonly slowFactor: number;
	readonly baseEjectionMs: number;
	readonly maxEjectionMs: number;
	/** Maximum share of a pool that may be ejected at the same time. */
	readonly maxEjectedShare: number;
};

export const defaultOutlierOptions: OutlierOptions = {
	consecutiveFailures: 3, errorShare: 0.6, slowFactor: 4, baseEjectionMs: 2000, maxEjectionMs: 30_000, maxEjectedShare: 0.34,
};

const minKnownUpstreams = 3;

type Ejection = {untilMs: number; count: number};

/** Tracks the ejected upstreams of all pools. */
export class OutlierDetector {
	static create(options: OutlierOptions = defaultOutlierOptions): OutlierDetector {
		return new OutlierDetector(options);
	}

	private readonly ejections = new Map<string, Ejection>();

	private constructor(private readonly options: OutlierOptions) {}

	/**
	Filters out ejected candidates. Returns all candidates if more than the maximum share of them is ejected.
	@param candidates - all candidates of a pool.
	@param nowMs - the current time.
	@returns the candidates that may be chosen; not empty if there are candidates.
	*/
	withoutEjected(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
		if (this.ejections.size === 0) {
			return candidates;
		}

		const kept = candidates.filter(candidate => !this.isEjected(candidate.upstreamId, nowMs));
		const minKept = Math.ceil(candidates.length * (1 - this.options.maxEjectedShare));
		return kept.length >= Math.max(1, minKept) ? kept : candidates;
	}

	isEjected(upstreamId: string, nowMs: number): boolean {
		return (this.ejections.get(upstreamId)?.untilMs ?? 0) > nowMs;
	}

	/**
	Evaluates an upstream after one of its calls has ended, and ejects it if it is an outlier.
	@param observed - the upstream.
	@param peers - all upstreams of its pool.
	@param medianSlowness - the median slowness of the pool, or undefined if too few are known.
	@param nowMs - the current time.
	@returns whether the upstream has been ejected by this call.
	*/
	observe(observed: Candidate, peers: readonly Candidate[], medianSlowness: number | undefined, nowMs: number): boolean {
		const {stats, upstreamId} = observed;
		if (this.isEjected(upstreamId, nowMs) || !this.isOutlier(observed, medianSlowness)) {
			return false;
		}

		const ejected = peers.filter(peer => this.isEjected(peer.upstreamId, nowMs)).length;
		if (ejected + 1 > peers.length * this.options.maxEjectedShare) {
			return false;
		}

		const count = (this.ejections.get(upstreamId)?.count ?? 0) + 1;
		const durationMs = Math.min(this.options.maxEjectionMs, this.options.baseEjectionMs * (2 ** (count - 1)));
		this.ejections.set(upstreamId, {untilMs: nowMs + durationMs, count});
		// Statistics from before the ejection must not count after it ends.
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
Computes the median slowness of a pool.
@param candidates - the upstreams of the pool.
@returns the median, or undefined if the slowness of fewer than three upstreams is known.
*/
export function medianSlownessOf(candidates: readonly Candidate[]): number | undefined {
	const known = candidates.flatMap(candidate => candidate.stats.slowness ?? []).toSorted((a, b) => a - b);
	return known.length < minKnownUpstreams ? undefined : known[Math.floor((known.length - 1) / 2)];
}

/** Choice of an upstream for one attempt from a set of candidates, without I/O. */
import type {Random} from '../../base/common/random.js';
import type {UpstreamStats} from './upstream-stats.js';

/** An upstream that may be chosen. */
export type Candidate = {
	readonly upstreamId: string;
	readonly hall: string;
	readonly stats: UpstreamStats;
	/** When the upstream joined; a new upstream goes through a warm-up. */
	readonly joinedMs: number;
};

/** Upstreams that may be chosen, accessible by index and by id. */
export type CandidateSet = {
	readonly list: readonly Candidate[];
	get(upstreamId: string): Candidate | undefined;
};

/**
Creates a candidate set from a list.
@param list - the candidates.
*/
export function makeCandidateSet(list: readonly Candidate[]): CandidateSet {
	const byId = new Map(list.map(candidate => [candidate.upstreamId, candidate]));
	return {list, get: upstreamId => byId.get(upstreamId)};
}

/** Requirements of the attempt. */
export type ChoiceNeed = {
	/** The data hall of the entry. */
	readonly hall: string;
	readonly model?: string;
	readonly adapter?: string;
	/** Hash of the part of the input that is shared with other requests; 0 if nothing is shared. */
	readonly prefixHash: number;
	/** Typical time of the stage on an upstream. */
	readonly expectedMs: number;
	/** Concurrent calls to assume for an upstream that does not report its slots. */
	readonly slots: number;
};

/** A candidate with its score (lower is better), kept to explain a choice. */
export type ScoredCandidate = {readonly candidate: Candidate; readonly scoreMs: number};

/** A choice and the scores it is based on. */
export type Choice = {readonly chosen: Candidate; readonly scored: readonly ScoredCandidate[]};

/** A strategy that chooses one of several upstreams. */
export type UpstreamChooser = {
	/**
	Chooses an upstream.
	@param candidates - the candidates; at least one.
	@param need - the requirements of the attempt.
	@param nowMs - the current time.
	@returns the choice.
	*/
	choose(candidates: CandidateSet, need: ChoiceNeed, nowMs: number): Choice;
};

/** Baseline: a random candidate. */
export class RandomChooser implements UpstreamChooser {
	static create(random: Random): RandomChooser {
		return new RandomChooser(random);
	}

	private constructor(private readonly random: Random) {}

	choose({list: candidates}: CandidateSet): Choice {
		return {chosen: candidates[this.random.int(candidates.length)], scored: []};
	}
}

/** Baseline: the candidates in turn. */
export class RoundRobinChooser implements UpstreamChooser {
	static create(): RoundRobinChooser {
		return new RoundRobinChooser();
	}

	private next = 0;

	choose({list: candidates}: CandidateSet): Choice {
		this.next++;
		return {chosen: candidates[this.next % candidates.length], scored: []};
	}
}

/** Baseline: the candidate with the fewest calls in flight from this entry. */
export class LeastInFlightChooser implements UpstreamChooser {
	static create(random: Random): LeastInFlightChooser {
		return new LeastInFlightChooser(random);
	}

	private constructor(private readonly random: Random) {}

	choose({list: candidates}: CandidateSet): Choice {
		const offset = this.random.int(candidates.length);
		let chosen = candidates[offset];
		for (let index = 1; index < candidates.length; index++) {
			const candidate = candidates[(offset + index) % candidates.length];
			if (candidate.stats.inFlight < chosen.stats.inFlight) {
				chosen = candidate;
			}
		}

		return {chosen, scored: []};
	}
}

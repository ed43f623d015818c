/** Choice of an upstream for one attempt: candidates in, one out, no I/O. */
import type {Random} from '../../base/common/random.js';
import type {UpstreamStats} from './upstream-stats.js';

/** An upstream that may be chosen. */
export type Candidate = {
	readonly upstreamId: string;
	readonly hall: string;
	readonly stats: UpstreamStats;
	/** When it joined; a new one warms up. */
	readonly joinedMs: number;
};

/** Upstreams that may be chosen, found by position and by id. */
export type CandidateSet = {
	readonly list: readonly Candidate[];
	get(upstreamId: string): Candidate | undefined;
};

/**
Makes a set of a list.
@param list - the candidates.
*/
export function makeCandidateSet(list: readonly Candidate[]): CandidateSet {
	const byId = new Map(list.map(candidate => [candidate.upstreamId, candidate]));
	return {list, get: upstreamId => byId.get(upstreamId)};
}

/** What the attempt needs. */
export type ChoiceNeed = {
	/** The entry's own hall. */
	readonly hall: string;
	readonly model?: string;
	readonly adapter?: string;
	/** Hash of the part of the input that requests share; 0 where nothing is shared. */
	readonly prefixHash: number;
	/** Time the stage usually takes on an upstream. */
	readonly expectedMs: number;
	/** Calls an upstream runs at once where it does not say. */
	readonly slots: number;
};

/** A candidate with its score, lower is better, for explaining a choice. */
export type ScoredCandidate = {readonly candidate: Candidate; readonly scoreMs: number};

/** A choice, with what was weighed. */
export type Choice = {readonly chosen: Candidate; readonly scored: readonly ScoredCandidate[]};

/** Chooses one of several upstreams. */
export type UpstreamChooser = {
	/**
	Chooses.
	@param candidates - at least one.
	@param need - what the attempt needs.
	@param nowMs - the time.
	@returns the choice.
	*/
	choose(candidates: CandidateSet, need: ChoiceNeed, nowMs: number): Choice;
};

/** Baseline: any of them. */
export class RandomChooser implements UpstreamChooser {
	static create(random: Random): RandomChooser {
		return new RandomChooser(random);
	}

	private constructor(private readonly random: Random) {}

	choose({list: candidates}: CandidateSet): Choice {
		return {chosen: candidates[this.random.int(candidates.length)], scored: []};
	}
}

/** Baseline: each in turn. */
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

/** Baseline: the one with the fewest calls of this entry. */
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

/** The chooser used in production: picks the candidate with the lowest predicted time from a small sample. */
import type {Random} from '../../base/common/random.js';
import type {
	Candidate, CandidateSet, Choice, ChoiceNeed, ScoredCandidate, UpstreamChooser,
} from './chooser.js';
import type {PrefixIndex} from './prefix-index.js';

/** Parameters of the score. */
export type ScoreOptions = {
	/** Candidates sampled for each choice; in pools up to this size all candidates are scored. */
	readonly sampleSize: number;
	/** Penalty for an upstream in another data hall. */
	readonly otherHallMs: number;
	/** Share of the answer time that a prefix in the upstream's cache saves. */
	readonly prefixSavingShare: number;
	/** Penalty if the model or adapter is not loaded; large enough to make the upstream a last resort. */
	readonly notLoadedMs: number;
	/** Time after joining over which the penalty of a new upstream declines to zero. */
	readonly warmUpMs: number;
};

export const defaultScoreOptions: ScoreOptions = {
	sampleSize: 5, otherHallMs: 0.5, prefixSavingShare: 0.3, notLoadedMs: 60_000, warmUpMs: 5000,
};

/** Scores candidates by predicted wait and answer time, less the time that a cached prefix saves. */
export class ScoreChooser implements UpstreamChooser {
	static create(random: Random, prefixes: PrefixIndex, options = defaultScoreOptions): ScoreChooser {
		return new ScoreChooser(random, prefixes, options);
	}

	private constructor(
		private readonly random: Random,
		private readonly prefixes: PrefixIndex,
		private readonly options: ScoreOptions,
	) {}

	choose(candidates: CandidateSet, need: ChoiceNeed, nowMs: number): Choice {
		const scored = this.sample(candidates, need.prefixHash).map(candidate => ({
			candidate, scoreMs: this.score(candidate, need, nowMs),
		}));
		let [best] = scored;
		for (const item of scored) {
			if (item.scoreMs < best.scoreMs) {
				best = item;
			}
		}

		return {chosen: best.candidate, scored};
	}

	/** A random sample that includes the likely holder of the prefix. */
	private sample(set: CandidateSet, prefixHash: number): Candidate[] {
		const {sampleSize} = this.options;
		const {list: candidates} = set;
		const start = this.random.int(candidates.length);
		if (candidates.length <= sampleSize) {
			return candidates.map((_, index) => candidates[(start + index) % candidates.length]);
		}

		const sampled = new Set<Candidate>();
		const holder = this.prefixes.likelyHolder(prefixHash);
		const holderCandidate = holder === undefined ? undefined : set.get(holder);
		if (holderCandidate) {
			sampled.add(holderCandidate);
		}

		while (sampled.size < sampleSize) {
			sampled.add(candidates[this.random.int(candidates.length)]);
		}

		return [...sampled];
	}

	private score(candidate: Candidate, need: ChoiceNeed, nowMs: number): ScoredCandidate['scoreMs'] {
		const {stats} = candidate;
		if (stats.isTrialDue(nowMs)) {
			return 0;
		}

		const slots = Math.max(1, stats.load?.slots ?? need.slots);
		const answerMs = need.expectedMs * stats.expectedSlownessAt(nowMs);
		const outstanding = stats.outstanding(nowMs);
		const waitMs = stats.waitInServiceTimes(need.slots, nowMs) * answerMs;
		// Even with free slots an upstream slows down a little with each call that it batches.
		const batchingMs = (Math.min(outstanding, slots) / slots) * answerMs * 0.5;
		const savedMs = this.prefixes.holdLikelihood(candidate.upstreamId, need.prefixHash, nowMs) * answerMs * this.options.prefixSavingShare;
		const crossHallMs = candidate.hall === need.hall ? 0 : this.options.otherHallMs;
		const errorFactor = 1 + (4 * stats.errorShare);
		return ((waitMs + batchingMs + answerMs - savedMs) * errorFactor * this.warmUpFactor(candidate, nowMs))
			+ crossHallMs + this.notLoadedMs(candidate, need);
	}

	private warmUpFactor(candidate: Candidate, nowMs: number): number {
		const ageMs = nowMs - candidate.joinedMs;
		return ageMs >= this.options.warmUpMs ? 1 : 1 + ((1 - (ageMs / this.options.warmUpMs)) * 0.5);
	}

	private notLoadedMs(candidate: Candidate, need: ChoiceNeed): number {
		const models = candidate.stats.load?.models ?? [];
		if (need.model === undefined || models.length === 0) {
			return 0;
		}

		const isLoaded = models.some(loaded => loaded.model === need.model
			&& (need.adapter === undefined || loaded.adapters.includes(need.adapter)));
		return isLoaded ? 0 : this.options.notLoadedMs;
	}
}

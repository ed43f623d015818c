/** Routing for upstreams without an agent: joins the list of servers, signs of life, statistics and budgets. */
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Attempt} from '../../request/common/attempt.js';
import {attemptStates, type RequestPlan, type StagePlan} from '../../request/common/request-plan.js';
import {clearStanding, type Quarantine, type Standing} from '../../quarantine/common/quarantine.js';
import {refusalReasons} from '../../wire/common/messages.js';
import type {RequestRouter, Unavailability} from '../../request/common/request-router.js';
import {
	makeCandidateSet, type Candidate, type Choice, type UpstreamChooser,
} from '../../routing/common/chooser.js';
import {medianSlownessOf, OutlierDetector, type OutlierOptions} from '../../routing/common/outlier-detector.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import type {ServerRefusals} from '../../routing/common/server-refusals.js';
import {ServerLiveness} from '../../routing/common/server-liveness.js';
import {StageEstimates} from '../../routing/common/stage-estimates.js';
import {UpstreamStats} from '../../routing/common/upstream-stats.js';
import {WindowedBudget, type RepeatBounds} from '../../routing/common/windowed-budget.js';
import type {EngineChooser, PromptNeed} from './engine-chooser.js';
import type {PoolAvailability} from './pool-availability.js';

/** Expected answer time until eight answers were measured: in the range of a plain service that answers at once. */
const defaultAnswerMs = 60;
/** Time without any sign after which an upstream counts as silent, at least: several usual answer times. */
const fewestSilentMs = 400;
/** The same in usual answer times. */
const silentAnswers = 6;
/** First while without new work after a connection failed; a restarted server is listed anew sooner than this doubles. */
const unreachableMs = 400;
const longestUnreachableMs = 4000;
/** How long a server that has ended is left alone: longer than its entry takes to lapse. Each call to it would cost a repeat. */
const endedMs = 4000;
/** A repeatable plain call is sent a second time after this share of its target, or when it is unusually slow. */
const hedgeTargetShare = 0.5;
const hedgeSlowFactor = 1.3;
/** An error is often the request's own, so more of them are needed than by default. */
const outlierOptions: OutlierOptions = {
	consecutiveFailures: 6, errorShare: 0.5, slowFactor: 3, baseEjectionMs: 1500, maxEjectionMs: 6000, maxEjectedShare: 0.5,
};

/** Ends of attempts that say nothing about the upstream. */
const innocentReasons = new Set(['lostRace', 'abandoned', 'cancelled']);

/** What the router is made of. */
export type DirectRouterOptions = {
	readonly hall: string;
	readonly registry: ServerRegistry;
	readonly chooser: UpstreamChooser;
	readonly bounds: RepeatBounds;
	/** Hosts that share the budget of repeats. */
	readonly hostCount: () => number;
	readonly newDispatchId: () => string;
	readonly engines: EngineChooser;
	/** A prompt was sent to an engine: peers reckon with it too. */
	readonly assigned: (serverId: string, prompt: readonly PromptPart[]) => void;
	readonly quarantine: Pick<Quarantine, 'standingOf'>;
	/** Which upstreams may get something at all. */
	readonly availability: PoolAvailability;
	/** Which upstreams refuse work of late. */
	readonly refusals: ServerRefusals;
};

/** Where a request will most likely run, and how soon its first token comes once it is sent. */
export type LikelyPlace = {readonly hall: string; readonly firstMs: number};

type Known = {readonly candidate: Candidate; readonly signs: ServerLiveness};

/** Chooses servers for one host. */
export class DirectRouter implements RequestRouter {
	static create(options: DirectRouterOptions): DirectRouter {
		return new DirectRouter(options);
	}

	private readonly known = new Map<string, Known>();
	private readonly budgets = new Map<string, WindowedBudget>();
	private readonly answerTimes = StageEstimates.create();
	private readonly outliers = OutlierDetector.create(outlierOptions);

	private constructor(private readonly options: DirectRouterOptions) {
		options.registry.onDidChange(({server, change}) => {
			if (change === 'gone') {
				this.known.delete(server.serverId);
				options.refusals.forget(server.serverId);
			}

			if (change === 'gone' || change === 'cold') {
				// What it kept is gone, or may be.
				options.engines.forget(server.serverId);
			}
		});
	}

	standingOf({workspace, http}: RequestPlan): Standing {
		return http ? this.options.quarantine.standingOf({workspace, http}) : clearStanding;
	}

	choose(stage: StagePlan, excluded: ReadonlySet<string>, _prefixHash: number, nowMs: number): Choice | undefined {
		const candidates = this.usable(stage, excluded, nowMs);
		if (candidates.length === 0) {
			return undefined;
		}

		const byPrompt = this.chooseByPrompt(stage, candidates, nowMs);
		if (byPrompt) {
			return {chosen: byPrompt, scored: []};
		}

		return this.options.chooser.choose(makeCandidateSet(candidates), {
			hall: this.options.hall,
			prefixHash: 0,
			expectedMs: this.answerTimes.typicalMs(stage.key) ?? defaultAnswerMs,
			slots: stage.slots,
		}, nowMs);
	}

	unavailability(stage: StagePlan, nowMs: number): Unavailability | undefined {
		return this.options.availability.ofStage(stage, nowMs);
	}

	retryAfterMs({pool}: StagePlan, nowMs: number): number | undefined {
		const openInMs = this.options.registry.usable(pool).map(({serverId}) => this.options.refusals.retryInMs(serverId, nowMs));
		const soonestMs = Math.min(...openInMs);
		return soonestMs > 0 && soonestMs < Infinity ? soonestMs : undefined;
	}

	mayRetry(stage: StagePlan, nowMs: number): boolean {
		return this.budgetOf(stage.pool).tryWithdraw(nowMs);
	}

	mayHedge(stage: StagePlan, nowMs: number): boolean {
		return this.mayRetry(stage, nowMs);
	}

	hedgeDelayMs(stage: StagePlan): number | undefined {
		const {targetMs} = stage;
		if (targetMs === undefined) {
			return undefined;
		}

		return Math.max(targetMs * hedgeTargetShare, (this.answerTimes.slowMs(stage.key) ?? 0) * hedgeSlowFactor);
	}

	/** Requests are not refused by predicted time here: the batches and the servers' own queues say when there is no room. */
	optimisticRunMs(): number {
		return 0;
	}

	optimisticFinishMs(): number {
		return 0;
	}

	didDispatch(stage: StagePlan, attempt: Attempt, _prefixHash: number, nowMs: number): void {
		const {upstreamId, dispatchId, kind} = attempt.options;
		const known = this.knownOf(upstreamId, nowMs);
		if (known) {
			this.options.availability.sent(known.candidate, stage, nowMs);
			this.options.refusals.sent(upstreamId, nowMs);
			known.candidate.stats.inFlight++;
			known.signs.sent(dispatchId, nowMs);
		}

		const need = needOf(stage);
		if (need && known) {
			this.options.engines.sent(dispatchId, need, known.candidate, nowMs);
			this.options.assigned(upstreamId, need.prompt);
		}

		if (kind === 'first') {
			this.budgetOf(stage.pool).countFirstSends(nowMs);
		}
	}

	didBegin(stage: StagePlan, attempt: Attempt, nowMs: number): void {
		const {upstreamId, dispatchId, sentAtMs} = attempt.options;
		const known = this.known.get(upstreamId);
		this.options.refusals.accepted(upstreamId);
		if (known) {
			this.options.engines.began(dispatchId, stage.pool, known.candidate, nowMs - sentAtMs);
		}
	}

	/**
	A peer has sent a prompt to an engine.
	@param serverId - the engine.
	@param prompt - its parts.
	@param nowMs - the time.
	*/
	promptSent(serverId: string, prompt: readonly PromptPart[], nowMs: number): void {
		const server = this.options.registry.get(serverId);
		if (server) {
			const {candidate} = this.meet(server, nowMs);
			this.options.engines.assigned({pool: server.pool, prompt}, candidate, nowMs);
		}
	}

	didEnd(stage: StagePlan, attempt: Attempt, nowMs: number): void {
		const {upstreamId, dispatchId} = attempt.options;
		const known = this.known.get(upstreamId);
		this.options.engines.ended(dispatchId);
		if (!known) {
			return;
		}

		const {candidate, signs} = known;
		candidate.stats.inFlight--;
		signs.forget(dispatchId);
		if (innocentReasons.has(attempt.reason)) {
			return;
		}

		if (attempt.reason === 'notSent' || attempt.reason === 'unreachable') {
			signs.connectionFailed(nowMs, unreachableMs, longestUnreachableMs);
			return;
		}

		const isFailure = attempt.state === attemptStates.failed || attempt.state === attemptStates.unknown;
		const tookMs = attempt.queueMs > 0 ? attempt.queueMs : attempt.runMs;
		if (attempt.state === attemptStates.completed) {
			this.answerTimes.record(stage.key, tookMs);
		}

		if (attempt.reason === refusalReasons.queueFull) {
			this.options.refusals.refused({serverId: upstreamId, pool: stage.pool}, nowMs);
		}

		if (attempt.state !== attemptStates.notRun) {
			this.options.refusals.accepted(upstreamId);
			candidate.stats.observeOutcome(isFailure);
			if (!isFailure && !stage.prompt) {
				candidate.stats.observeTime(tookMs, this.answerTimes.typicalMs(stage.key) ?? defaultAnswerMs);
			}

			const peers = this.candidatesOf(stage.pool, nowMs);
			this.outliers.observe(candidate, peers, medianSlownessOf(peers), nowMs);
		}
	}

	didComplete(): void {
		// Times are taken from each attempt: they say more about its server.
	}

	newDispatchId(): string {
		return this.options.newDispatchId();
	}

	/**
	Tells where a request with a prompt will most likely run.
	@param stage - its stage.
	@param nowMs - the time.
	@returns the data hall, empty where it can't be told, and the time to the first token, about.
	*/
	likelyPlace(stage: StagePlan, nowMs: number): LikelyPlace {
		const candidate = this.chooseByPrompt(stage, this.usable(stage, new Set(), nowMs), nowMs);
		const need = needOf(stage);
		if (!candidate || !need) {
			return {hall: '', firstMs: this.answerTimes.typicalMs(stage.key) ?? defaultAnswerMs};
		}

		return {hall: candidate.hall, firstMs: this.options.engines.firstTokenMs(need, candidate, nowMs)};
	}

	/**
	A server has ended, as this host or a peer found out; its entry may be listed for some seconds more.
	@param serverId - which start.
	@param nowMs - the time.
	*/
	serverEnded(serverId: string, nowMs: number): void {
		this.knownOf(serverId, nowMs)?.signs.crashed(nowMs, endedMs);
	}

	/**
	Something came from a server.
	@param serverId - which.
	@param dispatchId - for which attempt.
	@param nowMs - the time.
	*/
	heard(serverId: string, dispatchId: string, nowMs: number): void {
		this.known.get(serverId)?.signs.received(dispatchId, nowMs);
	}

	/** Servers of the pool that may be chosen: those that may get something now, sound ones first, cold ones only where none of them is warm. */
	private usable(stage: StagePlan, excluded: ReadonlySet<string>, nowMs: number): readonly Candidate[] {
		const {availability} = this.options;
		const all = this.candidatesOf(stage.pool, nowMs).filter(candidate => !excluded.has(candidate.upstreamId));
		const sound = availability.open(all.filter(candidate => !this.isInDoubt(candidate, stage, nowMs)), stage, nowMs);
		return sound.length > 0 ? this.outliers.withoutEjected(sound, nowMs) : availability.open(all, stage, nowMs);
	}

	private isInDoubt(candidate: Candidate, stage: StagePlan, nowMs: number): boolean {
		const {signs} = this.known.get(candidate.upstreamId)!;
		const usualMs = this.answerTimes.typicalMs(stage.key) ?? defaultAnswerMs;
		return signs.isAvoided(nowMs) || this.options.refusals.isAvoided(candidate.upstreamId, nowMs) || signs.silentMs(nowMs) > Math.max(fewestSilentMs, usualMs * silentAnswers);
	}

	private chooseByPrompt(stage: StagePlan, candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
		const need = needOf(stage);
		return need && this.options.engines.choose(need, candidates, nowMs);
	}

	private candidatesOf(pool: string, nowMs: number): readonly Candidate[] {
		return this.options.registry.usable(pool).map(server => this.meet(server, nowMs).candidate);
	}

	private knownOf(serverId: string, nowMs: number): Known | undefined {
		const server = this.options.registry.get(serverId);
		return server && this.meet(server, nowMs);
	}

	private meet(server: UpstreamServer, nowMs: number): Known {
		let known = this.known.get(server.serverId);
		if (!known) {
			known = {
				candidate: {
					upstreamId: server.serverId, hall: server.hall, stats: UpstreamStats.create(), joinedMs: nowMs,
				},
				signs: ServerLiveness.create(),
			};
			this.known.set(server.serverId, known);
		}

		return known;
	}

	private budgetOf(pool: string): WindowedBudget {
		let budget = this.budgets.get(pool);
		if (!budget) {
			budget = WindowedBudget.create(this.options.bounds, this.options.hostCount);
			this.budgets.set(pool, budget);
		}

		return budget;
	}
}

/** What a stage asks of an engine, where it has a prompt. */
function needOf({pool, prompt, inputBytesByHall}: StagePlan): PromptNeed | undefined {
	return prompt && {pool, prompt, ...(inputBytesByHall && {inputBytesByHall})};
}

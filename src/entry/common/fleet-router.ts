/** Routing of one entry: combines membership, statistics, estimates and budgets for the request state machine. */
import {type MemberTable, type Member} from '../../membership/common/member-table.js';
import type {Attempt} from '../../request/common/attempt.js';
import {attemptStates, type StagePlan} from '../../request/common/request-plan.js';
import {clearStanding, type Standing} from '../../quarantine/common/quarantine.js';
import type {RequestRouter} from '../../request/common/request-router.js';
import {
	makeCandidateSet, type Candidate, type CandidateSet, type Choice, type UpstreamChooser,
} from '../../routing/common/chooser.js';
import {medianSlownessOf, OutlierDetector} from '../../routing/common/outlier-detector.js';
import type {PrefixIndex} from '../../routing/common/prefix-index.js';
import {RetryBudget} from '../../routing/common/retry-budget.js';
import {StageEstimates} from '../../routing/common/stage-estimates.js';
import {UpstreamStats} from '../../routing/common/upstream-stats.js';
import type {UpstreamLoad} from '../../wire/common/messages.js';

const defaultRunMs = 50;
/** Time for which the cached shortest wait of a pool is used. */
const waitCacheMs = 25;
/** Time for which the cached candidates of a pool are used while no member changes. */
const viewCacheMs = 100;
/** Reasons for the end of an attempt that are no evidence about the upstream, so that the attempt is not counted in its statistics. */
const neutralReasons = new Set(['lostRace', 'yielded', 'abandoned']);

/** Dependencies of the router; the policies can be replaced by baselines. */
export type FleetRouterOptions = {
	readonly hall: string;
	readonly members: MemberTable;
	readonly chooser: UpstreamChooser;
	readonly prefixes: PrefixIndex;
	readonly newDispatchId: () => string;
	/** Whether outliers are ejected and requests refused because of their predicted time. */
	readonly isAdaptive: boolean;
};

/** State of a pool, cached for a short time. */
type PoolView = {
	readonly version: number;
	readonly atMs: number;
	readonly all: readonly Candidate[];
	readonly usable: CandidateSet;
	readonly medianSlowness: number | undefined;
};

/** Routes the requests of one entry. */
export class FleetRouter implements RequestRouter {
	static create(options: FleetRouterOptions): FleetRouter {
		return new FleetRouter(options);
	}

	/** Time from the first dispatch to the end of a stage, including waits and retries. */
	readonly estimates = StageEstimates.create();
	/** Time on the upstream only. */
	private readonly runTimes = StageEstimates.create();
	private readonly views = new Map<string, PoolView>();
	private readonly waits = new Map<string, {readonly waitMs: number; readonly atMs: number}>();
	private readonly candidates = new Map<string, Candidate>();
	private readonly outliers = OutlierDetector.create();
	private readonly retryBudgets = new Map<string, RetryBudget>();
	private readonly hedgeBudgets = new Map<string, RetryBudget>();

	private constructor(private readonly options: FleetRouterOptions) {}

	/** Not known here: agents themselves report when they accept more work. */
	retryAfterMs(): undefined {
		return undefined;
	}

	/** Never given: a stage may always wait for an agent. */
	unavailability(): undefined {
		return undefined;
	}

	/** Always clear: the entry can't know which requests crash upstreams, because an agent runs between the entry and each upstream. */
	standingOf(): Standing {
		return clearStanding;
	}

	/**
	Handles the first connection of an incarnation: discards what was known of the previous one.
	@param member - the upstream in its new incarnation.
	*/
	handleJoin(member: Member): void {
		this.candidates.set(member.upstreamId, {
			upstreamId: member.upstreamId, hall: member.hall, stats: UpstreamStats.create(), joinedMs: member.joinedMs,
		});
		this.options.prefixes.forgetUpstream(member.upstreamId);
	}

	/**
	Records the load of an upstream, as given in a report or a reply.
	@param upstreamId - id of the upstream.
	@param load - the load, if the message gave one.
	@param nowMs - the current time.
	*/
	observeLoad(upstreamId: string, load: UpstreamLoad | undefined, nowMs: number): void {
		if (load) {
			this.candidates.get(upstreamId)?.stats.observeLoad(load, nowMs);
		}
	}

	/** @returns the statistics of an upstream, or undefined if it is unknown. */
	statsOf(upstreamId: string): UpstreamStats | undefined {
		return this.candidates.get(upstreamId)?.stats;
	}

	isEjected(upstreamId: string, nowMs: number): boolean {
		return this.outliers.isEjected(upstreamId, nowMs);
	}

	choose(stage: StagePlan, excluded: ReadonlySet<string>, prefixHash: number, nowMs: number): Choice | undefined {
		const {usable} = this.viewOf(stage.pool, nowMs);
		const remaining = excluded.size === 0 ? usable : makeCandidateSet(usable.list.filter(candidate => !excluded.has(candidate.upstreamId)));
		if (remaining.list.length === 0) {
			return undefined;
		}

		const {model, adapter} = stage.policy;
		return this.options.chooser.choose(remaining, {
			hall: this.options.hall,
			...(stage.kind === 'generate' && {model, adapter}),
			prefixHash: stage.kind === 'generate' ? prefixHash : 0,
			expectedMs: this.runTimes.typicalMs(stage.key) ?? defaultRunMs,
			slots: stage.slots,
		}, nowMs);
	}

	chooseAgain(stage: StagePlan, upstreamId: string, nowMs: number): Choice | undefined {
		const chosen = this.viewOf(stage.pool, nowMs).usable.list.find(candidate => candidate.upstreamId === upstreamId);
		return chosen && {chosen, scored: []};
	}

	mayRetry(stage: StagePlan, nowMs: number): boolean {
		return this.budgetOf(this.retryBudgets, stage, nowMs).tryWithdraw(nowMs);
	}

	mayHedge(stage: StagePlan, nowMs: number): boolean {
		return this.budgetOf(this.hedgeBudgets, stage, nowMs).tryWithdraw(nowMs);
	}

	hedgeDelayMs(stage: StagePlan): number | undefined {
		const {hedgeShare, attainmentWeight} = stage.policy;
		// A hedge is worth its cost only where attainment is weighted higher than cost.
		return hedgeShare > 0 && attainmentWeight > 0.5 ? this.estimates.slowMs(stage.key) : undefined;
	}

	optimisticRunMs(stages: readonly StagePlan[]): number {
		return this.options.isAdaptive ? this.runTimes.optimisticMs(stages.map(stage => stage.key)) : 0;
	}

	optimisticFinishMs(stages: readonly StagePlan[], nowMs: number): number {
		if (!this.options.isAdaptive) {
			return 0;
		}

		let sumMs = this.optimisticRunMs(stages);
		for (const stage of stages) {
			sumMs += this.shortestWaitMs(stage, nowMs);
		}

		return sumMs;
	}

	didDispatch(stage: StagePlan, attempt: Attempt, prefixHash: number, nowMs: number): void {
		const {upstreamId, kind} = attempt.options;
		const stats = this.candidates.get(upstreamId)?.stats;
		if (stats) {
			stats.inFlight++;
		}

		if (stage.kind === 'generate') {
			this.options.prefixes.observe(upstreamId, prefixHash, nowMs);
		}

		if (kind === 'first') {
			this.budgetOf(this.retryBudgets, stage, nowMs).deposit(stage.policy.retryShare);
			this.budgetOf(this.hedgeBudgets, stage, nowMs).deposit(stage.policy.hedgeShare);
		}
	}

	didEnd(stage: StagePlan, attempt: Attempt, nowMs: number): void {
		const candidate = this.candidates.get(attempt.options.upstreamId);
		if (!candidate || attempt.options.sentAtMs < candidate.joinedMs) {
			return;
		}

		candidate.stats.inFlight = Math.max(0, candidate.stats.inFlight - 1);
		const isFailure = attempt.state === attemptStates.failed || attempt.state === attemptStates.unknown;
		if (neutralReasons.has(attempt.reason) || attempt.state === attemptStates.notRun) {
			return;
		}

		if (!isFailure) {
			this.runTimes.record(stage.key, attempt.runMs);
		}

		candidate.stats.observeEnd(attempt.runMs, this.runTimes.typicalMs(stage.key) ?? attempt.runMs, isFailure);
		if (this.options.isAdaptive) {
			const {all, medianSlowness} = this.viewOf(stage.pool, nowMs);
			if (this.outliers.observe(candidate, all, medianSlowness, nowMs)) {
				this.views.delete(stage.pool);
			}
		}
	}

	didBegin(): void {
		// Nothing to record: agents report how long a call waited for its upstream.
	}

	didComplete(stage: StagePlan, tookMs: number): void {
		this.estimates.record(stage.key, tookMs);
	}

	/** Agents do not report the software version of their upstream. */
	softwareVersionOf(): undefined {
		return undefined;
	}

	/** Agents resume generations of one model version from its tokens, wherever they run. */
	originOf(): undefined {
		return undefined;
	}

	canContinue(): boolean {
		return true;
	}

	newDispatchId(): string {
		return this.options.newDispatchId();
	}

	/** Returns the shortest wait of a pool, cached for a short time so that the cost of admission does not grow with the pool. */
	private shortestWaitMs(stage: StagePlan, nowMs: number): number {
		const cached = this.waits.get(stage.pool);
		if (cached && nowMs - cached.atMs < waitCacheMs) {
			return cached.waitMs;
		}

		const typicalMs = this.runTimes.typicalMs(stage.key) ?? 0;
		const waits = this.viewOf(stage.pool, nowMs).usable.list.map(({stats}) => stats.waitInServiceTimes(stage.slots, nowMs) * typicalMs);
		const waitMs = waits.length === 0 ? 0 : Math.min(...waits);
		this.waits.set(stage.pool, {waitMs, atMs: nowMs});
		return waitMs;
	}

	/** Returns the cached state of a pool; recomputed when a member changes, and periodically because silence changes no member. */
	private viewOf(pool: string, nowMs: number): PoolView {
		const {members, isAdaptive} = this.options;
		const cached = this.views.get(pool);
		if (cached?.version === members.version && nowMs - cached.atMs < viewCacheMs) {
			return cached;
		}

		const all = members.candidates(pool, nowMs).flatMap(member => this.candidates.get(member.upstreamId) ?? []);
		const usable = isAdaptive ? this.outliers.withoutEjected(all, nowMs) : all;
		const view = {
			version: members.version, atMs: nowMs, all, usable: makeCandidateSet(usable), medianSlowness: medianSlownessOf(all),
		};
		this.views.set(pool, view);
		return view;
	}

	private budgetOf(budgets: Map<string, RetryBudget>, stage: StagePlan, nowMs: number): RetryBudget {
		let budget = budgets.get(stage.budgetKey);
		if (!budget) {
			budget = budgets === this.hedgeBudgets ? RetryBudget.create(nowMs, 0) : RetryBudget.create(nowMs);
			budgets.set(stage.budgetKey, budget);
		}

		return budget;
	}
}

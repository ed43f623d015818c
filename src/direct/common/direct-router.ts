/** Routing for upstreams without an agent: combines the server list, liveness, statistics and retry budgets. */
import {isUnreadable} from '../../deployment/common/unreadable-response.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Attempt} from '../../request/common/attempt.js';
import {attemptStates, type RequestPlan, type StagePlan} from '../../request/common/request-plan.js';
import {clearStanding, type Quarantine, type Standing} from '../../quarantine/common/quarantine.js';
import {refusalReasons} from '../../wire/common/messages.js';
import type {RequestRouter, Unavailability} from '../../request/common/request-router.js';
import type {StreamOrigin} from '../../request/common/stream-origin.js';
import {
	makeCandidateSet, type Candidate, type Choice, type UpstreamChooser,
} from '../../routing/common/chooser.js';
import {medianSlownessOf, OutlierDetector, type OutlierOptions} from '../../routing/common/outlier-detector.js';
import type {PromptPart} from '../../routing/common/engine-loads.js';
import type {RepeatBudgets} from '../../routing/common/repeat-budgets.js';
import type {ReportedLoads} from '../../routing/common/reported-load.js';
import type {ServerRefusals} from '../../routing/common/server-refusals.js';
import {ServerLiveness} from '../../routing/common/server-liveness.js';
import {StageEstimates} from '../../routing/common/stage-estimates.js';
import {UpstreamStats} from '../../routing/common/upstream-stats.js';
import type {EngineChooser, PromptWork} from './engine-chooser.js';
import type {PoolAvailability} from './pool-availability.js';
import type {StreamContinuity} from './stream-continuity.js';

/** Expected response time until eight responses have been measured: that of a plain service which responds immediately. */
const defaultResponseMs = 60;
/** Lower bound of the time without data after which an upstream counts as silent: several typical response times. */
const minSilentMs = 400;
/** The time without data after which an upstream counts as silent, as a multiple of the typical response time. */
const silentResponseTimes = 6;
/** Initial backoff after a failed connection; it doubles with each failure. A restarted server is listed again before the backoff has doubled. */
const initialUnreachableBackoffMs = 400;
const maxUnreachableBackoffMs = 4000;
/** How long a crashed server is avoided: longer than its entry takes to expire. Each call to it would cost a retry. */
const crashedBackoffMs = 4000;
/** A repeatable non-streaming call is hedged after this share of its target, or after this multiple of a slow response time if that is later. */
const hedgeTargetShare = 0.5;
const hedgeSlownessFactor = 1.3;
/** Errors are often caused by the request itself, so an ejection requires more consecutive failures than by default. */
const outlierOptions: OutlierOptions = {
	consecutiveFailures: 6, errorShare: 0.5, slowFactor: 3, baseEjectionMs: 1500, maxEjectionMs: 6000, maxEjectedShare: 0.5,
};

/** Reasons for which an attempt ends without any indication about its upstream. */
const neutralReasons = new Set(['lostRace', 'yielded', 'abandoned', 'cancelled']);

/** Dependencies of the router. */
export type DirectRouterOptions = {
	readonly hall: string;
	readonly registry: ServerRegistry;
	readonly chooser: UpstreamChooser;
	readonly repeats: RepeatBudgets;
	readonly newDispatchId: () => string;
	readonly engines: EngineChooser;
	/** Called when a prompt was sent to an engine, so that peers take it into account too. */
	readonly onPromptAssigned: (serverId: string, prompt: readonly PromptPart[]) => void;
	readonly quarantine: Pick<Quarantine, 'standingOf'>;
	/** Which upstreams may receive requests at all. */
	readonly availability: PoolAvailability;
	/** Which upstreams have recently refused work. */
	readonly refusals: ServerRefusals;
	/** What upstreams report about their load; they report nothing if absent. */
	readonly loads?: Pick<ReportedLoads, 'figureAt' | 'onDidReport'>;
	/** At which upstreams streams may be continued. */
	readonly continuity: Pick<StreamContinuity, 'serversFor' | 'originOf'>;
};

/** The data hall in which a request will most likely run, and the expected time from its send to its first token. */
export type RunPrediction = {readonly hall: string; readonly firstTokenMs: number};

type KnownServer = {readonly candidate: Candidate; readonly liveness: ServerLiveness};

/** Chooses upstream servers for the requests of one host. */
export class DirectRouter implements RequestRouter {
	static create(options: DirectRouterOptions): DirectRouter {
		return new DirectRouter(options);
	}

	private readonly knownServers = new Map<string, KnownServer>();
	private readonly responseTimes = StageEstimates.create();
	private readonly outliers = OutlierDetector.create(outlierOptions);

	private constructor(private readonly options: DirectRouterOptions) {
		options.registry.onDidChange(({server, change}) => {
			if (change === 'gone') {
				this.knownServers.delete(server.serverId);
				options.refusals.forget(server.serverId);
			}

			if (change === 'gone' || change === 'cold') {
				// The prompt cache of the server is lost, or may be.
				options.engines.forgetEngine(server.serverId);
			}
		});
		options.loads?.onDidReport(({serverId, load, nowMs}) => {
			this.knownServerOf(serverId, nowMs)?.candidate.stats.observeLoad(load, nowMs);
		});
	}

	standingOf({workspace, http, sharedParts}: RequestPlan): Standing {
		return http ? this.options.quarantine.standingOf({workspace, http, sharedParts: sharedParts ?? []}) : clearStanding;
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
			expectedMs: this.responseTimes.typicalMs(stage.key) ?? defaultResponseMs,
			slots: stage.slots,
		}, nowMs);
	}

	chooseAgain(stage: StagePlan, upstreamId: string, nowMs: number): Choice | undefined {
		const chosen = this.usable(stage, new Set(), nowMs).find(candidate => candidate.upstreamId === upstreamId);
		return chosen && {chosen, scored: []};
	}

	canContinue({origin}: StagePlan): boolean {
		return origin === undefined || this.options.continuity.serversFor(origin).length > 0;
	}

	unavailability(stage: StagePlan, nowMs: number): Unavailability | undefined {
		return this.options.availability.stageUnavailability(stage, nowMs);
	}

	retryAfterMs({pool}: StagePlan, nowMs: number): number | undefined {
		const retryDelaysMs = this.options.registry.usable(pool).map(({serverId}) => this.options.refusals.retryInMs(serverId, nowMs));
		const soonestMs = Math.min(...retryDelaysMs);
		return soonestMs > 0 && soonestMs < Infinity ? soonestMs : undefined;
	}

	mayRetry(stage: StagePlan, nowMs: number): boolean {
		return this.options.repeats.tryWithdraw(stage.pool, nowMs);
	}

	mayHedge(stage: StagePlan, nowMs: number): boolean {
		return this.mayRetry(stage, nowMs);
	}

	hedgeDelayMs(stage: StagePlan): number | undefined {
		const {targetMs} = stage;
		if (targetMs === undefined) {
			return undefined;
		}

		return Math.max(targetMs * hedgeTargetShare, (this.responseTimes.slowMs(stage.key) ?? 0) * hedgeSlownessFactor);
	}

	/** Always 0: requests are not refused by predicted time here, since batches and the servers' own queues indicate when they are full. */
	optimisticRunMs(): number {
		return 0;
	}

	/** Always 0, for the same reason as `optimisticRunMs`. */
	optimisticFinishMs(): number {
		return 0;
	}

	softwareVersionOf(upstreamId: string): string | undefined {
		return this.options.registry.get(upstreamId)?.softwareVersion;
	}

	originOf({pool}: StagePlan, attempt: Attempt): StreamOrigin {
		return this.options.continuity.originOf(pool, attempt);
	}

	didDispatch(stage: StagePlan, attempt: Attempt, _prefixHash: number, nowMs: number): void {
		const {upstreamId, dispatchId, kind} = attempt.options;
		const known = this.knownServerOf(upstreamId, nowMs);
		if (known) {
			this.options.availability.recordSend(known.candidate, stage, nowMs);
			this.options.refusals.sent(upstreamId, nowMs);
			known.candidate.stats.inFlight++;
			known.liveness.sent(dispatchId, nowMs);
		}

		const work = promptWorkOf(stage);
		if (work && known) {
			this.options.engines.recordSend(dispatchId, work, known.candidate, nowMs);
			this.options.onPromptAssigned(upstreamId, work.prompt);
		}

		if (kind === 'first') {
			this.options.repeats.countFirstSends(stage.pool, nowMs);
		} else {
			this.options.repeats.reportSent(stage.pool, kind);
		}
	}

	didBegin(stage: StagePlan, attempt: Attempt, nowMs: number): void {
		const {upstreamId, dispatchId, sentAtMs} = attempt.options;
		const known = this.knownServers.get(upstreamId);
		this.options.refusals.accepted(upstreamId);
		if (known) {
			this.options.engines.recordFirstToken(dispatchId, stage.pool, known.candidate, nowMs - sentAtMs);
		}
	}

	/**
	Records that a peer has sent a prompt to an engine.
	@param serverId - id of the engine.
	@param prompt - the parts of the prompt.
	@param nowMs - the current time.
	*/
	recordPeerPrompt(serverId: string, prompt: readonly PromptPart[], nowMs: number): void {
		const server = this.options.registry.get(serverId);
		if (server) {
			const {candidate} = this.ensureKnown(server, nowMs);
			this.options.engines.recordAssignment({pool: server.pool, prompt}, candidate, nowMs);
		}
	}

	didEnd(stage: StagePlan, attempt: Attempt, nowMs: number): void {
		const {upstreamId, dispatchId} = attempt.options;
		const known = this.knownServers.get(upstreamId);
		this.options.engines.forgetAttempt(dispatchId);
		if (!known) {
			return;
		}

		const {candidate, liveness} = known;
		candidate.stats.inFlight--;
		liveness.forget(dispatchId);
		if (isUnreadable(attempt.reason) || isStalled(stage, attempt, liveness, nowMs)) {
			liveness.connectionFailed(nowMs, initialUnreachableBackoffMs, maxUnreachableBackoffMs);
		}

		if (neutralReasons.has(attempt.reason)) {
			return;
		}

		if (attempt.reason === 'notSent' || attempt.reason === 'unreachable') {
			liveness.connectionFailed(nowMs, initialUnreachableBackoffMs, maxUnreachableBackoffMs);
			return;
		}

		const isFailure = attempt.state === attemptStates.failed || attempt.state === attemptStates.unknown;
		const tookMs = attempt.queueMs > 0 ? attempt.queueMs : attempt.runMs;
		if (attempt.state === attemptStates.completed) {
			this.responseTimes.record(stage.key, tookMs);
		}

		if (attempt.reason === refusalReasons.queueFull) {
			this.options.refusals.refused({serverId: upstreamId, pool: stage.pool}, nowMs);
		}

		if (attempt.state !== attemptStates.notRun) {
			this.options.refusals.accepted(upstreamId);
			candidate.stats.observeOutcome(isFailure);
			if (!isFailure && !stage.prompt && candidate.stats.hasSteadySpeedSince(attempt.options.sentAtMs, nowMs)) {
				candidate.stats.observeTime(tookMs, (this.responseTimes.typicalMs(stage.key) ?? defaultResponseMs) * candidate.stats.reportedSlownessAt(nowMs));
			}

			const peers = this.candidatesOf(stage.pool, nowMs);
			this.outliers.observe(candidate, peers, medianSlownessOf(peers), nowMs);
		}
	}

	didComplete(): void {
		// Times are recorded when an attempt ends: the time of an attempt describes its server better than the time of the stage.
	}

	newDispatchId(): string {
		return this.options.newDispatchId();
	}

	/**
	Predicts where a request with a prompt will most likely run.
	@param stage - the request's stage.
	@param nowMs - the current time.
	@returns the data hall, empty if it can't be predicted, and the approximate time to the first token.
	*/
	predictRun(stage: StagePlan, nowMs: number): RunPrediction {
		const candidate = this.chooseByPrompt(stage, this.usable(stage, new Set(), nowMs), nowMs);
		const work = promptWorkOf(stage);
		if (!candidate || !work) {
			return {hall: '', firstTokenMs: this.responseTimes.typicalMs(stage.key) ?? defaultResponseMs};
		}

		return {hall: candidate.hall, firstTokenMs: this.options.engines.firstTokenMs(work, candidate, nowMs)};
	}

	/**
	Records that a server has crashed, as detected by this host or a peer. Its entry may remain listed for some seconds.
	@param serverId - id of the server, which is new for each start.
	@param nowMs - the current time.
	*/
	serverCrashed(serverId: string, nowMs: number): void {
		this.knownServerOf(serverId, nowMs)?.liveness.crashed(nowMs, crashedBackoffMs);
	}

	/**
	Records that data was received from a server.
	@param serverId - id of the server.
	@param dispatchId - id of the attempt to which the data belongs.
	@param nowMs - the current time.
	*/
	recordActivity(serverId: string, dispatchId: string, nowMs: number): void {
		this.knownServers.get(serverId)?.liveness.received(dispatchId, nowMs);
	}

	/**
	Records that the head of a stream was received from a server.
	@param serverId - id of the server.
	@param dispatchId - id of the attempt to which the head belongs.
	@param nowMs - the current time.
	*/
	recordStreamHead(serverId: string, dispatchId: string, nowMs: number): void {
		this.knownServers.get(serverId)?.liveness.streamBegan(dispatchId, nowMs);
	}

	/** Servers of the pool that may be chosen now. Suspect servers are included only if there is no other, and cold servers only if no warm one remains. */
	private usable(stage: StagePlan, excluded: ReadonlySet<string>, nowMs: number): readonly Candidate[] {
		const {availability} = this.options;
		const all = this.candidatesFor(stage, nowMs).filter(candidate => !excluded.has(candidate.upstreamId));
		const healthy = availability.eligible(all.filter(candidate => !this.isSuspect(candidate, stage, nowMs)), stage, nowMs);
		return healthy.length > 0 ? this.outliers.withoutEjected(healthy, nowMs) : availability.eligible(all, stage, nowMs);
	}

	private isSuspect(candidate: Candidate, stage: StagePlan, nowMs: number): boolean {
		const {liveness} = this.knownServers.get(candidate.upstreamId)!;
		const typicalMs = this.responseTimes.typicalMs(stage.key) ?? defaultResponseMs;
		const isStalled = liveness.silentMs(nowMs) > Math.max(minSilentMs, typicalMs * silentResponseTimes) || liveness.eventlessMs(nowMs) > stage.policy.timeoutMs;
		return isStalled || liveness.isAvoided(nowMs) || this.options.refusals.isAvoided(candidate.upstreamId, nowMs);
	}

	private chooseByPrompt(stage: StagePlan, candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
		const work = promptWorkOf(stage);
		return work && this.options.engines.choose(work, candidates, nowMs);
	}

	/** Servers of the stage's pool; if the stage continues a stream, only those that may. */
	private candidatesFor({pool, origin}: StagePlan, nowMs: number): readonly Candidate[] {
		return origin === undefined
			? this.candidatesOf(pool, nowMs)
			: this.options.continuity.serversFor(origin).map(server => this.ensureKnown(server, nowMs).candidate);
	}

	private candidatesOf(pool: string, nowMs: number): readonly Candidate[] {
		return this.options.registry.usable(pool).map(server => this.ensureKnown(server, nowMs).candidate);
	}

	private knownServerOf(serverId: string, nowMs: number): KnownServer | undefined {
		const server = this.options.registry.get(serverId);
		return server && this.ensureKnown(server, nowMs);
	}

	private ensureKnown(server: UpstreamServer, nowMs: number): KnownServer {
		let known = this.knownServers.get(server.serverId);
		if (!known) {
			known = {
				candidate: {
					upstreamId: server.serverId, hall: server.hall, stats: UpstreamStats.create(atMs => this.options.loads?.figureAt(server.serverId, atMs)), joinedMs: nowMs,
				},
				liveness: ServerLiveness.create(),
			};
			this.knownServers.set(server.serverId, known);
		}

		return known;
	}
}

/** Returns whether an attempt has ended, in whatever way, after a silence in which its server made no progress in any other response either. */
function isStalled({policy}: StagePlan, {lastReceivedMs}: Attempt, liveness: ServerLiveness, nowMs: number): boolean {
	return nowMs - lastReceivedMs >= policy.timeoutMs && liveness.hasStalledSince(lastReceivedMs);
}

/** Returns what a stage requires of an engine, or undefined if it has no prompt. */
function promptWorkOf({pool, prompt, inputBytesByHall}: StagePlan): PromptWork | undefined {
	return prompt && {pool, prompt, ...(inputBytesByHall && {inputBytesByHall})};
}

/** Prepares a request: submits its steps for batching and collects the results. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {failureCodes, type PreparationFailure, type PreparedInputs} from '../../request/common/request-plan.js';
import {maxWaitTargets} from '../common/chain-admission.js';
import {fetchTimeMs, inputFetchTimeMs} from '../common/fetch-time.js';
import {Preparation} from '../common/preparation.js';
import type {QuoteSource} from '../common/quotes.js';
import {stepKeyOf} from '../common/scheduled-pools.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef, type StepWork,
} from '../common/work.js';
import type {StepTimes} from '../common/step-times.js';
import {fullCallMs} from '../common/throughput.js';
import type {WorkHandler} from './batch-handler.js';

/** Number of failures that are tolerated; the request fails with the next one. */
const maxFailures = 6;
/** Failures that are not retried: another attempt at a piece that is late, or that no upstream accepts, would fail as well. */
const permanentFailures = new Set<string>([pieceFailures.late, pieceFailures.noUpstream]);
/**
Share of its caller's timeout that a request may wait for its first step: after that, a response would rarely arrive in
time.
*/
const maxUnstartedShare = 0.5;
/** Bounds of the delay after which a refused caller is asked to retry. */
const minRetryAfterMs = 400;
const maxRetryAfterMs = 2000;

/** What the preparation of a request depends on in scheduled pools. */
export type RequestScheduling = {
	readonly workspace: string;
	/** Names of the scheduled pools. Work of a request that was admitted by quotes is reserved there until it is submitted. */
	readonly pools: ReadonlySet<string>;
	/** Time by which all steps that read no results were quoted to start; undefined if the request was admitted without quotes. */
	readonly quotedStartMs?: number | undefined;
	/** Predicted time from the receipt of the request to its first event if it was admitted late; otherwise undefined. */
	readonly latePredictedMs?: number | undefined;
};

/** Properties of a request that its preparation depends on. */
export type PreparationRequest = {
	readonly requestId: string;
	readonly callerRequestId: string;
	readonly contentId: string;
	readonly route: Route;
	readonly pieceCounts: readonly number[];
	readonly pieceKey: string;
	readonly rank: number;
	readonly receivedMs: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Data hall of the upstream that will read the results; empty if it is not known. */
	readonly hall: string;
	/** Approximate time from the end of the preparation to the first token. */
	readonly firstTokenMs: number;
	/** Absent if no step of the request runs in a scheduled pool. */
	readonly scheduling?: RequestScheduling | undefined;
};

/** Dependencies and settings. */
export type PreparerOptions = {
	readonly handler: WorkHandler;
	readonly tracker: DeploymentTracker;
	readonly registry: ServerRegistry;
	readonly clock: Clock;
	readonly log: Logger;
	/** Step durations of all requests of this host. */
	readonly stepTimes: StepTimes;
	/** Receives the steps that are submitted, and the reservations of requests that end before that. */
	readonly quotes: Pick<QuoteSource, 'forgo' | 'submitted'>;
	/** Returns whether a process listens at the address of an upstream. */
	readonly isListening: (server: UpstreamServer) => Promise<boolean>;
};

type Result = Outcome<PreparedInputs, PreparationFailure>;

/** Preparation of one request. */
export class Preparer {
	static create(options: PreparerOptions, request: PreparationRequest): Preparer {
		return new Preparer(options, request);
	}

	private preparation: Preparation;
	private readonly openWorkIds = new Set<string>();
	/** Steps that have not been submitted and whose work is reserved in scheduled pools. */
	private readonly reservedSteps: Set<number>;
	/** Settles the current run; absent if there is none. */
	private settle: ((result: Result) => void) | undefined;
	private reject: ((error: unknown) => void) | undefined;
	/** Number of works submitted so far, used to number them. */
	private workCount = 0;
	private failureCount = 0;
	/** Whether an upstream has completed something for this request. */
	private hasStarted = false;
	/** Whether an advance is already scheduled. */
	private isAdvanceScheduled = false;
	/** Whether a failure was counted since the last advance. */
	private hasFailed = false;
	private hasEnded = false;
	/** Whether the results are read to continue a response that has begun. */
	private isContinuation = false;
	/** Runs while the upstream fetches the results it reads. */
	private fetchTimer: Disposable | undefined;
	/** Handles of results that were reported lost once although all of them seemed to be stored. */
	private doubtedHandles: readonly string[] = [];

	private constructor(private readonly options: PreparerOptions, private readonly request: PreparationRequest) {
		const {route: {steps}, pieceCounts, scheduling} = request;
		this.preparation = Preparation.create(steps, pieceCounts);
		const hasQuotes = scheduling?.quotedStartMs !== undefined;
		this.reservedSteps = new Set([...steps.keys()].filter(step => pieceCounts[step] !== 0 && hasQuotes && scheduling?.pools.has(steps[step].pool)));
	}

	/**
	Computes the results, or those of them that were lost.
	@param isRetry - whether results that were computed before are lost.
	@returns the results that the request reads.
	*/
	async run(isRetry: boolean): Promise<Result> {
		// It would release results of this run that no upstream has fetched.
		this.fetchTimer?.dispose();
		if (this.hasEnded) {
			// The request read its results once, and all of them were released.
			const {route, pieceCounts} = this.request;
			this.preparation = Preparation.create(route.steps, pieceCounts, true);
			this.hasEnded = false;
			this.isContinuation = true;
		} else if (isRetry && !this.preparation.areFinalsReleased && !await this.discardLost()) {
			return new Promise(() => {
				// Never settled, like a run that is ended later.
			});
		}

		return new Promise((resolve, reject) => {
			this.settle = resolve;
			this.reject = reject;
			this.advance();
		});
	}

	/**
	Called when the request was written to the upstream that reads its results. The upstream fetches them before anything
	else, long before its first event, and the space for results limits what a pool can do, so they are released once they
	must have been fetched. If a result is released too early, the upstream reports that nothing ran, and the results are computed again.
	Results for the continuation of a response that has begun are kept until the upstream responds with an event: if it does not, computing them
	once more could cost the caller the response.
	*/
	handleSent(): void {
		this.fetchTimer?.dispose();
		if (this.isContinuation) {
			return;
		}

		const {tracker, clock} = this.options;
		this.fetchTimer = clock.setTimer(fetchTimeMs(this.request.route.steps, tracker.current), () => {
			if (!this.hasEnded) {
				this.release(this.preparation.takeFinalRefs());
			}
		});
	}

	/** Called when the request has ended, or an event shows that its upstream has read the results: cancels its work and releases all results. */
	end(): void {
		if (this.hasEnded) {
			return;
		}

		this.hasEnded = true;
		this.fetchTimer?.dispose();
		for (const workId of this.openWorkIds) {
			this.options.handler.cancel(workId);
		}

		this.release(this.preparation.takeAllRefs());
		this.forgoReservations();
	}

	/**
	Discards results that an upstream reported lost. The report does not say which, and results are rarely lost without the upstream that stores them, so those of upstreams that
	still run are kept. If that holds for all of them, another upstream may be able to read them; a second report discards them.
	@returns whether the preparation goes on; false if it was ended meanwhile.
	*/
	private async discardLost(): Promise<boolean> {
		const {preparation} = this;
		const refs = preparation.finalRefs;
		const isReportedAgain = refs.some(({handle}) => this.doubtedHandles.includes(handle));
		const running = isReportedAgain ? undefined : await this.runningUpstreams(refs);
		if (this.hasEnded || this.preparation !== preparation) {
			return false;
		}

		const discarded = preparation.discardFinals(serverId => running?.has(serverId) ?? this.isListed(serverId), running !== undefined);
		this.doubtedHandles = preparation.finalRefs.map(({handle}) => handle);
		this.options.log.info('Results that a request was to read were reported lost.', {
			request: this.request.callerRequestId, results: refs.length, discarded: discarded.length,
		});
		this.release(discarded);
		return true;
	}

	/** Returns the listed upstreams that store results and still run. */
	private async runningUpstreams(refs: readonly ResultRef[]): Promise<ReadonlySet<string>> {
		const {registry, isListening} = this.options;
		const servers = [...new Set(refs.map(({serverId}) => serverId))].map(serverId => registry.get(serverId)).filter(server => server !== undefined);
		const areRunning = await Promise.all(servers.map(async server => isListening(server)));
		return new Set(servers.filter((_, index) => areRunning[index]).map(({serverId}) => serverId));
	}

	private forgoReservations(): void {
		if (this.reservedSteps.size > 0) {
			const {requestId, route: {steps}} = this.request;
			this.options.quotes.forgo(requestId, [...new Set([...this.reservedSteps].map(step => steps[step].pool))]);
			this.reservedSteps.clear();
		}
	}

	/** Submits the work that can start now, and finishes the run if nothing is left. */
	private advance(): void {
		for (const work of this.preparation.advance()) {
			this.submit(work);
		}

		const {preparation} = this;
		if (preparation.isComplete) {
			this.finish(ok({
				handles: preparation.finalRefs.map(ref => ref.handle), bytesByHall: this.finalBytesByHall(), areReleased: () => preparation.areFinalsReleased,
			}));
		}
	}

	/** Returns the number of bytes that the request reads, by the data hall in which they are stored. */
	private finalBytesByHall(): ReadonlyMap<string, number> {
		const bytesByHall = new Map<string, number>();
		for (const {serverId, bytes} of this.preparation.finalSizes()) {
			const hall = this.options.registry.get(serverId)?.hall;
			if (hall !== undefined) {
				bytesByHall.set(hall, (bytesByHall.get(hall) ?? 0) + bytes);
			}
		}

		return bytesByHall;
	}

	private submit(work: StepWork): void {
		this.workCount++;
		const workId = `${this.request.requestId}/${this.workCount}`;
		this.openWorkIds.add(workId);
		if (this.reservedSteps.delete(work.step)) {
			const {requestId, route} = this.request;
			this.options.quotes.submitted(requestId, route.steps[work.step].pool, stepKeyOf(route.name, work.step));
		}

		let openCount = work.pieces.length;
		const {handler, clock, stepTimes} = this.options;
		const submittedMs = clock.nowMs();
		const batchWork = this.batchWorkOf(work, workId);
		handler.submit(batchWork, (piece, outcome) => {
			try {
				openCount--;
				if (openCount === 0) {
					this.openWorkIds.delete(workId);
					if (outcome.ok && submittedMs < batchWork.dueMs) {
						stepTimes.record(batchWork.pool, clock.nowMs() - submittedMs);
					}
				}

				this.handleOutcome(batchWork, piece, outcome);
			} catch (error) {
				this.failRun(error);
			}
		}, pieces => {
			this.handleFetched(batchWork, pieces);
		});
	}

	/** Returns the work of a step as submitted for batching: with the request's ID, rank and times, and the preferred data hall. */
	private batchWorkOf(work: StepWork, workId: string): BatchWork {
		const {request} = this;
		const step = request.route.steps[work.step];
		const dependentsMs = this.preparation.dependentsMs(work.step, pool => this.dependentMs(step.pool, pool));
		const remainingMs = request.firstTokenMs + this.callMs(step.pool) + dependentsMs;
		const isAdmittedLate = request.scheduling?.latePredictedMs !== undefined;
		const dueMs = request.targetMs - remainingMs;
		const lastStartMs = this.lastStartMs(work);
		const waitDeadlineMs = this.waitDeadlineMs(work);
		return {
			...work,
			workId,
			pool: step.pool,
			callerRequestId: request.callerRequestId,
			contentId: request.contentId,
			pieceKey: request.pieceKey,
			resultBytes: step.resultBytes,
			rank: request.rank,
			// A request that was admitted late must not delay work that can be in time: its steps count as late from the start.
			dueMs: isAdmittedLate ? Math.min(dueMs, request.receivedMs - 1) : dueMs,
			// By its quote the request may start later than half of its caller's time; its turn is not given away on an estimate of the wait.
			lateDueMs: Math.min(request.scheduling?.quotedStartMs === undefined ? waitDeadlineMs : lastStartMs, this.leavesMs(isAdmittedLate) - remainingMs),
			deadlineMs: waitDeadlineMs,
			...this.preferredHallOf(work),
			...this.schedulingOf(work),
		};
	}

	/**
	Returns when the caller is expected to disconnect. That depends on the time of this attempt, regardless of when the caller sent
	its first one. Only callers of streams disconnect before their time limit; a request that was admitted late was predicted so.
	*/
	private leavesMs(isAdmittedLate: boolean): number {
		const {route, receivedMs, deadlineMs} = this.request;
		return isAdmittedLate && route.kind !== routeKinds.stream ? deadlineMs : receivedMs + (maxWaitTargets * route.targetMs);
	}

	/** Returns what identifies a step in a scheduled pool; nothing for steps in other pools. */
	private schedulingOf({step, inputs}: StepWork): Pick<BatchWork, 'requestId' | 'stepKey' | 'workspace' | 'inputFetchMs'> {
		const {requestId, route, scheduling} = this.request;
		return scheduling?.pools.has(route.steps[step].pool)
			? {
				requestId, stepKey: stepKeyOf(route.name, step), workspace: scheduling.workspace, ...(inputs && {inputFetchMs: this.inputFetchMs(step)}),
			}
			: {};
	}

	private inputFetchMs(index: number): number | undefined {
		const {steps} = this.request.route;
		const {pool, after} = steps[index];
		const step = {pool, inputPools: after.map(input => steps[input].pool), inputBytes: this.preparation.inputBytes(index)};
		return inputFetchTimeMs(step, this.options.tracker.current);
	}

	/**
	Returns when a queued step fails and its caller is notified: when it could no longer be done before the caller
	disconnects, or earlier if nothing was done for the request yet, while the caller still has time to retry or to do
	without the response.
	*/
	private waitDeadlineMs(work: StepWork): number {
		const {request} = this;
		const lastStartMs = this.lastStartMs(work);
		const halfTimeMs = request.receivedMs + ((request.deadlineMs - request.receivedMs) * maxUnstartedShare);
		// A request that was quoted a later start was admitted for it; a full call is the margin of late admission.
		const quotedStartMs = request.scheduling?.quotedStartMs ?? -Infinity;
		const unstartedDeadlineMs = Math.max(halfTimeMs, quotedStartMs + this.fullCallMs(request.route.steps[work.step].pool));
		return this.hasStarted ? lastStartMs : Math.min(lastStartMs, unstartedDeadlineMs);
	}

	/** Returns when a step must start at the latest for the response to arrive within the caller's limit. */
	private lastStartMs({step}: StepWork): number {
		const {firstTokenMs, deadlineMs, route} = this.request;
		return deadlineMs - (firstTokenMs + this.callMs(route.steps[step].pool) + this.preparation.dependentsMs(step, pool => this.callMs(pool)));
	}

	/** Returns where a step runs best: where its inputs are stored or, if it has none, where its results are read. */
	private preferredHallOf({step: index, inputs}: StepWork): {readonly hall: string; readonly crossingBytes: number} {
		const {steps} = this.request.route;
		if (!inputs) {
			return {hall: this.request.hall, crossingBytes: steps[index].resultBytes};
		}

		const refs = this.preparation.inputRefs(index);
		const halls = refs.map(({serverId}) => this.options.registry.get(serverId)?.hall ?? '');
		const counts = new Map<string, number>();
		for (const hall of halls) {
			counts.set(hall, (counts.get(hall) ?? 0) + 1);
		}

		const [[hall] = ['']] = [...counts].toSorted(([, left], [, right]) => right - left);
		return {hall, crossingBytes: this.preparation.inputBytes(index)};
	}

	/**
	Returns how long a step that reads the results of another takes, in milliseconds, for the due time of that other step.
	@param pool - pool of the step whose due time is determined.
	@param dependentPool - pool of the step that reads its results.
	*/
	private dependentMs(pool: string, dependentPool: string): number {
		const scheduledPools = this.request.scheduling?.pools;
		// The queue of a later scheduled pool drains while the earlier step waits. With the wait for it, a backlog as long as the target
		// made first steps late from the start, and scheduled pools send late work last.
		const usesCallTime = scheduledPools?.has(pool) && scheduledPools.has(dependentPool);
		return (usesCallTime ? undefined : this.options.stepTimes.typicalMs(dependentPool)) ?? this.callMs(dependentPool);
	}

	/** Declared duration of a half-full call of a pool, in milliseconds. */
	private callMs(pool: string): number {
		const batch = this.options.tracker.current?.pool(pool)?.batch;
		return batch ? batch.callMs + (batch.itemMs * batch.batchSize / 2) : 0;
	}

	/** Declared duration of a full call of a pool, in milliseconds. */
	private fullCallMs(pool: string): number {
		const batch = this.options.tracker.current?.pool(pool)?.batch;
		return batch ? fullCallMs(batch) : 0;
	}

	/** Releases the inputs of a step once all of its pieces must have fetched them. */
	private handleFetched({step, inputs}: BatchWork, pieces: readonly number[]): void {
		if (!this.hasEnded) {
			this.preparation.handleFetched(step, pieces, inputs);
			this.release(this.preparation.takeUnneeded());
		}
	}

	private handleOutcome(work: BatchWork, piece: number, outcome: PieceOutcome): void {
		const {pool, step: index} = work;
		if (outcome.ok) {
			this.hasStarted = true;
			const isNeeded = this.preparation.completePiece(index, piece, outcome.ref);
			if (this.hasEnded || !isNeeded) {
				this.options.handler.release(pool, [outcome.ref]);
				return;
			}

			this.release(this.preparation.takeUnneeded());
		} else {
			this.preparation.failPiece(index, piece);
			if (this.hasEnded) {
				return;
			}

			if (!this.isKnownLoss(work, outcome.reason)) {
				this.handleFailure(index, outcome.reason);
			}
		}

		this.scheduleAdvance();
	}

	/** Pieces of one call finish together, so the work that depends on them is requested together as well. */
	private scheduleAdvance(): void {
		if (this.isAdvanceScheduled) {
			return;
		}

		this.isAdvanceScheduled = true;
		queueMicrotask(() => {
			this.isAdvanceScheduled = false;
			this.hasFailed = false;
			try {
				if (!this.hasEnded && this.settle) {
					this.advance();
				}
			} catch (error) {
				this.failRun(error);
			}
		});
	}

	/**
	Whether a piece in a scheduled pool failed because of a loss of inputs that was handled already: its calls are several, and report
	the same loss at different times. The inputs computed since must be kept.
	*/
	private isKnownLoss({step, inputs, stepKey}: BatchWork, reason: string): boolean {
		return reason === pieceFailures.inputsGone && stepKey !== undefined && this.preparation.hasOtherInputs(step, inputs);
	}

	private handleFailure(index: number, reason: string): void {
		// Pieces of one step fail together: they count once.
		if (this.hasFailed) {
			return;
		}

		this.hasFailed = true;
		this.failureCount++;
		this.options.log.warn('A piece of a request\'s work failed.', {
			request: this.request.callerRequestId, step: index, reason, failures: this.failureCount,
		});
		if (reason === pieceFailures.inputsGone) {
			this.release(this.preparation.discardInputs(index, serverId => this.isListed(serverId)));
		}

		if (permanentFailures.has(reason) || this.failureCount > maxFailures) {
			this.end();
			this.finish(fail({
				code: failureCodes.preparationFailed,
				message: `work of step ${index} came to nothing: ${reason}`,
				retryAfterMs: this.retryAfterMs(index),
			}));
		}
	}

	/** Time in which the current queue is expected to empty, in milliseconds. */
	private retryAfterMs(index: number): number {
		const waitMs = this.options.handler.waitMs(this.request.route.steps[index].pool, this.request.rank);
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
	}

	private isListed(serverId: string): boolean {
		return this.options.registry.get(serverId) !== undefined;
	}

	/** Releases results whose servers are still listed. */
	private release(refs: readonly ResultRef[]): void {
		const byPool = new Map<string, ResultRef[]>();
		for (const ref of refs) {
			const pool = this.options.registry.get(ref.serverId)?.pool;
			if (pool !== undefined) {
				byPool.set(pool, [...byPool.get(pool) ?? [], ref]);
			}
		}

		for (const [pool, poolRefs] of byPool) {
			this.options.handler.release(pool, poolRefs);
		}
	}

	/** Fails the run because of an error of this host; without a run nobody waits for the result. */
	private failRun(error: unknown): void {
		if (this.settle) {
			this.settle = undefined;
			this.reject?.(error);
		} else {
			reportUnexpectedError('preparation of a request', error);
		}
	}

	private finish(result: Result): void {
		const {settle} = this;
		this.settle = undefined;
		settle?.(result);
	}
}

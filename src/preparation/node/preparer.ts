/** Prepares a request: submits its steps for batching and collects the results. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {Route} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import {failureCodes, type PreparationFailure, type PreparedInputs} from '../../request/common/request-plan.js';
import {fetchTimeMs} from '../common/fetch-time.js';
import {Preparation} from '../common/preparation.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef, type StepWork,
} from '../common/work.js';
import type {StepTimes} from '../common/step-times.js';
import type {WorkHandler} from './batch-handler.js';

/** Number of failures that are tolerated; the request fails with the next one. */
const maxFailures = 6;
/** Failures that are not retried: another attempt at a piece that is late, or that no upstream accepts, would fail as well. */
const permanentFailures = new Set<string>([pieceFailures.late, pieceFailures.noUpstream]);
/**
Multiple of the target after which late work is useless. Callers of streams disconnect when nothing has arrived for four
times the target; one of the four is reserved for delivering the response.
*/
const maxWaitTargets = 3;
/**
Share of its caller's timeout that a request may wait for its first step: after that, a response would rarely arrive in
time.
*/
const maxUnstartedShare = 0.5;
/** Bounds of the delay after which a refused caller is asked to retry. */
const minRetryAfterMs = 400;
const maxRetryAfterMs = 2000;

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
};

type Result = Outcome<PreparedInputs, PreparationFailure>;

/** Preparation of one request. */
export class Preparer {
	static create(options: PreparerOptions, request: PreparationRequest): Preparer {
		return new Preparer(options, request);
	}

	private readonly preparation: Preparation;
	private readonly openWorkIds = new Set<string>();
	/** Settles the current run; absent if there is none. */
	private settle: ((result: Result) => void) | undefined;
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
	/** Runs while the upstream fetches the results it reads. */
	private fetchTimer: Disposable | undefined;

	private constructor(private readonly options: PreparerOptions, private readonly request: PreparationRequest) {
		this.preparation = Preparation.create(request.route.steps, request.pieceCounts);
	}

	/**
	Computes the results, or those of them that were lost.
	@param isRetry - whether results that were computed before are lost.
	@returns the results that the request reads.
	*/
	async run(isRetry: boolean): Promise<Result> {
		if (isRetry) {
			this.fetchTimer?.dispose();
			this.release(this.preparation.discardFinals(serverId => this.isListed(serverId)));
		}

		return new Promise(resolve => {
			this.settle = resolve;
			this.advance();
		});
	}

	/**
	Called when the request was written to the upstream that reads its results. The upstream fetches them before anything
	else, long before its first event, and the space for results limits what a pool can do, so they are released once they
	must have been fetched. If a result is released too early, the upstream reports that nothing ran, and the results are computed again.
	*/
	handleSent(): void {
		this.fetchTimer?.dispose();
		const {tracker, clock} = this.options;
		this.fetchTimer = clock.setTimer(fetchTimeMs(this.request.route.steps, tracker.current), () => {
			if (!this.hasEnded) {
				this.release(this.preparation.takeFinalRefs());
			}
		});
	}

	/** Called when the request has ended or has read its results: cancels its work and releases all results. */
	end(): void {
		if (this.hasEnded) {
			return;
		}

		this.hasEnded = true;
		this.fetchTimer?.dispose();
		for (const workId of this.openWorkIds) {
			this.options.handler.cancel(workId);
		}

		this.release(this.preparation.allRefs);
	}

	/** Submits the work that can start now, and finishes the run if nothing is left. */
	private advance(): void {
		for (const work of this.preparation.advance()) {
			this.submit(work);
		}

		if (this.preparation.isComplete) {
			this.finish(ok({handles: this.preparation.finalRefs.map(ref => ref.handle), bytesByHall: this.finalBytesByHall()}));
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
		let openCount = work.pieces.length;
		const {handler, clock, stepTimes} = this.options;
		const submittedMs = clock.nowMs();
		const batchWork = this.batchWorkOf(work, workId);
		handler.submit(batchWork, (piece, outcome) => {
			openCount--;
			if (openCount === 0) {
				this.openWorkIds.delete(workId);
				if (outcome.ok && submittedMs < batchWork.dueMs) {
					stepTimes.record(batchWork.pool, clock.nowMs() - submittedMs);
				}
			}

			this.handleOutcome(work.step, piece, outcome);
		});
	}

	/** Returns the work of a step as submitted for batching: with the request's ID, rank and times, and the preferred data hall. */
	private batchWorkOf(work: StepWork, workId: string): BatchWork {
		const {request} = this;
		const step = request.route.steps[work.step];
		const dependentsMs = this.preparation.dependentsMs(work.step, pool => this.options.stepTimes.typicalMs(pool) ?? this.callMs(pool));
		const remainingMs = request.firstTokenMs + this.callMs(step.pool) + dependentsMs;
		const dueMs = request.targetMs - remainingMs;
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
			dueMs,
			// A caller disconnects according to the time of this attempt, regardless of when it sent its first one.
			lateDueMs: Math.min(waitDeadlineMs, request.receivedMs + (maxWaitTargets * request.route.targetMs) - remainingMs),
			deadlineMs: waitDeadlineMs,
			...this.preferredHallOf(work),
		};
	}

	/**
	Returns when a queued step fails and its caller is notified: when it could no longer be done before the caller
	disconnects, or earlier if nothing was done for the request yet, while the caller still has time to retry or to do
	without the response.
	*/
	private waitDeadlineMs({step}: StepWork): number {
		const {request} = this;
		const neededMs = request.firstTokenMs + this.callMs(request.route.steps[step].pool) + this.preparation.dependentsMs(step, pool => this.callMs(pool));
		const lastStartMs = request.deadlineMs - neededMs;
		const unstartedDeadlineMs = request.receivedMs + ((request.deadlineMs - request.receivedMs) * maxUnstartedShare);
		return this.hasStarted ? lastStartMs : Math.min(lastStartMs, unstartedDeadlineMs);
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

	/** Declared duration of a half-full call of a pool, in milliseconds. */
	private callMs(pool: string): number {
		const batch = this.options.tracker.current?.pool(pool)?.batch;
		return batch ? batch.callMs + (batch.itemMs * batch.batchSize / 2) : 0;
	}

	private handleOutcome(index: number, piece: number, outcome: PieceOutcome): void {
		const {pool} = this.request.route.steps[index];
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

			this.handleFailure(index, outcome.reason);
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
			if (!this.hasEnded && this.settle) {
				this.advance();
			}
		});
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

	private finish(result: Result): void {
		const {settle} = this;
		this.settle = undefined;
		settle?.(result);
	}
}

/** Prepares a request: submits its steps for batching and collects the results. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {Route} from '../../deployment/common/declaration.js';
import type {DeploymentBoard} from '../../deployment/common/deployment-board.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import {failureCodes, type PreparationFailure, type PreparedInputs} from '../../request/common/request-plan.js';
import {fetchTimeMs} from '../common/fetch-time.js';
import {Preparation} from '../common/preparation.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef, type StepWork,
} from '../common/work.js';
import type {StepTimes} from '../common/step-times.js';
import type {WorkTaker} from './batch-desk.js';

/** Maximum number of failures before the request fails. */
const mostFailures = 6;
/** Failures that are not retried: a piece that is late at once, or one that no upstream accepts, would be requested for ever. */
const finalFailures = new Set<string>([pieceFailures.late, pieceFailures.noUpstream]);
/**
Multiple of the target after which late work is useless. Callers of streams disconnect when nothing has arrived for four
times the target; one of the four is reserved for delivering the response.
*/
const patienceTargets = 3;
/**
Share of its caller's timeout that a request may wait for its first step: after that, a response would rarely arrive in
time.
*/
const unbegunShare = 0.5;
/** Bounds of the delay after which a refused caller is asked to retry. */
const shortestRetryAfterMs = 400;
const longestRetryAfterMs = 2000;

/** Properties of a request that its preparation depends on. */
export type PreparationAsk = {
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
	readonly afterwardsMs: number;
};

/** Dependencies and settings. */
export type PreparerOptions = {
	readonly desk: WorkTaker;
	readonly board: DeploymentBoard;
	readonly registry: ServerRegistry;
	readonly clock: Clock;
	readonly log: Logger;
	/** Step durations of all requests of this host. */
	readonly stepTimes: StepTimes;
};

type Result = Outcome<PreparedInputs, PreparationFailure>;

/** Preparation of one request. */
export class Preparer {
	static create(options: PreparerOptions, ask: PreparationAsk): Preparer {
		return new Preparer(options, ask);
	}

	private readonly preparation: Preparation;
	private readonly openWorks = new Set<string>();
	/** Settles the current run; absent if there is none. */
	private settle: ((result: Result) => void) | undefined;
	/** Number of works submitted so far, used to number them. */
	private workCount = 0;
	private failureCount = 0;
	/** Whether an upstream has completed something for this request. */
	private hasBegun = false;
	/** Whether an advance is already scheduled. */
	private isAdvancing = false;
	/** Whether a failure was counted since the last advance. */
	private hasFailed = false;
	private isOver = false;
	/** Runs while the upstream fetches the results it reads. */
	private fetchTimer: Disposable | undefined;

	private constructor(private readonly options: PreparerOptions, private readonly ask: PreparationAsk) {
		this.preparation = Preparation.create(ask.route.steps, ask.pieceCounts);
	}

	/**
	Computes the results, or those of them that were lost.
	@param isRetry - whether the request found results lost that were computed before.
	@returns the results that the request reads.
	*/
	async run(isAgain: boolean): Promise<Result> {
		if (isAgain) {
			this.fetchTimer?.dispose();
			this.release(this.preparation.finalsLost(serverId => this.isKept(serverId)));
		}

		return new Promise(resolve => {
			this.settle = resolve;
			this.advance();
		});
	}

	/**
	Called when the request was written to the upstream that reads its results. The upstream fetches them before anything
	else, long before its first event, and the space for results limits what a pool can do, so they are released once they
	must have been fetched. If they have not been, the upstream reports that nothing ran, and they are computed again.
	*/
	sent(): void {
		this.fetchTimer?.dispose();
		const {board, clock} = this.options;
		this.fetchTimer = clock.setTimer(fetchTimeMs(this.ask.route.steps, board.current), () => {
			if (!this.isOver) {
				this.release(this.preparation.takeFinals());
			}
		});
	}

	/** Called when the request has ended or has read its results: cancels its work and releases all results. */
	end(): void {
		if (this.isOver) {
			return;
		}

		this.isOver = true;
		this.fetchTimer?.dispose();
		for (const workId of this.openWorks) {
			this.options.desk.cancel(workId);
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
		const workId = `${this.ask.requestId}/${this.workCount}`;
		this.openWorks.add(workId);
		let open = work.pieces.length;
		const {desk, clock, stepTimes} = this.options;
		const submittedMs = clock.nowMs();
		const batchWork = this.batchWorkOf(work, workId);
		desk.submit(batchWork, (piece, outcome) => {
			open--;
			if (open === 0) {
				this.openWorks.delete(workId);
				if (outcome.ok && submittedMs < batchWork.dueMs) {
					stepTimes.record(batchWork.pool, clock.nowMs() - submittedMs);
				}
			}

			this.ended(work.step, piece, outcome);
		});
	}

	/** Returns the work of a step as submitted for batching: with the request's ID, rank and times, and the preferred data hall. */
	private batchWorkOf(work: StepWork, workId: string): BatchWork {
		const {ask} = this;
		const step = ask.route.steps[work.step];
		const behindMs = this.preparation.timeBehindMs(work.step, pool => this.options.stepTimes.usualMs(pool) ?? this.callMs(pool));
		const afterMs = ask.afterwardsMs + this.callMs(step.pool) + behindMs;
		const dueMs = ask.targetMs - afterMs;
		const giveUpMs = this.giveUpMs(work);
		return {
			...work,
			workId,
			pool: step.pool,
			callerRequestId: ask.callerRequestId,
			contentId: ask.contentId,
			pieceKey: ask.pieceKey,
			resultBytes: step.resultBytes,
			rank: ask.rank,
			dueMs,
			// A caller disconnects according to the time of this attempt, however long ago its first one was.
			lateDueMs: Math.min(giveUpMs, ask.receivedMs + (patienceTargets * ask.route.targetMs) - afterMs),
			deadlineMs: giveUpMs,
			...this.placeOf(work),
		};
	}

	/**
	Returns when a queued step fails and its caller is notified: when it could no longer be done before the caller
	disconnects, or earlier if nothing was done for the request yet, while the caller still has time to retry or to do
	without.
	*/
	private giveUpMs({step}: StepWork): number {
		const {ask} = this;
		const neededMs = ask.afterwardsMs + this.callMs(ask.route.steps[step].pool) + this.preparation.timeBehindMs(step, pool => this.callMs(pool));
		const lastStartMs = ask.deadlineMs - neededMs;
		const patientMs = ask.receivedMs + ((ask.deadlineMs - ask.receivedMs) * unbegunShare);
		return this.hasBegun ? lastStartMs : Math.min(lastStartMs, patientMs);
	}

	/** Returns where a step runs best: where its inputs are stored or, if it has none, where its results are read. */
	private placeOf({step: index, inputs}: StepWork): {readonly hall: string; readonly crossingBytes: number} {
		const {steps} = this.ask.route;
		if (!inputs) {
			return {hall: this.ask.hall, crossingBytes: steps[index].resultBytes};
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
		const batch = this.options.board.current?.pool(pool)?.batch;
		return batch ? batch.callMs + (batch.itemMs * batch.batchSize / 2) : 0;
	}

	private ended(index: number, piece: number, outcome: PieceOutcome): void {
		const {pool} = this.ask.route.steps[index];
		if (outcome.ok) {
			this.hasBegun = true;
			const isWanted = this.preparation.done(index, piece, outcome.ref);
			if (this.isOver || !isWanted) {
				this.options.desk.release(pool, [outcome.ref]);
				return;
			}

			this.release(this.preparation.takeSpent());
		} else {
			this.preparation.failed(index, piece);
			if (this.isOver) {
				return;
			}

			this.failed(index, outcome.reason);
		}

		this.advanceSoon();
	}

	/** Pieces of one call finish together, so the work that depends on them is requested together as well. */
	private advanceSoon(): void {
		if (this.isAdvancing) {
			return;
		}

		this.isAdvancing = true;
		queueMicrotask(() => {
			this.isAdvancing = false;
			this.hasFailed = false;
			if (!this.isOver && this.settle) {
				this.advance();
			}
		});
	}

	private failed(index: number, reason: string): void {
		// Pieces of one step fail together: they count once.
		if (this.hasFailed) {
			return;
		}

		this.hasFailed = true;
		this.failureCount++;
		this.options.log.warn('A piece of a request\'s work failed.', {
			request: this.ask.callerRequestId, step: index, reason, failures: this.failureCount,
		});
		if (reason === pieceFailures.inputsGone) {
			this.release(this.preparation.inputsLost(index, serverId => this.isKept(serverId)));
		}

		if (finalFailures.has(reason) || this.failureCount > mostFailures) {
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
		const waitMs = this.options.desk.waitMs(this.ask.route.steps[index].pool, this.ask.rank);
		return Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, waitMs));
	}

	private isKept(serverId: string): boolean {
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
			this.options.desk.release(pool, poolRefs);
		}
	}

	private finish(result: Result): void {
		const {settle} = this;
		this.settle = undefined;
		settle?.(result);
	}
}

/** Does the work before a request: hands its steps to the batches and gathers the results. */
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
import type {WorkTaker} from './batch-desk.js';

/** Pieces of one request that may fail before the request is given up. */
const mostFailures = 6;
/** Failures after which nothing more is asked for: what is late at once would be asked for for ever, as would what nobody takes. */
const finalFailures = new Set<string>([pieceFailures.late, pieceFailures.noUpstream]);
/** Callers of streams leave when nothing came for four times the target; one is kept back for the answer's way. */
const patienceTargets = 3;
/** Part of its caller's time that a request may wait for its first step: later, an answer would rarely come at all. */
const unbegunShare = 0.5;
/** Bounds of the time after which a caller that was refused is asked to come back. */
const shortestRetryAfterMs = 400;
const longestRetryAfterMs = 2000;

/** What the work of one request needs to know. */
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
	/** Data hall of the upstream that will read the results; empty where it is not known. */
	readonly hall: string;
	/** Time to the first token once the work is done, about. */
	readonly afterwardsMs: number;
};

/** What preparers are made of. */
export type PreparerOptions = {
	readonly desk: WorkTaker;
	readonly board: DeploymentTracker;
	readonly registry: ServerRegistry;
	readonly clock: Clock;
	readonly log: Logger;
	/** Times of the steps of all requests of this host. */
	readonly stepTimes: StepTimes;
};

type Result = Outcome<PreparedInputs, PreparationFailure>;

/** The work before one request. */
export class Preparer {
	static create(options: PreparerOptions, ask: PreparationAsk): Preparer {
		return new Preparer(options, ask);
	}

	private readonly preparation: Preparation;
	private readonly openWorks = new Set<string>();
	/** Ends the run that is going on; absent while there is none. */
	private settle: ((result: Result) => void) | undefined;
	/** Works handed in so far; numbers them. */
	private workCount = 0;
	private failureCount = 0;
	/** Whether an upstream has done something for this request. */
	private hasBegun = false;
	/** Whether an advance is asked for already. */
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
	Does the work, or what of it was lost.
	@param isAgain - whether the request found results lost that were made before.
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
	The request was written to the upstream that reads its results. It fetches them before anything else, long
	before its first event, and room for results bounds what a pool can do: they are given up once they must be
	there. If they are not, the upstream says that nothing ran, and they are made again.
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

	/** The request has ended or has read its results: everything is given up. */
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

	/** Hands in what can be worked on now, and ends once nothing is left. */
	private advance(): void {
		for (const work of this.preparation.advance()) {
			this.submit(work);
		}

		if (this.preparation.isComplete) {
			this.finish(ok({handles: this.preparation.finalRefs.map(ref => ref.handle), bytesByHall: this.finalBytesByHall()}));
		}
	}

	/** Where the results lie that the request reads, and how much of them. */
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

	/** A step's work as the batches take it: with the request's name, rank and times, and where it is best worked on. */
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
			// A caller leaves by the time of this try, however long ago its first one was.
			lateDueMs: Math.min(giveUpMs, ask.receivedMs + (patienceTargets * ask.route.targetMs) - afterMs),
			deadlineMs: giveUpMs,
			...this.placeOf(work),
		};
	}

	/**
	When a step that waits is given up, and its caller told. Then it could not be done any more before the caller
	leaves; or nothing was done for the request yet, and the caller still has time to come back or to do without.
	*/
	private giveUpMs({step}: StepWork): number {
		const {ask} = this;
		const neededMs = ask.afterwardsMs + this.callMs(ask.route.steps[step].pool) + this.preparation.timeBehindMs(step, pool => this.callMs(pool));
		const lastStartMs = ask.deadlineMs - neededMs;
		const patientMs = ask.receivedMs + ((ask.deadlineMs - ask.receivedMs) * unbegunShare);
		return this.hasBegun ? lastStartMs : Math.min(lastStartMs, patientMs);
	}

	/** Where a step is best worked on: where what it reads lies, or else where what it makes is read. */
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

	/** Time of a half-full call of a pool, as declared. */
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

	/** Pieces of one call end together: what follows from them is asked for together as well. */
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

	/** When the queue of now is worked off. */
	private retryAfterMs(index: number): number {
		const waitMs = this.options.desk.waitMs(this.ask.route.steps[index].pool, this.ask.rank);
		return Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, waitMs));
	}

	private isKept(serverId: string): boolean {
		return this.options.registry.get(serverId) !== undefined;
	}

	/** Gives results up where their servers are still there. */
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

/** The state machine of one request at its entry. It makes all decisions: events and the time go in, actions come out. */
import {barredTextOf} from '../../quarantine/common/quarantine.js';
import type {RequestAction, RequestEvent} from './request-events.js';
import {
	failureCodes, noInputs, otherHostRetryAfterMs, outcomes, type FailureCode, type PreparationFailure, type PreparedInputs, type RequestOutcome, type RequestPlan, type RequestResult, type StagePlan,
} from './request-plan.js';
import type {RequestRouter} from './request-router.js';
import {makeResult} from './request-result.js';
import {applyToStage} from './stage-events.js';
import {StageRun} from './stage-run.js';
import {StageRunList} from './stage-run-list.js';

/** How long after the deadline agents have to confirm that they did not start the request. */
export const proofGraceMs = 150;
/** How long the outcome of work that may not be repeated is followed after its caller was given `unknown`. */
export const settleTimeoutMs = 60_000;

/** Maximum number of times that upstreams report lost results to one request. */
const maxLosses = 3;

type Phase = 'new' | 'claiming' | 'preparing' | 'running' | 'proving' | 'settling' | 'closed';

/** Drives one request from its start to its end. */
export class RequestStateMachine {
	/**
	Creates the state machine; it does nothing before the `start` event.
	@param plan - the plan of the request.
	@param router - decides about upstreams.
	*/
	static create(plan: RequestPlan, router: RequestRouter): RequestStateMachine {
		return new RequestStateMachine(plan, router);
	}

	private phase: Phase = 'new';
	private readonly runs = StageRunList.create();
	private actions: RequestAction[] = [];
	private proveByMs = Infinity;
	private settleByMs = Infinity;
	/** Results of the preparation, which the first stage reads besides its input. */
	private inputs: PreparedInputs = noInputs;
	private preparationCount = 0;
	/** Number of times that an upstream has reported lost results. */
	private lossCount = 0;
	/** Whether the preparation is repeated while silent attempts at the first stage go on. */
	private isPreparingBeside = false;

	private constructor(readonly plan: RequestPlan, private readonly router: RequestRouter) {}

	get isClosed(): boolean {
		return this.phase === 'closed';
	}

	/** Ids of all dispatches of the request. */
	get dispatchIds(): string[] {
		return this.runs.dispatchIds;
	}

	/** Time at which the machine needs a `tick` event; `Infinity` if it needs none. */
	get wakeAtMs(): number {
		switch (this.phase) {
			case 'claiming':
			case 'preparing': {
				return this.plan.deadlineMs;
			}

			case 'running': {
				const ownMs = this.runs.isUnstarted ? this.plan.deadlineMs : this.plan.hardDeadlineMs;
				return Math.min(ownMs, this.runs.current?.wakeAtMs ?? Infinity);
			}

			case 'proving': {
				return this.proveByMs;
			}

			case 'settling': {
				return this.settleByMs;
			}

			default: {
				return Infinity;
			}
		}
	}

	/**
	Handles an event.
	@param event - what has happened: a message from an upstream, a change of state, or a timer.
	@param nowMs - the current time.
	@returns the actions to perform, in order.
	*/
	handle(event: RequestEvent, nowMs: number): RequestAction[] {
		this.actions = [];
		if (this.isClosed) {
			return this.actions;
		}

		const isAnswered = this.phase === 'settling';
		this.applyEvent(event, nowMs);
		this.advance(nowMs);
		// Nothing follows the final answer, although work that may not be repeated goes on.
		return isAnswered ? this.actions.filter(({type}) => type !== 'deliver') : this.actions;
	}

	private applyEvent(event: RequestEvent, nowMs: number): void {
		switch (event.type) {
			case 'start': {
				this.start(nowMs);
				break;
			}

			case 'claimed': {
				if (this.phase === 'claiming') {
					this.prepareOrBegin(nowMs);
				}

				break;
			}

			case 'prepared': {
				this.prepared(event.inputs, nowMs);
				break;
			}

			case 'preparationFailed': {
				this.preparationFailed(event.failure, nowMs);
				break;
			}

			case 'claimRefused': {
				this.finishFailed(event.code, event.message, nowMs);
				break;
			}

			case 'callerGone': {
				this.callerGone(nowMs);
				break;
			}

			case 'outOfMemory': {
				this.finishFailed(failureCodes.upstreamFailed, 'the answer takes more memory than the host has for it', nowMs);
				break;
			}

			case 'standingChanged': {
				this.refuseIfBarred(nowMs);
				break;
			}

			case 'hostStops': {
				this.hostStops(nowMs);
				break;
			}

			case 'tick': {
				this.tick(nowMs, event.callerBehindUntilMs);
				break;
			}

			default: {
				if (this.runs.current) {
					applyToStage(this.runs.current, event, nowMs);
				}
			}
		}
	}

	private start(nowMs: number): void {
		if (nowMs + this.router.optimisticFinishMs(this.plan.stages, nowMs) > this.plan.deadlineMs) {
			this.finishFailed(failureCodes.deadlineUnreachable, 'the stages take longer than the deadline leaves', nowMs);
		} else if (this.plan.needsClaim) {
			this.phase = 'claiming';
			this.actions.push({type: 'claim'});
		} else {
			this.prepareOrBegin(nowMs);
		}
	}

	private prepareOrBegin(nowMs: number): void {
		if (this.plan.needsPreparation) {
			this.phase = 'preparing';
			this.prepare();
		} else {
			this.beginFirst(nowMs);
		}
	}

	private prepare(): void {
		this.actions.push({type: 'prepare', isAgain: this.preparationCount > 0});
		this.preparationCount++;
	}

	private prepared(inputs: PreparedInputs, nowMs: number): void {
		if (this.phase === 'preparing') {
			this.inputs = inputs;
			this.beginFirst(nowMs);
		} else if (this.isPreparingBeside) {
			this.isPreparingBeside = false;
			this.inputs = inputs;
			this.runs.current!.inputsPrepared(inputs, nowMs);
		}
	}

	private preparationFailed({code, message, retryAfterMs}: PreparationFailure, nowMs: number): void {
		if (this.phase === 'preparing') {
			this.finishFailed(code, message, nowMs, retryAfterMs);
		} else if (this.isPreparingBeside) {
			this.isPreparingBeside = false;
			this.runs.current!.inputsUnavailable();
		}
	}

	private beginFirst(nowMs: number): void {
		this.phase = 'running';
		this.beginStage(0, this.plan.input, nowMs);
	}

	private beginStage(index: number, input: Uint8Array, nowMs: number): void {
		const {plan, router} = this;
		const remainingMs = router.optimisticRunMs(plan.stages.slice(index));
		// A request that has started may end late, but no request is started after its deadline.
		const latestMs = index === 0 ? plan.deadlineMs : plan.hardDeadlineMs;
		const run = StageRun.create({
			plan,
			router,
			input,
			inputs: index === 0 ? this.inputs : noInputs,
			earlierAttempts: index === 0 ? this.runs.earlierAttempts : [],
			begunAnswer: index === 0 ? this.runs.begunAnswer : undefined,
			stage: index === 0 ? this.firstStage : plan.stages[index],
			startByMs: latestMs - remainingMs,
			isLast: index === plan.stages.length - 1,
			isRepeat: index === 0 && this.preparationCount > 1,
			startMs: nowMs,
			emit: action => {
				this.actions.push(action);
			},
		});
		this.runs.add(run);
		if (nowMs > latestMs - remainingMs) {
			this.finishFailed(failureCodes.deadlineExceeded, `stage "${run.stage.name}" can no longer end in time`, nowMs);
		} else {
			run.begin(nowMs);
		}
	}

	/** The first stage with its inputs, and with the origin of its stream if an earlier run has begun it. */
	private get firstStage(): StagePlan {
		const {plan: {stages: [stage]}, inputs, runs: {earlierOrigin}} = this;
		return {...stage, inputBytesByHall: inputs.bytesByHall, ...(earlierOrigin && {origin: earlierOrigin})};
	}

	private tick(nowMs: number, callerBehindUntilMs?: number): void {
		if (this.phase === 'settling' && nowMs >= this.settleByMs) {
			this.settle(nowMs);
		} else if (this.phase === 'proving' && nowMs >= this.proveByMs) {
			this.finishFailed(failureCodes.deadlineExceeded, 'the deadline has passed', nowMs);
		} else if (this.phase === 'claiming' && nowMs >= this.plan.deadlineMs) {
			this.finishFailed(failureCodes.deadlineExceeded, 'the deadline passed before the request was registered', nowMs);
		} else if (this.phase === 'preparing' && nowMs >= this.plan.deadlineMs) {
			this.finishFailed(failureCodes.preparationFailed, 'the work before the request took longer than the request may be held', nowMs);
		} else if (this.phase === 'running') {
			this.tickRunning(nowMs, callerBehindUntilMs);
		}
	}

	private tickRunning(nowMs: number, callerBehindUntilMs: number | undefined): void {
		const run = this.runs.current!;
		run.tick(nowMs, callerBehindUntilMs);
		if (run.status.type === 'done' || run.status.type === 'failed') {
			return;
		}

		if (nowMs >= this.plan.hardDeadlineMs) {
			this.finishFailed(failureCodes.deadlineExceeded, 'the deadline and the time allowed past it are over', nowMs);
		} else if (this.runs.isUnstarted && nowMs >= this.plan.deadlineMs) {
			this.confirmNotStarted(nowMs);
		}
	}

	/** Handles a deadline that passed before any attempt is known to have started: cancels the attempts, so that the agents confirm that none has run. */
	private confirmNotStarted(nowMs: number): void {
		this.phase = 'proving';
		this.proveByMs = nowMs + proofGraceMs;
		this.runs.current!.cancelLive();
	}

	private advance(nowMs: number): void {
		if (this.phase === 'settling') {
			if (!this.runs.hasLive) {
				this.settle(nowMs);
			}

			return;
		}

		while (this.phase === 'running' || this.phase === 'proving') {
			const run = this.runs.current!;
			if (run.status.type === 'inputsGone') {
				this.prepareAgain(run, run.status.hasBudget, nowMs);
				return;
			}

			this.prepareBeside(run, nowMs);

			if (run.status.type === 'failed') {
				this.finishFailed(run.status.code, run.status.message, nowMs, run.status.retryAfterMs);
			} else if (run.status.type !== 'done') {
				if (this.phase === 'proving' && !run.attempts.hasLive) {
					this.finishFailed(failureCodes.deadlineExceeded, 'the deadline has passed', nowMs);
				}

				return;
			} else if (this.runs.count < this.plan.stages.length) {
				this.phase = 'running';
				this.beginStage(this.runs.count, run.body, nowMs);
			} else {
				this.complete(run, nowMs);
			}
		}
	}

	/**
	Prepares the request again, since results that its first stage was to read are lost or were released.
	@param run - the run of the first stage, which has no live attempt.
	@param hasBudget - whether the next attempt was already taken from the retry budget.
	@param nowMs - the current time.
	*/
	private prepareAgain(run: StageRun, hasBudget: boolean, nowMs: number): void {
		if (this.isPreparingBeside) {
			this.isPreparingBeside = false;
			this.runs.removeForRestart(run);
			this.phase = 'preparing';
			return;
		}

		const refusal = this.preparationRefusal(hasBudget, nowMs);
		if (refusal) {
			this.finishFailed(refusal.code, refusal.message, nowMs);
		} else {
			this.runs.removeForRestart(run);
			this.prepareOrBegin(nowMs);
		}
	}

	/**
	Prepares the request again while silent attempts go on, and gives that up once one of them has gone on.
	@param run - the run of the current stage.
	@param nowMs - the current time.
	*/
	private prepareBeside(run: StageRun, nowMs: number): void {
		const {wantedInputs} = run;
		if (this.isPreparingBeside && !wantedInputs) {
			this.isPreparingBeside = false;
			this.actions.push({type: 'stopPreparing'});
		} else if (wantedInputs && !this.isPreparingBeside) {
			if (this.preparationRefusal(wantedInputs.hasBudget, nowMs)) {
				run.inputsUnavailable();
			} else {
				this.isPreparingBeside = true;
				this.prepare();
			}
		}
	}

	/** Counts a loss of results, and returns why they are not computed again, if they are not. */
	private preparationRefusal(hasBudget: boolean, nowMs: number): {readonly code: FailureCode; readonly message: string} | undefined {
		this.lossCount += hasBudget ? 0 : 1;
		if (this.lossCount >= maxLosses) {
			return {code: failureCodes.preparationFailed, message: 'results of the work before the request were lost again and again'};
		}

		return !hasBudget && this.plan.rules.chargesRefusalsToRetryBudget && !this.router.mayRetry(this.plan.stages[0], nowMs)
			? {code: failureCodes.overloaded, message: 'results of the work before the request were lost; the retry budget is spent'}
			: undefined;
	}

	private complete(run: StageRun, nowMs: number): void {
		this.finish(makeResult(this.plan, this.runs.traced, {
			outcome: outcomes.completed, message: 'completed', nowMs, last: run,
		}));
		this.close();
	}

	private finishFailed(code: FailureCode, message: string, nowMs: number, retryAfterMs?: number): void {
		if (this.phase === 'settling' || this.phase === 'closed') {
			return;
		}

		if (this.plan.isRepeatable) {
			this.runs.abandon(nowMs);
		}

		this.finish(makeResult(this.plan, this.runs.traced, {
			outcome: this.failedOutcome(), message, nowMs, code, retryAfterMs,
		}));
		if (this.runs.hasLive) {
			// Work that may not be repeated is still live: cancelling withdraws only what has not started.
			this.phase = 'settling';
			this.settleByMs = nowMs + settleTimeoutMs;
			this.runs.current!.stopRecovery();
			this.runs.current!.cancelLive();
		} else {
			this.close();
		}
	}

	private failedOutcome(): RequestOutcome {
		if (!this.runs.mayHaveRun) {
			return outcomes.refused;
		}

		return !this.plan.isRepeatable && this.runs.isUnsettled ? outcomes.unknown : outcomes.failed;
	}

	private callerGone(nowMs: number): void {
		if (this.plan.isRepeatable || !this.runs.mayHaveRun || this.plan.rules.cancelsOnCallerDisconnect) {
			this.finishFailed(failureCodes.callerGone, 'the caller went away', nowMs);
		}
		// Work that may not be repeated continues, so that a repeat of the request gets its outcome.
	}

	/** Fails a request that still waits for its preparation or for an upstream once its content is barred, so that its caller is notified immediately. */
	private refuseIfBarred(nowMs: number): void {
		const standing = this.router.standingOf(this.plan);
		if (standing.type === 'barred' && !this.runs.mayHaveRun && this.phase !== 'claiming') {
			this.finishFailed(failureCodes.quarantined, barredTextOf(standing), nowMs, standing.forMs);
		}
	}

	/** Refuses a request that no upstream can have begun as not run, so that its caller can retry at another host immediately. */
	private hostStops(nowMs: number): void {
		if (!this.runs.mayHaveRun && this.phase !== 'claiming') {
			this.finishFailed(failureCodes.stopping, 'this host stops before it could run', nowMs, otherHostRetryAfterMs);
		}
	}

	private settle(nowMs: number): void {
		this.runs.abandon(nowMs);
		const isComplete = this.runs.current!.status.type === 'done' && this.runs.count === this.plan.stages.length;
		this.actions.push({type: 'settle', outcome: isComplete ? outcomes.completed : this.failedOutcome()});
		this.close();
	}

	private finish(result: RequestResult): void {
		this.actions.push({type: 'finish', result});
	}

	private close(): void {
		this.phase = 'closed';
		this.actions.push({type: 'close'});
	}
}

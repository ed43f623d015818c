/** The run of one stage: its attempts, with retries, hedges and resumption, and its single result. */
import {
	refusalReasons, type ChunkMessage, type EndMessage, type RefusedMessage, type StartedMessage,
} from '../../wire/common/messages.js';
import type {Choice} from '../../routing/common/chooser.js';
import {barredTextOf, type Standing} from '../../quarantine/common/quarantine.js';
import {AnswerAssembly} from './answer-assembly.js';
import {Attempt} from './attempt.js';
import {AttemptList, connectionLostReason} from './attempt-list.js';
import {isSuccess} from './continuation.js';
import type {RequestAction} from './request-events.js';
import {
	attemptStates, failureCodes, noInputs, type AttemptState, type AttemptTrace, type FailureCode, type PreparedInputs, type RequestPlan, type StagePlan, type StageTrace,
} from './request-plan.js';
import type {RequestRouter} from './request-router.js';
import type {StageAnswer} from './stage-answer.js';
import {makeDispatch} from './stage-dispatch.js';
import {replacementCheckMs, replacementDelayMs, SilenceRecovery} from './silence-recovery.js';
import {StageHold} from './stage-hold.js';
import {decideRecovery, type Recovery} from './stage-recovery.js';
import {versionGoneText} from './stream-origin.js';
import {makeStageTrace} from './stage-trace.js';

const minServerErrorStatus = 500;

/** The status of a stage run. */
export type StageStatus
	= | {readonly type: 'holding'}
		| {readonly type: 'running'}
	/** Nothing runs, because results that the stage was to read are lost. */
		| {readonly type: 'inputsGone'; readonly hasBudget: boolean}
		| {readonly type: 'done'}
		| {readonly type: 'failed'; readonly code: FailureCode; readonly message: string; readonly retryAfterMs?: number};

/** Options of a stage run. */
export type StageRunOptions = {
	readonly plan: RequestPlan;
	readonly stage: StagePlan;
	readonly input: Uint8Array;
	readonly inputs?: PreparedInputs;
	readonly router: RequestRouter;
	/** Latest time at which the stage may start on an upstream. */
	readonly startByMs: number;
	readonly isLast: boolean;
	/** Attempts of an earlier run of the stage that may have run; they count like the attempts of this run. */
	readonly earlierAttempts?: readonly Attempt[];
	/** What the caller has received of the answer from an earlier run of the stage; this run continues it. */
	readonly begunAnswer?: StageAnswer | undefined;
	/** Whether the stage was sent before, for example when results it was to read were lost; its first attempt is then a retry. */
	readonly isRepeat: boolean;
	readonly emit: (action: RequestAction) => void;
	readonly startMs: number;
};

/** Runs one stage to a single result, independent of the number of attempts. */
export class StageRun {
	static create(options: StageRunOptions): StageRun {
		return new StageRun(options);
	}

	status: StageStatus = {type: 'holding'};
	readonly attempts = AttemptList.create();
	private readonly answer: AnswerAssembly;
	private readonly holding: StageHold;
	private endMs = 0;
	private isRecoveryStopped = false;
	private isHedgeDecided = false;
	/** The stage as it is sent: with its latest inputs and, once its stream has begun, with the origin of that. */
	private currentStage: StagePlan;
	private inputs: PreparedInputs;
	private readonly silence = SilenceRecovery.create();

	private constructor(private readonly options: StageRunOptions) {
		this.holding = StageHold.create(options.startMs);
		this.currentStage = options.stage;
		this.answer = AnswerAssembly.create({begun: options.begunAnswer, isIncremental: this.isIncremental});
		this.inputs = options.inputs ?? noInputs;
		for (const attempt of options.earlierAttempts ?? []) {
			this.attempts.add(attempt);
		}
	}

	get stage(): StagePlan {
		return this.currentStage;
	}

	/** Set while inputs must be prepared again for another attempt, although attempts are live; all of them are silent. */
	get wantedInputs(): SilenceRecovery['wantedInputs'] {
		return this.silence.wantedInputs;
	}

	get body(): Uint8Array {
		return this.answer.body;
	}

	/** What the caller has received of the answer; undefined if it has received nothing. */
	get begunAnswer(): StageAnswer | undefined {
		return this.answer.begunAnswer;
	}

	get unitCount(): number {
		return this.answer.units;
	}

	get http(): Attempt['http'] {
		return this.answer.accepted?.http;
	}

	/** Next time at which a tick has something to do. */
	get wakeAtMs(): number {
		if (this.status.type === 'holding') {
			return Math.min(this.holding.retryAtMs, this.holdUntilMs);
		}

		let wakeMs = this.silence.retryAtMs;
		for (const attempt of this.attempts.live) {
			wakeMs = Math.min(wakeMs, this.silentAtMs(attempt), this.hedgeAtMs(attempt), attempt.replacesOthersAtMs);
		}

		return wakeMs;
	}

	begin(nowMs: number): void {
		this.dispatch(this.firstAttemptKind, nowMs);
	}

	/**
	Sends another attempt if all upstreams have fallen silent, ends silent ones that another attempt replaces, sends a hedge that is due, or
	looks for an upstream again.
	@param nowMs - the current time.
	@param callerBehindUntilMs - until when the caller did not take what was delivered. Reading from upstreams pauses then, so that this is no silence.
	*/
	tick(nowMs: number, callerBehindUntilMs = -Infinity): void {
		if (this.status.type === 'holding') {
			this.retryHeld(nowMs);
			return;
		}

		this.replaceSilent(nowMs);
		for (const attempt of this.attempts.live) {
			attempt.lastReceivedMs = Math.max(attempt.lastReceivedMs, Math.min(callerBehindUntilMs, nowMs));
			if (nowMs >= this.silentAtMs(attempt)) {
				attempt.isSilent = true;
				attempt.replacesOthersAtMs = Infinity;
				this.silence.retryAtMs = nowMs;
			} else if (nowMs >= this.hedgeAtMs(attempt)) {
				this.hedge(nowMs);
			}
		}

		if (nowMs >= this.silence.retryAtMs) {
			this.tryBesideSilent(nowMs);
		}
	}

	/**
	Continues with inputs that were prepared again.
	@param inputs - the inputs of all further attempts.
	@param nowMs - the current time.
	*/
	inputsPrepared(inputs: PreparedInputs, nowMs: number): void {
		this.inputs = inputs;
		this.currentStage = {...this.currentStage, inputBytesByHall: inputs.bytesByHall};
		this.silence.areInputsLost = false;
		this.silence.wantedInputs = undefined;
		this.tryBesideSilent(nowMs);
	}

	/** Makes no further attempt beside silent ones, because its inputs could not be prepared again. */
	inputsUnavailable(): void {
		this.silence.wantedInputs = undefined;
		this.silence.isStopped = true;
	}

	candidatesChanged(nowMs: number): void {
		if (this.status.type === 'holding') {
			this.retryHeld(nowMs);
		}
	}

	notSent(dispatchId: string, nowMs: number): void {
		const attempt = this.attempts.findLive(dispatchId);
		if (attempt) {
			this.endAttempt(attempt, attemptStates.notRun, 'notSent', nowMs);
			this.recover(failureCodes.noUpstream, 'the connection was lost before sending', nowMs);
		}
	}

	refused(message: RefusedMessage, nowMs: number): void {
		const attempt = this.attempts.findLive(message.dispatchId);
		if (!attempt || attempt.state === attemptStates.started) {
			return;
		}

		this.endAttempt(attempt, attemptStates.notRun, message.reason, nowMs);
		if (message.reason === refusalReasons.inputsGone && this.options.plan.needsPreparation && (this.attempts.areLiveSilent || !this.attempts.hasLive)) {
			this.silence.areInputsLost = true;
			this.wantInputs(false);
		} else if (message.reason === refusalReasons.outOfTime && nowMs >= this.options.startByMs) {
			this.failUnlessLive(failureCodes.deadlineExceeded, 'no upstream could start the work in time');
		} else {
			this.recover(failureCodes.overloaded, `upstreams refused: ${message.reason}`, nowMs);
		}
	}

	started(message: StartedMessage, nowMs: number): void {
		const attempt = this.attempts.findLive(message.dispatchId);
		if (attempt) {
			attempt.state = attemptStates.started;
			attempt.didProgress(nowMs);
			attempt.queueMs = message.queueMs;
			attempt.http = message.http ?? attempt.http;
			this.rejectUnlessContinuation(attempt, nowMs);
			if (this.mayReplaceOthers(attempt)) {
				attempt.replacesOthersAtMs = nowMs + replacementDelayMs;
			}
		}
	}

	chunk(message: ChunkMessage, nowMs: number): void {
		const attempt = this.attempts.findLive(message.dispatchId);
		if (!attempt?.acceptChunk(message)) {
			return;
		}

		// Data without units, such as comments in a stream, does not show that the upstream is working.
		if (message.units > 0) {
			attempt.didProgress(nowMs);
			if (attempt.answer.units === message.units) {
				this.options.router.didBegin(this.stage, attempt, nowMs);
			}
		}

		const chunks = attempt.takeCreditGrant();
		if (chunks > 0) {
			const {upstreamId, dispatchId} = attempt.options;
			this.options.emit({
				type: 'credit', upstreamId, dispatchId, chunks,
			});
		}

		if (this.answer.isPart(attempt, message.units)) {
			const previous = this.answer.accepted;
			const data = this.answer.add(attempt, message.units, message.data);
			if (this.answer.accepted !== previous) {
				this.pinOrigin(attempt);
			}

			if (message.units > 0) {
				this.goOnWith(attempt, nowMs);
			}

			if (this.options.isLast && this.options.plan.isStreaming) {
				this.options.emit({
					type: 'deliver', units: message.units, data, ...(attempt.http && {http: attempt.http}), ...(this.stage.origin && {origin: this.stage.origin}),
				});
			}
		}

		if (this.answer.countReceived(message.data.byteLength)) {
			this.cancel(attempt);
			this.endAttempt(attempt, attemptStates.failed, 'answerTooLarge', nowMs);
			this.failUnlessLive(failureCodes.upstreamFailed, 'the answer is too large');
		}
	}

	ended(message: EndMessage, nowMs: number): void {
		const attempt = this.attempts.findLive(message.dispatchId);
		if (!attempt) {
			return;
		}

		attempt.runMs = message.runMs;
		if (message.state !== attemptStates.completed) {
			this.endAttempt(attempt, message.state, message.reason ?? 'failed', nowMs);
			this.recover(failureCodes.upstreamFailed, message.reason ?? 'the upstream failed', nowMs);
		} else if (attempt.isComplete(message)) {
			this.completeAnswerReceived(attempt, nowMs);
		} else {
			// The end message does not match what was received: the stream was cut in transit.
			this.endAttempt(attempt, attemptStates.unknown, 'incomplete', nowMs);
			this.recover(failureCodes.upstreamFailed, 'the answer came incomplete', nowMs);
		}
	}

	connectionLost(upstreamId: string, nowMs: number): void {
		if (!this.options.plan.isRepeatable) {
			// The agent continues the work; it is queried after it has reconnected.
			return;
		}

		this.endLostAttempts(upstreamId, connectionLostReason, nowMs);
	}

	incarnationGone(upstreamId: string, nowMs: number): void {
		this.endLostAttempts(upstreamId, 'agentGone', nowMs);
	}

	reconnected(upstreamId: string): void {
		for (const attempt of this.attempts.liveAt(upstreamId)) {
			this.options.emit({type: 'query', upstreamId, dispatchId: attempt.options.dispatchId});
		}

		for (const attempt of this.attempts.lostAt(upstreamId)) {
			this.cancel(attempt);
		}
	}

	/**
	Cancels all live attempts and records their results as unknown; used once the answer to the request is final.
	@param nowMs - the current time.
	*/
	abandon(nowMs: number): void {
		for (const attempt of this.attempts.live) {
			this.drop(attempt, attempt.isSilent ? 'timeout' : 'abandoned', nowMs);
		}
	}

	/** Asks the agents to cancel all live attempts; work that may not be repeated is withdrawn only if it has not started. */
	cancelLive(): void {
		for (const attempt of this.attempts.live) {
			this.cancel(attempt);
		}
	}

	trace(): StageTrace {
		return makeStageTrace({
			stage: this.stage.name, heldMs: this.holding.heldMs, tookMs: Math.max(0, this.endMs - this.options.startMs), attempts: this.attempts.all, isUseful: attempt => this.isUseful(attempt),
		});
	}

	/** Stops replacing lost attempts, because the answer to the request is final. */
	stopRecovery(): void {
		this.isRecoveryStopped = true;
	}

	private get firstAttemptKind(): AttemptTrace['kind'] {
		return this.options.isRepeat ? this.nextAttemptKind : 'first';
	}

	private get nextAttemptKind(): AttemptTrace['kind'] {
		return this.isBegun ? 'resume' : 'retry';
	}

	/** Whether the caller has part of the answer. */
	private get isBegun(): boolean {
		return this.answer.isBegun;
	}

	/** Whether units count as they are received, so that another attempt can resume after the last of them. */
	private get isIncremental(): boolean {
		return this.stage.kind === 'generate' || (this.stage.kind === 'http' && this.options.plan.isStreaming);
	}

	/** Whether another upstream would find inputs gone: they are lost, or were released since an upstream must have read them. */
	private get areInputsGone(): boolean {
		return this.options.plan.needsPreparation && (this.silence.areInputsLost || this.inputs.areReleased());
	}

	private get holdUntilMs(): number {
		return Math.min(this.holding.endMs(this.stage.policy.holdMs), this.options.startByMs);
	}

	private isUseful(attempt: Attempt): boolean {
		return this.status.type === 'done' && (attempt === this.answer.accepted || attempt.isPartOfAnswer);
	}

	/** When an attempt counts as silent; `Infinity` if it does already. */
	private silentAtMs(attempt: Attempt): number {
		const {isRepeatable, rules} = this.options.plan;
		const isTimed = isRepeatable && !attempt.isSilent && (rules.startsTimeoutAtSend || attempt.state === attemptStates.started);
		return isTimed ? attempt.lastReceivedMs + this.stage.policy.timeoutMs : Infinity;
	}

	private hedgeAtMs(attempt: Attempt): number {
		const mayHedge = !attempt.isSilent && this.attempts.hasNoOtherLive(attempt) && !this.isHedgeDecided && !this.answer.accepted && this.options.plan.isRepeatable
			&& this.attempts.countAgainstLimit(this.options.plan.rules) < this.stage.policy.maxAttempts;
		const delayMs = mayHedge ? this.options.router.hedgeDelayMs(this.stage) : undefined;
		return delayMs === undefined ? Infinity : attempt.options.sentAtMs + delayMs;
	}

	/** Sends a hedge if the budget allows it. The budget is asked only once for a stage, even if it declines. */
	private hedge(nowMs: number): void {
		this.isHedgeDecided = true;
		if (!this.areInputsGone && this.options.router.mayHedge(this.stage, nowMs)) {
			this.dispatch('hedge', nowMs);
		}
	}

	/** Lets the answer go on with an attempt: no other one is kept, not even one that it has overtaken while that was silent. */
	private goOnWith(attempt: Attempt, nowMs: number): void {
		this.silence.wantedInputs = undefined;
		this.cancelOthers(attempt, nowMs);
	}

	/** Binds the stage to the origin of its stream, however it is sent again. */
	private pinOrigin(attempt: Attempt): void {
		const {stage, options: {router}} = this;
		const origin = stage.origin ?? router.originOf(stage, attempt);
		if (origin !== stage.origin) {
			this.currentStage = {...stage, origin};
		}
	}

	/** Whether an attempt that has just started takes the stream over from silent ones. One that reports an error does not: another may go on. */
	private mayReplaceOthers(attempt: Attempt): boolean {
		return this.silence.isReplacing && this.isIncremental && attempt.isLive && isSuccess(attempt.http) && !this.attempts.hasNoOtherLive(attempt);
	}

	/** Ends silent attempts, or the one beside them, at the second call after that is due: a late timer runs before the sockets are read, and a silent upstream may have gone on. */
	private replaceSilent(nowMs: number): void {
		for (const attempt of this.attempts.live) {
			if (!attempt.isLive || nowMs < attempt.replacesOthersAtMs) {
				continue;
			}

			if (attempt.isReplacementDue) {
				this.replaceOrYield(attempt, nowMs);
			} else {
				attempt.isReplacementDue = true;
				attempt.replacesOthersAtMs = nowMs + replacementCheckMs;
			}
		}
	}

	/** Ends either an attempt that has sent no unit or the silent ones before it: only for a short time may two upstreams work on one stream. */
	private replaceOrYield(attempt: Attempt, nowMs: number): void {
		const {silence, stage: {policy: {timeoutMs}}} = this;
		const replaceableAtMs = Math.max(...this.attempts.startedBefore(attempt).map(silent => silence.replaceableAtMs(silent, timeoutMs)));
		if (nowMs >= replaceableAtMs) {
			this.replaceOthers(attempt, nowMs);
			return;
		}

		attempt.hasYielded = true;
		silence.waitUntil(replaceableAtMs);
		this.drop(attempt, 'yielded', nowMs);
	}

	/** Leaves a stream to an upstream that has taken it up, even before its first unit: only for a short time may two upstreams work on one stream. */
	private replaceOthers(attempt: Attempt, nowMs: number): void {
		attempt.replacesOthersAtMs = Infinity;
		this.cancelOthers(attempt, nowMs, 'replaced');
		this.answer.releaseEnded();
	}

	private cancelOthers(kept: Attempt, nowMs: number, silentReason = 'timeout'): void {
		for (const other of this.attempts.live) {
			if (other !== kept) {
				this.drop(other, other.isSilent ? silentReason : 'lostRace', nowMs);
			}
		}
	}

	/** Cancels an attempt that is no longer needed. */
	private drop(attempt: Attempt, reason: string, nowMs: number): void {
		this.cancel(attempt);
		this.endAttempt(attempt, attemptStates.unknown, reason, nowMs);
	}

	/** Handles a complete answer. An answer that reports an error is kept while another attempt may succeed. */
	private completeAnswerReceived(attempt: Attempt, nowMs: number): void {
		const problem = this.answer.emptyContinuationProblemOf(attempt);
		if (problem !== undefined) {
			this.silence.hasEmptyContinuation = true;
			this.rejectContinuation(attempt, problem, nowMs);
			return;
		}

		const isError = (attempt.http?.status ?? 0) >= minServerErrorStatus;
		if (!isError || !this.options.plan.rules.retriesErrorAnswers || !this.options.plan.isRepeatable || this.answer.accepted) {
			this.endAttempt(attempt, attemptStates.completed, '', nowMs);
			this.complete(attempt, nowMs);
			return;
		}

		this.answer.keepError(attempt);
		this.endAttempt(attempt, attemptStates.failed, `status ${attempt.http?.status ?? 0}`, nowMs);
		this.recover(failureCodes.upstreamFailed, 'the upstream answered with an error', nowMs);
	}

	/** Ends an attempt whose response is not the rest of the answer, without waiting for its end: the caller waits for the next event. */
	private rejectUnlessContinuation(attempt: Attempt, nowMs: number): void {
		const problem = this.answer.continuationProblemOf(attempt);
		if (problem !== undefined) {
			this.cancel(attempt);
			this.rejectContinuation(attempt, problem, nowMs);
		}
	}

	private rejectContinuation(attempt: Attempt, problem: string, nowMs: number): void {
		this.endAttempt(attempt, attemptStates.failed, problem, nowMs);
		this.recover(failureCodes.upstreamFailed, problem, nowMs);
	}

	private complete(attempt: Attempt, nowMs: number): void {
		this.cancelOthers(attempt, nowMs);
		this.answer.complete(attempt);
		this.endMs = nowMs;
		this.status = {type: 'done'};
		this.options.router.didComplete(this.stage, nowMs - this.options.startMs);
	}

	private endLostAttempts(upstreamId: string, reason: string, nowMs: number): void {
		const lost = this.attempts.liveAt(upstreamId);
		for (const attempt of lost) {
			this.endAttempt(attempt, attemptStates.unknown, reason, nowMs);
		}

		if (lost.length > 0) {
			this.recover(failureCodes.resultUnknown, 'the upstream\'s agent was lost', nowMs);
		}
	}

	/** Makes another attempt after one ended without a result, if that is allowed; otherwise the stage fails, unless an attempt is live. */
	private recover(code: FailureCode, message: string, nowMs: number): void {
		if (this.status.type !== 'running') {
			return;
		}

		this.answer.releaseEnded();
		if (this.attempts.hasLive) {
			this.tryBesideSilent(nowMs);
			return;
		}

		if (this.silence.wantedInputs) {
			this.wantInputs(this.silence.wantedInputs.hasBudget);
			return;
		}

		const {router} = this.options;
		const recovery = this.decideNext(code, message, nowMs, () => this.takeRetry(nowMs));
		if (recovery.type === 'again') {
			this.dispatch(this.nextAttemptKind, nowMs);
		} else {
			this.fail(recovery.code, recovery.message, recovery.code === failureCodes.overloaded ? router.retryAfterMs(this.stage, nowMs) : undefined);
		}
	}

	private decideNext(code: FailureCode, message: string, nowMs: number, mayRetry: () => boolean): Recovery {
		const {plan, startByMs} = this.options;
		return decideRecovery({
			code,
			message,
			isNotRun: this.attempts.all.at(-1)?.state === attemptStates.notRun,
			areRefusalsFree: !plan.rules.chargesRefusalsToRetryBudget,
			isRepeatable: plan.isRepeatable,
			isRecoveryStopped: this.isRecoveryStopped,
			hasUnknown: this.attempts.hasUnknown,
			areAttemptsExhausted: this.areAttemptsExhausted && this.attempts.yieldedUpstreamId === undefined,
			isTooLate: nowMs >= startByMs,
			mayRetry,
		});
	}

	/** Whether the stage may be sent to no further upstream. */
	private get areAttemptsExhausted(): boolean {
		return this.attempts.isExhausted(this.options.plan.rules, this.stage.policy.maxAttempts);
	}

	/** Takes a retry from the budget, unless one is left that was taken and not used. */
	private takeRetry(nowMs: number): boolean {
		const {silence, options: {router}} = this;
		if (!silence.hasGrant && !router.mayRetry(this.stage, nowMs)) {
			return false;
		}

		silence.hasGrant = true;
		return true;
	}

	/** Makes another attempt if all live ones are silent, under the limits of any retry. The silent ones go on until another one continues the answer or replaces them. */
	private tryBesideSilent(nowMs: number): void {
		const {silence} = this;
		silence.retryAtMs = Infinity;
		const isWaiting = silence.isStopped || silence.wantedInputs !== undefined;
		if (this.status.type !== 'running' || isWaiting || !this.attempts.areLiveSilent) {
			return;
		}

		let choice: Choice | undefined;
		const recovery = this.decideNext(failureCodes.upstreamFailed, 'the upstream fell silent', nowMs, () => {
			choice = this.chooseBesideSilent(nowMs);
			return choice !== undefined && this.takeRetry(nowMs);
		});
		if (recovery.type === 'failed') {
			if (recovery.isTemporary) {
				silence.retryLater(nowMs);
			}

			return;
		}

		choice ??= this.chooseBesideSilent(nowMs);
		if (!choice) {
			silence.retryLater(nowMs);
		} else if (this.areInputsGone) {
			this.wantInputs(true);
		} else {
			silence.isReplacing = true;
			this.send(choice, this.nextAttemptKind, nowMs);
		}
	}

	/** Chooses an upstream at which no attempt is live: one that has yielded, or else one that was not tried if possible. */
	private chooseBesideSilent(nowMs: number): Choice | undefined {
		const {options: {plan, router}, attempts} = this;
		return router.standingOf(plan).type === 'clear'
			? this.chooseNext([attempts.upstreamIds, attempts.liveUpstreamIds], nowMs)
			: undefined;
	}

	/**
	Chooses an upstream: one that has yielded, or else another one.
	@param exclusions - sets of upstreams that may not be chosen; a later set counts if an earlier one leaves none.
	@param nowMs - the current time.
	*/
	private chooseNext(exclusions: ReadonlyArray<ReadonlySet<string>>, nowMs: number): Choice | undefined {
		const {options: {plan, router}, attempts: {yieldedUpstreamId}} = this;
		if (yieldedUpstreamId !== undefined) {
			const again = router.chooseAgain(this.stage, yieldedUpstreamId, nowMs);
			if (again !== undefined || this.areAttemptsExhausted) {
				return again;
			}
		}

		for (const excluded of exclusions) {
			const choice = router.choose(this.stage, excluded, plan.prefixHash, nowMs);
			if (choice) {
				return choice;
			}
		}

		return undefined;
	}

	/** Asks for inputs to be prepared again. Silent attempts go on meanwhile. */
	private wantInputs(hasBudget: boolean): void {
		if (this.attempts.hasLive) {
			this.silence.wantedInputs = {hasBudget};
		} else {
			this.status = {type: 'inputsGone', hasBudget};
		}
	}

	private retryHeld(nowMs: number): void {
		if (nowMs >= this.holdUntilMs) {
			this.holding.end(nowMs);
			const isOutOfTime = nowMs >= this.options.startByMs;
			this.fail(isOutOfTime ? failureCodes.deadlineExceeded : failureCodes.noUpstream, 'no upstream became available');
		} else {
			this.dispatch(this.attempts.count === 0 ? this.firstAttemptKind : this.nextAttemptKind, nowMs);
		}
	}

	private dispatch(kind: AttemptTrace['kind'], nowMs: number): void {
		const {plan, router} = this.options;
		const standing = router.standingOf(plan);
		if (standing.type !== 'clear') {
			this.holdOrFailBarred(standing, kind, nowMs);
			return;
		}

		const tried = this.attempts.upstreamIds;
		// If every upstream was tried, one is tried again rather than none, except for a hedge.
		const choice = this.chooseNext(kind === 'hedge' || tried.size === 0 ? [tried] : [tried, new Set()], nowMs);
		if (!choice) {
			this.hold(kind, nowMs);
			return;
		}

		this.endHold(nowMs);
		if (this.areInputsGone) {
			// What allowed this attempt allows the one after the inputs were prepared again.
			this.status = {type: 'inputsGone', hasBudget: true};
			return;
		}

		this.send(choice, kind, nowMs);
	}

	private send(choice: Choice, kind: AttemptTrace['kind'], nowMs: number): void {
		const {plan, router} = this.options;
		const {upstreamId} = choice.chosen;
		const softwareVersion = router.softwareVersionOf(upstreamId);
		const attempt = Attempt.create({
			dispatchId: router.newDispatchId(),
			upstreamId,
			...(softwareVersion !== undefined && {softwareVersion}),
			kind,
			sentAtMs: nowMs,
			offset: this.answer.resumeOffset,
			candidates: choice.scored.map(({candidate, scoreMs}) => ({upstreamId: candidate.upstreamId, scoreMs})),
		});
		this.attempts.add(attempt);
		this.silence.hasGrant = false;
		router.didDispatch(this.stage, attempt, plan.prefixHash, nowMs);
		this.options.emit({type: 'dispatch', upstreamId, message: makeDispatch({...this.options, stage: this.stage, inputs: this.inputs}, attempt, nowMs)});
	}

	/**
	Handles a request whose content may have crashed servers: the request is held until that is determined. Once the content is barred, the request is
	sent to no other server and the stage fails, unless an attempt is live.
	*/
	private holdOrFailBarred(standing: Exclude<Standing, {type: 'clear'}>, kind: AttemptTrace['kind'], nowMs: number): void {
		if (standing.type === 'inDoubt') {
			this.hold(kind, nowMs);
		} else if (!this.attempts.hasLive) {
			this.endHold(nowMs);
			this.fail(failureCodes.quarantined, barredTextOf(standing), standing.forMs);
		}
	}

	private hold(kind: AttemptTrace['kind'], nowMs: number): void {
		if (kind === 'hedge') {
			return;
		}

		const {router} = this.options;
		if (!router.canContinue(this.stage)) {
			this.endHold(nowMs);
			this.fail(failureCodes.versionGone, versionGoneText);
			return;
		}

		// The caller already has part of the answer: a short wait is better than breaking off the answer.
		const unavailability = this.isBegun ? undefined : router.unavailability(this.stage, nowMs);
		if (unavailability) {
			this.endHold(nowMs);
			this.fail(failureCodes.noUpstream, unavailability.message, unavailability.retryAfterMs);
			return;
		}

		if (this.status.type !== 'holding') {
			this.status = {type: 'holding'};
			this.holding.begin(nowMs);
		}

		this.holding.retryLater(nowMs);
	}

	private endHold(nowMs: number): void {
		if (this.status.type === 'holding') {
			this.holding.end(nowMs);
			this.status = {type: 'running'};
		}
	}

	private cancel(attempt: Attempt): void {
		if (!attempt.isCancelled) {
			attempt.isCancelled = true;
			const {upstreamId, dispatchId} = attempt.options;
			this.options.emit({type: 'cancel', upstreamId, dispatchId});
		}
	}

	private endAttempt(attempt: Attempt, state: AttemptState, reason: string, nowMs: number): void {
		if (attempt.state === attemptStates.started && attempt.runMs === 0) {
			attempt.runMs = Math.max(0, nowMs - attempt.options.sentAtMs - attempt.queueMs);
		}

		attempt.finish(state, reason);
		this.options.router.didEnd(this.stage, attempt, nowMs);
	}

	private failUnlessLive(code: FailureCode, message: string): void {
		if (this.status.type === 'running' && !this.attempts.hasLive) {
			this.fail(code, message);
		}
	}

	private fail(code: FailureCode, message: string, retryAfterMs?: number): void {
		if (this.answer.completeWithError()) {
			this.status = {type: 'done'};
			return;
		}

		this.status = {
			type: 'failed', code, message, ...(retryAfterMs !== undefined && {retryAfterMs}),
		};
	}
}

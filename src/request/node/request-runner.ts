/** Runs the state machines of requests: passes events to them and performs the actions that they return. */
import {setReplyTimer, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {ok, type Outcome} from '../../base/common/outcome.js';
import {detach, guard} from '../../base/common/unexpected-errors.js';
import {AnswerMemory, type AnswerShare} from '../common/answer-memory.js';
import type {ClaimRefusal, GrantedClaim} from '../common/claim-store.js';
import type {RequestAction, RequestEvent} from '../common/request-events.js';
import {RequestStateMachine} from '../common/request-state-machine.js';
import {
	noInputs, type HttpResponseHead, type PreparationFailure, type PreparedInputs, type RequestOutcome, type RequestPlan, type RequestResult,
} from '../common/request-plan.js';
import type {RequestRouter} from '../common/request-router.js';
import type {StreamOrigin} from '../common/stream-origin.js';
import type {UpstreamTransport, UpstreamMessage} from '../common/upstream-transport.js';

/** Maximum size of all answers that are kept, on hosts of a few hundred megabytes. */
const maxAnswersBytes = 96 * 1024 * 1024;

/** The callbacks by which a request uses its caller's side. */
export type RequestHooks = {
	/** Registers a request that may run only once. */
	claim(): Promise<Outcome<GrantedClaim, ClaimRefusal>>;
	/** Answers a request that repeats an idempotency key with what is known of the first request. */
	keyTaken(refusal: Extract<ClaimRefusal, {code: 'taken'}>): void;
	/**
	Prepares the request: does the work that must be done before the request itself can run.
	@param isAgain - whether the preparation is repeated because its earlier results are lost.
	@returns the prepared inputs, or why the preparation failed.
	*/
	prepare?(isAgain: boolean): Promise<Outcome<PreparedInputs, PreparationFailure>>;
	/** Gives up a repeated preparation whose results are no longer needed; its promise need not resolve. */
	stopPreparing?(): void;
	/**
	Delivers units of the answer to a streaming caller.
	@param units - the number of units.
	@param data - the bytes of the units.
	@param http - status and headers of the upstream's answer.
	@param origin - where the stream began, if only certain upstreams may continue it.
	@returns a promise that resolves when the caller can take more, or `undefined` if it can immediately.
	*/
	deliver(units: number, data: Uint8Array, http?: HttpResponseHead, origin?: StreamOrigin): Promise<void> | undefined;
	/** Gives the caller the final answer. */
	finish(result: RequestResult): void;
	/** Records the outcome of a request whose caller was given `unknown`, or whose response has failed. */
	settle(outcome: RequestOutcome): void;
	/**
	Ends the response after an error of this host: with an answer if none has begun, by cutting it off otherwise. No `deliver` and no
	`finish` follow, but further errors of the same request may.
	@param error - what was thrown by another callback, by the transport or by the state machine.
	*/
	fail(error: unknown): void;
};

type RunningRequest = {
	readonly machine: RequestStateMachine;
	readonly hooks: RequestHooks;
	/** What its answer takes of the host's memory. */
	readonly share: AnswerShare;
	timer: Disposable | undefined;
	timerAtMs: number;
	/** Resolves when a streaming caller that is behind can take more; credit is not granted before. */
	backpressure: Promise<void> | undefined;
	/** When the caller last caught up; `Infinity` while it is behind, `-Infinity` if it never was. */
	callerBehindUntilMs: number;
	/** Whether an error of this host has ended the response. */
	hasFailed: boolean;
};

/** Runs all requests of one entry. */
export class RequestRunner implements Disposable {
	static create(transport: UpstreamTransport, router: RequestRouter, clock: Clock): RequestRunner {
		return new RequestRunner(transport, router, clock);
	}

	private readonly running = new Set<RunningRequest>();
	private readonly byDispatchId = new Map<string, RunningRequest>();
	private readonly answerMemory = AnswerMemory.create(maxAnswersBytes);
	private readonly disposables = DisposableStore.create();
	/** Number of received messages about dispatches of no current request. */
	private dropped = 0;
	private isDisposed = false;

	private constructor(private readonly transport: UpstreamTransport, private readonly router: RequestRouter, private readonly clock: Clock) {
		this.disposables.add(transport.onDidReceive(received => {
			this.receive(received);
		}));
		this.disposables.add(transport.onDidDisconnect(upstreamId => {
			this.broadcast({type: 'connectionLost', upstreamId});
		}));
		this.disposables.add(transport.onDidReconnect(upstreamId => {
			this.broadcast({type: 'reconnected', upstreamId});
		}));
		this.disposables.add(transport.onDidReplaceIncarnation(upstreamId => {
			this.broadcast({type: 'incarnationGone', upstreamId});
		}));
		this.disposables.add(transport.onDidBecomeAvailable(() => {
			this.broadcast({type: 'candidatesChanged'});
		}));
	}

	get size(): number {
		return this.running.size;
	}

	get droppedCount(): number {
		return this.dropped;
	}

	/**
	Runs a request.
	@param plan - the plan of the request.
	@param hooks - the callbacks to the caller's side.
	@returns a function to call when the caller disconnects.
	*/
	start(plan: RequestPlan, hooks: RequestHooks): () => void {
		const running: RunningRequest = {
			machine: RequestStateMachine.create(plan, this.router),
			hooks,
			share: this.answerMemory.open(() => {
				this.handleEvent(running, {type: 'outOfMemory'});
			}),
			timer: undefined,
			timerAtMs: Infinity,
			backpressure: undefined,
			callerBehindUntilMs: -Infinity,
			hasFailed: false,
		};
		this.running.add(running);
		this.handleEvent(running, {type: 'start'});
		return () => {
			this.handleEvent(running, {type: 'callerGone'});
		};
	}

	/** Refuses all requests that no upstream can have begun, since the process is about to stop. The others continue as long as they can. */
	refuseUnstarted(): void {
		this.broadcast({type: 'hostStops'});
	}

	/** Refuses waiting requests whose content has been barred; called whenever some request is quarantined. */
	standingChanged(): void {
		this.broadcast({type: 'standingChanged'});
	}

	dispose(): void {
		// Connections that close after this must not set a timer, since nothing would dispose it.
		this.isDisposed = true;
		this.disposables.dispose();
		for (const running of this.running) {
			running.timer?.dispose();
		}
	}

	private receive({upstreamId, message}: UpstreamMessage): void {
		if (message.type !== 'refused' && message.type !== 'started' && message.type !== 'chunk' && message.type !== 'end') {
			return;
		}

		const running = this.byDispatchId.get(message.dispatchId);
		if (running) {
			this.handleEvent(running, message);
			if (message.type === 'chunk') {
				running.share.add(message.data.byteLength);
			}
		} else {
			this.dropped++;
			if (message.type === 'started' || message.type === 'chunk') {
				// No request waits for this work any more.
				this.transport.send(upstreamId, {type: 'cancel', dispatchId: message.dispatchId});
			}
		}
	}

	private broadcast(event: RequestEvent): void {
		for (const running of [...this.running]) {
			this.handleEvent(running, event);
		}
	}

	private handleEvent(running: RunningRequest, event: RequestEvent): void {
		if (this.isDisposed || running.machine.isClosed) {
			return;
		}

		const {hasFailed} = running;
		try {
			for (const action of running.machine.handle(event, this.clock.nowMs())) {
				this.tryPerform(running, action);
			}

			this.scheduleWake(running);
		} catch (error) {
			this.fail(running, error);
			if (hasFailed) {
				this.close(running);
			}
		}

		if (running.hasFailed && !hasFailed) {
			this.handleEvent(running, {type: 'callerGone'});
		}
	}

	/** Performs an action. The actions behind one that fails are still performed, as they may cancel work or close the request. */
	private tryPerform(running: RunningRequest, action: RequestAction): void {
		try {
			if (running.hasFailed && action.type === 'finish') {
				running.hooks.settle(action.result.outcome);
			} else if (!running.hasFailed || action.type !== 'deliver') {
				this.perform(running, action);
			}
		} catch (error) {
			this.fail(running, error);
		}
	}

	/** Ends the response of a request after an error of this host, so that the error ends neither other requests nor the process. */
	private fail(running: RunningRequest, error: unknown): void {
		running.hasFailed = true;
		guard('failure of a request', () => {
			running.hooks.fail(error);
		});
	}

	/** Fails a request because of an error outside of its events, and cancels its work. */
	private failLater(running: RunningRequest, error: unknown): void {
		this.fail(running, error);
		this.handleEvent(running, {type: 'callerGone'});
	}

	private perform(running: RunningRequest, action: RequestAction): void {
		switch (action.type) {
			case 'claim': {
				detach('claim of a request', this.claim(running));
				break;
			}

			case 'prepare': {
				detach('preparation of a request', this.prepare(running, action.isAgain));
				break;
			}

			case 'stopPreparing': {
				running.hooks.stopPreparing?.();
				break;
			}

			case 'dispatch': {
				const {dispatchId} = action.message;
				this.byDispatchId.set(dispatchId, running);
				if (!this.transport.send(action.upstreamId, action.message)) {
					// Deferred to a later turn, since the state machine must not be re-entered while its actions are performed.
					this.clock.setTimer(0, () => {
						this.handleEvent(running, {type: 'notSent', dispatchId});
					});
				}

				break;
			}

			case 'cancel':
			case 'query': {
				this.transport.send(action.upstreamId, {type: action.type, dispatchId: action.dispatchId});
				break;
			}

			case 'credit': {
				detach('credit of a request', this.grantCredit(running, action));
				break;
			}

			case 'deliver': {
				const backpressure = running.hooks.deliver(action.units, action.data, action.http, action.origin);
				if (backpressure) {
					detach('wait for a caller', this.waitForCaller(running, backpressure), error => {
						this.failLater(running, error);
					});
				}

				break;
			}

			case 'finish': {
				running.hooks.finish(action.result);
				break;
			}

			case 'settle': {
				running.hooks.settle(action.outcome);
				break;
			}

			case 'close': {
				this.close(running);
				break;
			}
		}
	}

	private async claim(running: RunningRequest): Promise<void> {
		try {
			await this.claimWith(running);
		} catch (error) {
			this.failLater(running, error);
		}
	}

	private async claimWith(running: RunningRequest): Promise<void> {
		const claimed = await running.hooks.claim();
		if (claimed.ok) {
			this.handleEvent(running, {type: 'claimed'});
		} else if (claimed.error.code === 'taken') {
			running.hooks.keyTaken(claimed.error);
			this.handleEvent(running, {type: 'claimRefused', code: 'duplicateRequest', message: 'the idempotency key was used before'});
		} else {
			this.handleEvent(running, {type: 'claimRefused', code: 'storeUnavailable', message: claimed.error.message});
		}
	}

	private async prepare(running: RunningRequest, isAgain: boolean): Promise<void> {
		try {
			const prepared = await running.hooks.prepare?.(isAgain) ?? ok(noInputs);
			this.handleEvent(running, prepared.ok
				? {type: 'prepared', inputs: prepared.value}
				: {type: 'preparationFailed', failure: prepared.error});
		} catch (error) {
			this.failLater(running, error);
		}
	}

	private async waitForCaller(running: RunningRequest, backpressure: Promise<void>): Promise<void> {
		running.backpressure = backpressure;
		running.callerBehindUntilMs = Infinity;
		await backpressure;
		if (running.backpressure === backpressure) {
			running.callerBehindUntilMs = this.clock.nowMs();
		}
	}

	/** Grants credit to the agent once the caller has read what it was sent, so that a slow caller delays only its own stream. */
	private async grantCredit(running: RunningRequest, action: Extract<RequestAction, {type: 'credit'}>): Promise<void> {
		try {
			await running.backpressure;
			this.transport.send(action.upstreamId, {type: 'credit', dispatchId: action.dispatchId, chunks: action.chunks});
		} catch (error) {
			this.failLater(running, error);
		}
	}

	private scheduleWake(running: RunningRequest): void {
		const {wakeAtMs} = running.machine;
		if (running.timerAtMs === wakeAtMs && running.timer) {
			return;
		}

		running.timer?.dispose();
		running.timer = undefined;
		running.timerAtMs = wakeAtMs;
		if (wakeAtMs < Infinity && !running.machine.isClosed) {
			running.timer = setReplyTimer(this.clock, Math.max(1, wakeAtMs - this.clock.nowMs()), () => {
				this.wake(running);
			});
		}
	}

	private wake(running: RunningRequest): void {
		running.timer = undefined;
		const {callerBehindUntilMs} = running;
		this.handleEvent(running, {type: 'tick', ...(callerBehindUntilMs > -Infinity && {callerBehindUntilMs})});
	}

	private close(running: RunningRequest): void {
		running.timer?.dispose();
		running.share.dispose();
		this.running.delete(running);
		for (const dispatchId of running.machine.dispatchIds) {
			this.byDispatchId.delete(dispatchId);
		}
	}
}

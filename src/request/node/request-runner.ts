/** Runs the state machines of requests: passes events to them and performs the actions that they return. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {ok, type Outcome} from '../../base/common/outcome.js';
import type {ClaimRefusal, GrantedClaim} from '../common/claim-store.js';
import type {RequestAction, RequestEvent} from '../common/request-events.js';
import {RequestMachine} from '../common/request-machine.js';
import {
	noInputs, type HttpHead, type PreparationFailure, type PreparedInputs, type RequestOutcome, type RequestPlan, type RequestResult,
} from '../common/request-plan.js';
import type {RequestRouter} from '../common/request-router.js';
import type {UpstreamLinks, UpstreamMessage} from '../common/upstream-links.js';

/** Delay of a timer from which this host is assumed to have been frozen or suspended, and not to have read what arrived meanwhile. */
const ownPauseMs = 400;
/** Time given to read the sockets first: timers run before sockets are read, and on resumption all overdue timers fire at once. */
const readFirstMs = 50;

/** The callbacks by which a request uses its caller's side. */
export type RequestHooks = {
	/** Registers a request that may run only once. */
	claim(): Promise<Outcome<GrantedClaim, ClaimRefusal>>;
	/** Answers a request that repeats an idempotency key with what is known of the first request. */
	taken(refusal: Extract<ClaimRefusal, {code: 'taken'}>): void;
	/**
	Prepares the request: does the work that must be done before the request itself can run.
	@param isAgain - whether the preparation is repeated because its earlier results are lost.
	@returns the prepared inputs, or why the preparation failed.
	*/
	prepare?(isAgain: boolean): Promise<Outcome<PreparedInputs, PreparationFailure>>;
	/**
	Delivers units of the answer to a streaming caller.
	@param units - the number of units.
	@param data - the bytes of the units.
	@param http - status and headers of the upstream's answer.
	@returns a promise that resolves when the caller can take more, or `undefined` if it can at once.
	*/
	deliver(units: number, data: Uint8Array, http?: HttpHead): Promise<void> | undefined;
	/** Gives the caller the final answer. */
	finish(result: RequestResult): void;
	/** Records the outcome of a request whose caller was given `unknown`. */
	settle(outcome: RequestOutcome): void;
};

type Running = {
	readonly machine: RequestMachine;
	readonly hooks: RequestHooks;
	timer: Disposable | undefined;
	timerAtMs: number;
	/** Resolves when a streaming caller that is behind can take more; credit is not granted before. */
	blocked: Promise<void> | undefined;
};

/** Runs all requests of one entry. */
export class RequestRunner implements Disposable {
	static create(links: UpstreamLinks, router: RequestRouter, clock: Clock): RequestRunner {
		return new RequestRunner(links, router, clock);
	}

	private readonly running = new Set<Running>();
	private readonly byDispatch = new Map<string, Running>();
	private readonly owned = DisposableStore.create();
	/** Number of received messages about dispatches of no current request. */
	private dropped = 0;
	private isDisposed = false;

	private constructor(private readonly links: UpstreamLinks, private readonly router: RequestRouter, private readonly clock: Clock) {
		this.owned.add(links.onDidReceive(received => {
			this.receive(received);
		}));
		this.owned.add(links.onDidLose(upstreamId => {
			this.broadcast({type: 'connectionLost', upstreamId});
		}));
		this.owned.add(links.onDidReconnect(upstreamId => {
			this.broadcast({type: 'reconnected', upstreamId});
		}));
		this.owned.add(links.onDidReplace(upstreamId => {
			this.broadcast({type: 'incarnationGone', upstreamId});
		}));
		this.owned.add(links.onDidJoin(() => {
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
		const running: Running = {
			machine: RequestMachine.create(plan, this.router), hooks, timer: undefined, timerAtMs: Infinity, blocked: undefined,
		};
		this.running.add(running);
		this.feed(running, {type: 'start'});
		return () => {
			this.feed(running, {type: 'callerGone'});
		};
	}

	/** Refuses all requests that no upstream can have begun, since the process is about to stop. The others go on as long as they can. */
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
		this.owned.dispose();
		for (const running of this.running) {
			running.timer?.dispose();
		}
	}

	private receive({upstreamId, message}: UpstreamMessage): void {
		if (message.type !== 'refused' && message.type !== 'started' && message.type !== 'chunk' && message.type !== 'end') {
			return;
		}

		const running = this.byDispatch.get(message.dispatchId);
		if (running) {
			this.feed(running, message);
		} else {
			this.dropped++;
			if (message.type === 'started' || message.type === 'chunk') {
				// No request waits for this work any more.
				this.links.send(upstreamId, {type: 'cancel', dispatchId: message.dispatchId});
			}
		}
	}

	private broadcast(event: RequestEvent): void {
		for (const running of [...this.running]) {
			this.feed(running, event);
		}
	}

	private feed(running: Running, event: RequestEvent): void {
		if (this.isDisposed || running.machine.isClosed) {
			return;
		}

		const nowMs = this.clock.nowMs();
		const actions = running.machine.handle(event, nowMs);
		for (const action of actions) {
			this.perform(running, action);
		}

		this.arm(running);
	}

	private perform(running: Running, action: RequestAction): void {
		switch (action.type) {
			case 'claim': {
				void this.claim(running);
				break;
			}

			case 'prepare': {
				void this.prepare(running, action.isAgain);
				break;
			}

			case 'dispatch': {
				const {dispatchId} = action.message;
				this.byDispatch.set(dispatchId, running);
				if (!this.links.send(action.upstreamId, action.message)) {
					// Deferred to a later turn, since the state machine must not be re-entered while its actions are performed.
					this.clock.setTimer(0, () => {
						this.feed(running, {type: 'notSent', dispatchId});
					});
				}

				break;
			}

			case 'cancel':
			case 'query': {
				this.links.send(action.upstreamId, {type: action.type, dispatchId: action.dispatchId});
				break;
			}

			case 'credit': {
				void this.grant(running, action);
				break;
			}

			case 'deliver': {
				running.blocked = running.hooks.deliver(action.units, action.data, action.http) ?? running.blocked;
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

	private async claim(running: Running): Promise<void> {
		const claimed = await running.hooks.claim();
		if (claimed.ok) {
			this.feed(running, {type: 'claimed'});
		} else if (claimed.error.code === 'taken') {
			running.hooks.taken(claimed.error);
			this.feed(running, {type: 'claimRefused', code: 'duplicateRequest', message: 'the idempotency key was used before'});
		} else {
			this.feed(running, {type: 'claimRefused', code: 'storeUnavailable', message: claimed.error.message});
		}
	}

	private async prepare(running: Running, isAgain: boolean): Promise<void> {
		const prepared = await running.hooks.prepare?.(isAgain) ?? ok(noInputs);
		this.feed(running, prepared.ok
			? {type: 'prepared', inputs: prepared.value}
			: {type: 'preparationFailed', failure: prepared.error});
	}

	/** Grants credit to the agent once the caller has read what it was sent, so that a slow caller delays only its own stream. */
	private async grant(running: Running, action: Extract<RequestAction, {type: 'credit'}>): Promise<void> {
		await running.blocked;
		this.links.send(action.upstreamId, {type: 'credit', dispatchId: action.dispatchId, chunks: action.chunks});
	}

	private arm(running: Running): void {
		const {wakeAtMs} = running.machine;
		if (running.timerAtMs === wakeAtMs && running.timer) {
			return;
		}

		running.timer?.dispose();
		running.timer = undefined;
		running.timerAtMs = wakeAtMs;
		if (wakeAtMs < Infinity && !running.machine.isClosed) {
			const nowMs = this.clock.nowMs();
			const dueMs = Math.max(nowMs + 1, wakeAtMs);
			running.timer = this.clock.setTimer(dueMs - nowMs, () => {
				this.wake(running, dueMs);
			});
		}
	}

	/**
	Sends a `tick` event to a request whose timer has fired. After a pause of this host the event waits until the sockets have been
	read, so that an upstream is not treated as silent, and no call is sent a second time, while its answer is still unread.
	*/
	private wake(running: Running, dueMs: number): void {
		const tick = () => {
			running.timer = undefined;
			this.feed(running, {type: 'tick'});
		};

		if (this.clock.nowMs() - dueMs >= ownPauseMs) {
			running.timer = this.clock.setTimer(readFirstMs, tick);
		} else {
			tick();
		}
	}

	private close(running: Running): void {
		running.timer?.dispose();
		this.running.delete(running);
		for (const dispatchId of running.machine.dispatchIds) {
			this.byDispatch.delete(dispatchId);
		}
	}
}

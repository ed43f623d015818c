/** Runs request machines: feeds them what happens, and carries out what they say. */
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

/** A timer that is this late means that this host stood still, frozen or asleep, and has not read what came meanwhile. */
const ownPauseMs = 400;
/** Time to read it: timers run before sockets are read, and on waking everything that was due is due at once. */
const readFirstMs = 50;

/** What a request's caller side does for it. */
export type RequestHooks = {
	/** Registers the request, where it may run only once. */
	claim(): Promise<Outcome<GrantedClaim, ClaimRefusal>>;
	/** A repeat of a key: the caller gets what is known of the first. */
	taken(refusal: Extract<ClaimRefusal, {code: 'taken'}>): void;
	/**
	Does the work that must be done before the request itself can run.
	@param isAgain - whether results made before are lost.
	*/
	prepare?(isAgain: boolean): Promise<Outcome<PreparedInputs, PreparationFailure>>;
	/**
	Units for a streaming caller.
	@param http - status and headers of the upstream whose answer this is.
	@returns ends when the caller can take more, or nothing if it can at once.
	*/
	deliver(units: number, data: Uint8Array, http?: HttpHead): Promise<void> | undefined;
	/** The final answer. */
	finish(result: RequestResult): void;
	/** What became of it after `unknown` was told. */
	settle(outcome: RequestOutcome): void;
};

type Running = {
	readonly machine: RequestMachine;
	readonly hooks: RequestHooks;
	timer: Disposable | undefined;
	timerAtMs: number;
	/** A streaming caller that can't take more; credit waits for it. */
	blocked: Promise<void> | undefined;
};

/** Holds the requests of one entry. */
export class RequestRunner implements Disposable {
	static create(links: UpstreamLinks, router: RequestRouter, clock: Clock): RequestRunner {
		return new RequestRunner(links, router, clock);
	}

	private readonly running = new Set<Running>();
	private readonly byDispatch = new Map<string, Running>();
	private readonly owned = DisposableStore.create();
	/** Chunks, ends and refusals of no current attempt. */
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
	@param plan - what to do.
	@param hooks - the caller's side.
	@returns call it when the caller goes away.
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

	/** The process ends in a moment: what no upstream can have begun is refused, and the rest goes on as long as it can. */
	refuseUnstarted(): void {
		this.broadcast({type: 'hostStops'});
	}

	/** Some request was barred from upstreams: those of its content that wait are refused. */
	standingChanged(): void {
		this.broadcast({type: 'standingChanged'});
	}

	dispose(): void {
		// Connections that close from now on must set no timer: nothing would end it.
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
				// Nobody waits for it any more.
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
					// On a later turn: the machine is not entered while its actions are carried out.
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

	/** A slow caller holds up its own stream only: the agent gets no credit until the caller has read. */
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
	Tells a request that its time has come; after a pause of this host only once its sockets were read, so that an upstream
	is not taken for silent, nor a call sent a second time, while the answer lies unread.
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

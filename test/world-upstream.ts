/** An upstream and the agent before it, in the world of the request fuzzer: the agent's real machine around a fake upstream. */
import type {Clock} from '../src/base/common/clock.js';
import type {CallEnd, GateAction} from '../src/request/common/gate-actions.js';
import {GateMachine} from '../src/request/common/gate-machine.js';
import {tokenAt} from '../src/standins/common/engine-state.js';
import type {DispatchMessage, Message} from '../src/wire/common/messages.js';
import {stageOutput, type RequestOracle} from './request-oracle.js';

/** Tokens of each answer of an upstream that generates. */
export const tokensPerAnswer = 4;
/** What the answers of all upstreams are generated with. */
export const generationSeed = 5;

/** What an upstream may do with a call. */
export const callSteps = ['piece', 'piece', 'piece', 'complete', 'complete', 'fail', 'notRun', 'unknown'] as const;
export type CallStep = typeof callSteps[number];

type Call = {readonly dispatch: DispatchMessage; produced: number; isStarted: boolean};

/** What an upstream is made of. */
export type WorldUpstreamOptions = {
	readonly upstreamId: string;
	readonly clock: Clock;
	readonly oracle: RequestOracle;
	readonly newIncarnation: () => string;
	/** Sends a message on the connection with a number, if that is up. */
	readonly send: (connectionId: number, message: Message) => void;
};

/** One upstream; its agent may die and come back. */
export class WorldUpstream {
	readonly upstreamId: string;
	incarnation: string;
	gate = makeGate();
	isPaused = false;
	pausedMs = 0;
	private hasAnnouncedLeaving = false;
	/** By dispatch id. */
	private readonly calls = new Map<string, Call>();

	constructor(private readonly options: WorldUpstreamOptions) {
		this.upstreamId = options.upstreamId;
		this.incarnation = options.newIncarnation();
	}

	/** Dispatch ids of the calls that it has. */
	get callIds(): readonly string[] {
		return [...this.calls.keys()];
	}

	/** Goes on with a call as it usually does: a piece, or the end once nothing is left. */
	progress(dispatchId: string): void {
		const call = this.calls.get(dispatchId);
		if (call) {
			this.step(dispatchId, call.produced >= tokensPerAnswer || call.dispatch.call.kind === 'run' ? 'complete' : 'piece');
		}
	}

	/** Does one thing with a call. */
	step(dispatchId: string, step: CallStep): void {
		const call = this.calls.get(dispatchId);
		if (!call || this.isPaused) {
			return;
		}

		if (step === 'notRun' && !call.isStarted) {
			// The upstream was never reached.
			const {runs} = this.options.oracle;
			runs.splice(runs.findIndex(run => run.dispatchId === dispatchId), 1);
			this.endCall(dispatchId, {state: 'notRun'});
			return;
		}

		if (!call.isStarted) {
			call.isStarted = true;
			this.perform(this.gate.callStarted(dispatchId, undefined, this.nowMs));
		}

		if (step === 'piece') {
			this.produce(call);
		} else if (step === 'complete') {
			while (this.produce(call)) {
				// Until everything is produced.
			}

			this.endCall(dispatchId, {state: 'completed'});
		} else {
			const isUnknown = step === 'unknown' && !call.dispatch.isRepeatable;
			this.endCall(dispatchId, {state: isUnknown ? 'unknown' : 'failed', reason: step});
		}
	}

	/** Says that it leaves. */
	announceLeaving(): void {
		this.hasAnnouncedLeaving = true;
	}

	/** A new agent takes the place of one that died; what ran on the upstream is cancelled first. */
	replaceAgent(): void {
		this.calls.clear();
		this.incarnation = this.options.newIncarnation();
		this.gate = makeGate();
		this.isPaused = false;
		this.hasAnnouncedLeaving = false;
	}

	/** Takes a message from an entry. */
	receive(message: Message, connectionId: number, isStale: boolean): void {
		switch (message.type) {
			case 'dispatch': {
				this.perform(this.gate.dispatch(connectionId, message, isStale, this.nowMs));
				break;
			}

			case 'cancel': {
				this.perform(this.gate.cancel(message.dispatchId, this.nowMs));
				break;
			}

			case 'query': {
				this.perform(this.gate.query(connectionId, message.dispatchId, this.nowMs));
				break;
			}

			case 'credit': {
				this.perform(this.gate.credit(message.dispatchId, message.chunks, this.nowMs));
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Does what the agent's machine asks for. */
	perform(actions: readonly GateAction[]): void {
		for (const action of actions) {
			switch (action.type) {
				case 'send': {
					this.options.send(action.connectionId, action.message);
					break;
				}

				case 'start': {
					this.startCall(action.dispatch);
					break;
				}

				case 'abort': {
					this.endCall(action.dispatchId, {state: 'failed', reason: 'aborted'});
					break;
				}

				case 'flow': {
					break;
				}
			}
		}
	}

	private get nowMs(): number {
		return this.options.clock.nowMs();
	}

	private startCall(dispatch: DispatchMessage): void {
		const {upstreamId, options: {oracle}} = this;
		const {dispatchId, requestId, stageIndex: stage} = dispatch;
		this.calls.set(dispatchId, {
			dispatch, isStarted: false, produced: dispatch.call.kind === 'generate' ? dispatch.call.resumeOffset : 0,
		});
		oracle.runs.push({
			requestId, stage, dispatchId, upstreamId,
		});
		if (this.hasAnnouncedLeaving) {
			oracle.leavingBreaches.push({upstreamId, dispatchId});
		}
	}

	private endCall(dispatchId: string, end: CallEnd): void {
		if (this.calls.delete(dispatchId)) {
			this.perform(this.gate.callEnded(dispatchId, end, this.nowMs));
		}
	}

	/** Gives the next piece; false once there is none. */
	private produce(call: Call): boolean {
		const {dispatchId, call: work} = call.dispatch;
		const isGenerating = work.kind === 'generate';
		if (call.produced >= (isGenerating ? tokensPerAnswer : 1)) {
			return false;
		}

		const input = new TextDecoder().decode(work.kind === 'generate' ? work.prompt : (work.kind === 'run' ? work.input : work.body));
		const text = isGenerating ? tokenAt({prompt: input, seed: generationSeed}, call.produced) : stageOutput('run', input, generationSeed, tokensPerAnswer);
		call.produced++;
		this.perform(this.gate.callPiece(dispatchId, 1, new TextEncoder().encode(text), this.nowMs));
		return true;
	}
}

function makeGate(): GateMachine {
	return GateMachine.create({slots: 2, maxQueue: 2});
}

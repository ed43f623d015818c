/** Upstream with its agent in the simulation of the request fuzzer: the agent's real state machine with a fake upstream. */
import type {Clock} from '../src/base/common/clock.js';
import type {CallEnd, GateAction} from '../src/request/common/gate-actions.js';
import {GateStateMachine} from '../src/request/common/gate-state-machine.js';
import {tokenAt} from '../src/standins/common/engine-state.js';
import type {DispatchMessage, Message} from '../src/wire/common/messages.js';
import {stageOutput, type RequestOracle} from './request-oracle.js';

/** Number of tokens in each answer of a generating upstream. */
export const tokensPerAnswer = 4;
/** Seed of the answers of all upstreams, so that every upstream generates the same answer for an input. */
export const generationSeed = 5;

/** Steps that an upstream can take in a call; `piece` is listed three times and `complete` twice, so that calls usually progress. */
export const callSteps = ['piece', 'piece', 'piece', 'complete', 'complete', 'fail', 'notRun', 'unknown'] as const;
export type CallStep = typeof callSteps[number];

type Call = {readonly dispatch: DispatchMessage; produced: number; isStarted: boolean};

/** Dependencies of an upstream. */
export type SimulatedUpstreamOptions = {
	readonly upstreamId: string;
	readonly clock: Clock;
	readonly oracle: RequestOracle;
	readonly newIncarnation: () => string;
	/** Sends a message on the connection with the given number, if it is up. */
	readonly send: (connectionId: number, message: Message) => void;
};

/** One upstream, whose agent can crash and be replaced. */
export class SimulatedUpstream {
	readonly upstreamId: string;
	incarnation: string;
	gate = makeGate();
	isPaused = false;
	pausedMs = 0;
	private hasAnnouncedLeaving = false;
	/** Running calls, by dispatch id. */
	private readonly calls = new Map<string, Call>();

	constructor(private readonly options: SimulatedUpstreamOptions) {
		this.upstreamId = options.upstreamId;
		this.incarnation = options.newIncarnation();
	}

	/** Dispatch ids of the running calls. */
	get callIds(): readonly string[] {
		return [...this.calls.keys()];
	}

	/** Takes the usual next step in a call: produces a chunk, or completes the call once all chunks are produced. */
	progress(dispatchId: string): void {
		const call = this.calls.get(dispatchId);
		if (call) {
			this.step(dispatchId, call.produced >= tokensPerAnswer || call.dispatch.call.kind === 'run' ? 'complete' : 'piece');
		}
	}

	/** Takes one step in a call. */
	step(dispatchId: string, step: CallStep): void {
		const call = this.calls.get(dispatchId);
		if (!call || this.isPaused) {
			return;
		}

		if (step === 'notRun' && !call.isStarted) {
			// The call never reached the upstream, so it does not count as executed.
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
				// Repeats until all chunks are produced.
			}

			this.endCall(dispatchId, {state: 'completed'});
		} else {
			const isUnknown = step === 'unknown' && !call.dispatch.isRepeatable;
			this.endCall(dispatchId, {state: isUnknown ? 'unknown' : 'failed', reason: step});
		}
	}

	/** Records that the agent has announced that it is leaving; from then on, a started call is a breach. */
	announceLeaving(): void {
		this.hasAnnouncedLeaving = true;
	}

	/** Replaces a crashed agent by a new one; the calls running on the upstream are canceled first. */
	replaceAgent(): void {
		this.calls.clear();
		this.incarnation = this.options.newIncarnation();
		this.gate = makeGate();
		this.isPaused = false;
		this.hasAnnouncedLeaving = false;
	}

	/** Passes a message from an entry to the state machine of the agent. */
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

	/** Performs the actions that the state machine of the agent returned. */
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

	/**
	Produces the next chunk of a call.
	@returns false once all chunks are produced.
	*/
	private produce(call: Call): boolean {
		const {dispatchId, call: work} = call.dispatch;
		const isGenerating = work.kind === 'generate';
		if (call.produced >= (isGenerating ? tokensPerAnswer : 1)) {
			return false;
		}

		const input = new TextDecoder().decode(work.kind === 'generate' ? work.prompt : (work.kind === 'run' ? work.input : work.body));
		const text = isGenerating ? tokenAt({prompt: input, seed: generationSeed}, call.produced) : stageOutput('run', input, generationSeed, tokensPerAnswer);
		call.produced++;
		this.perform(this.gate.callChunkReceived(dispatchId, 1, new TextEncoder().encode(text), this.nowMs));
		return true;
	}
}

function makeGate(): GateStateMachine {
	return GateStateMachine.create({slots: 2, maxQueue: 2});
}

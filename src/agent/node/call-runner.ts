/** Runs the calls that the gate starts, and reports their progress to it. */
import type {Clock} from '../../base/common/clock.js';
import {messageOf} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {CallEnd, GateAction} from '../../request/common/gate-actions.js';
import type {GateStateMachine} from '../../request/common/gate-state-machine.js';
import type {DispatchMessage} from '../../wire/common/messages.js';
import type {CallSink, UpstreamDriver} from '../common/upstream-driver.js';

type Call = {
	readonly controller: AbortController;
	isOpen: boolean;
	/** Resumes the reader that waits for credit. */
	resumeReader: (() => void) | undefined;
};

/** Manages the calls in flight on the upstream. */
export class CallRunner {
	/**
	Creates a runner.
	@param gate - notified of the progress of each call.
	@param driver - calls the upstream.
	@param clock - the source of the current time.
	@param perform - carries out the actions that the gate returns.
	*/
	static create(gate: GateStateMachine, driver: UpstreamDriver, clock: Clock, perform: (actions: readonly GateAction[]) => void): CallRunner {
		return new CallRunner(gate, driver, clock, perform);
	}

	private readonly calls = new Map<string, Call>();

	private constructor(
		private readonly gate: GateStateMachine,
		private readonly driver: UpstreamDriver,
		private readonly clock: Clock,
		private readonly perform: (actions: readonly GateAction[]) => void,
	) {}

	start(dispatch: DispatchMessage): void {
		const call: Call = {controller: new AbortController(), isOpen: true, resumeReader: undefined};
		this.calls.set(dispatch.dispatchId, call);
		detach('call', this.run(dispatch, call));
	}

	abort(dispatchId: string): void {
		const call = this.calls.get(dispatchId);
		call?.controller.abort();
		call?.resumeReader?.();
	}

	/** Resumes or pauses reading the response of the upstream. */
	setFlow(dispatchId: string, isOpen: boolean): void {
		const call = this.calls.get(dispatchId);
		if (call) {
			call.isOpen = isOpen;
			if (isOpen) {
				call.resumeReader?.();
			}
		}
	}

	private async run(dispatch: DispatchMessage, call: Call): Promise<void> {
		const {dispatchId} = dispatch;
		let end: CallEnd;
		try {
			end = await this.driver.run(dispatch, this.sinkOf(dispatchId, call), call.controller.signal);
		} catch (error) {
			end = {state: dispatch.isRepeatable ? 'failed' : 'unknown', reason: messageOf(error)};
		}

		this.calls.delete(dispatchId);
		this.perform(this.gate.callEnded(dispatchId, end, this.clock.nowMs()));
	}

	private sinkOf(dispatchId: string, call: Call): CallSink {
		return {
			started: http => {
				this.perform(this.gate.callStarted(dispatchId, http, this.clock.nowMs()));
			},
			chunk: (units, data) => {
				this.perform(this.gate.callChunkReceived(dispatchId, units, data, this.clock.nowMs()));
			},
			async ready() {
				while (!call.isOpen && !call.controller.signal.aborted) {
					await new Promise<void>(resolve => {
						call.resumeReader = resolve;
					});
				}
			},
		};
	}
}

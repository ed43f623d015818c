/** Oracle of the request fuzzer: records which calls ran and what each caller received, and reports broken promises. */
import {tokenAt} from '../src/standins/common/engine-state.js';
import type {RequestPlan, RequestResult} from '../src/request/common/request-plan.js';

/** One call that an upstream executed. */
export type RunRecord = {readonly requestId: string; readonly stage: number; readonly dispatchId: string; readonly upstreamId: string};

/** One request as seen by its caller. */
export type CallerRecord = {
	readonly plan: RequestPlan;
	/** Whether the caller marked the request as repeatable; with an injected defect, the plan may claim otherwise. */
	readonly isRepeatable: boolean;
	readonly key: string;
	readonly results: RequestResult[];
	delivered: string;
	deliveredUnits: number;
	endedMs: number;
	isEntryLost: boolean;
	isCallerGone: boolean;
};

/** A call started at an upstream whose agent had already announced that it is leaving. */
export type LeavingBreach = {readonly upstreamId: string; readonly dispatchId: string};

/** Records calls and results, and derives from them which promises to callers were broken. */
export class RequestOracle {
	readonly runs: RunRecord[] = [];
	readonly callers = new Map<string, CallerRecord>();
	readonly leavingBreaches: LeavingBreach[] = [];
	/** Dispatch ids of calls that were still running when a planned stop finished. */
	readonly abortedByStop: string[] = [];

	/** Ids of requests whose state machine asked, right after a tick, for another tick at a time that was not in the future. */
	readonly spinningRequestIds: string[] = [];

	/**
	Returns the broken promises that can be detected at any time, also while requests are running.
	@param marginMs - time after the hard deadline within which a request must be answered.
	*/
	breaches(marginMs: number): string[] {
		const found: string[] = [];
		for (const caller of this.callers.values()) {
			found.push(...this.answerBreaches(caller, marginMs));
		}

		for (const [key, runs] of this.runsByKey()) {
			if (runs > 1) {
				found.push(`promise 4: the request with key ${key} was executed ${runs} times`);
			}
		}

		found.push(
			...this.leavingBreaches.map(breach => `promise 5: ${breach.dispatchId} was started at ${breach.upstreamId}, which had announced that it is leaving`),
			...this.spinningRequestIds.map(requestId => `the state machine of ${requestId} asks for ticks at times that have passed`),
			...this.abortedByStop.map(dispatchId => `promise 6: a planned stop aborted ${dispatchId}`),
		);
		return found;
	}

	/** Describes requests that must have a result by now and have none. */
	unanswered(): string[] {
		return [...this.callers.values()]
			.filter(caller => caller.results.length === 0 && !caller.isEntryLost && !(caller.isCallerGone && !caller.isRepeatable))
			.map(caller => `${caller.plan.requestId} got no result`);
	}

	private answerBreaches(caller: CallerRecord, marginMs: number): string[] {
		const {plan, results, delivered, endedMs} = caller;
		const {requestId} = plan;
		const found: string[] = [];
		if (results.length > 1) {
			found.push(`promise 1: ${requestId} got ${results.length} results`);
		}

		const expected = expectedAnswer(plan);
		if (!expected.startsWith(delivered)) {
			found.push(`promise 1: ${requestId} was streamed "${delivered}", which is not a prefix of "${expected}"`);
		}

		const [result] = results;
		if (!result) {
			return found;
		}

		const answer = plan.isStreaming ? delivered : new TextDecoder().decode(result.body);
		if (result.outcome === 'completed' && answer !== expected) {
			found.push(`promise 2: ${requestId} completed with "${answer}" instead of "${expected}"`);
		}

		if (result.isNotRun && this.runs.some(run => run.requestId === requestId)) {
			found.push(`promise 3: ${requestId} was refused as not run, but was executed`);
		}

		if (endedMs > plan.hardDeadlineMs + marginMs) {
			found.push(`${requestId} was answered ${endedMs - plan.hardDeadlineMs} ms after its hard deadline`);
		}

		return found;
	}

	private runsByKey(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const run of this.runs) {
			const caller = this.callers.get(run.requestId);
			if (caller && !caller.isRepeatable) {
				counts.set(caller.key, (counts.get(caller.key) ?? 0) + 1);
			}
		}

		return counts;
	}
}

/** Returns the output of a stage for an input. */
export function stageOutput(stageKind: string, input: string, seed: number, maxTokens: number): string {
	if (stageKind !== 'generate') {
		return `<${input}>`;
	}

	return Array.from({length: maxTokens}, (_, index) => tokenAt({prompt: input, seed}, index)).join('');
}

/** Returns the complete answer that a request must get if it completes. */
export function expectedAnswer(plan: RequestPlan): string {
	let text = new TextDecoder().decode(plan.input);
	for (const stage of plan.stages) {
		text = stageOutput(stage.kind, text, plan.seed, stage.policy.maxTokens);
	}

	return text;
}

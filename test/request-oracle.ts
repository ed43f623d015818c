/** The oracle of the request fuzzer: a list of what ran, and of what each caller got. */
import {tokenAt} from '../src/standins/common/engine-state.js';
import type {RequestPlan, RequestResult} from '../src/request/common/request-plan.js';

/** One call that an upstream worked on. */
export type RunRecord = {readonly requestId: string; readonly stage: number; readonly dispatchId: string; readonly upstreamId: string};

/** One request as its caller sees it. */
export type CallerRecord = {
	readonly plan: RequestPlan;
	/** Whether the caller marked it as repeatable; the machine may be told otherwise by a sabotage. */
	readonly isRepeatable: boolean;
	readonly key: string;
	readonly results: RequestResult[];
	delivered: string;
	deliveredUnits: number;
	endedMs: number;
	isEntryLost: boolean;
	isCallerGone: boolean;
};

/** Work handed to an upstream whose agent had already said that it leaves. */
export type LeavingBreach = {readonly upstreamId: string; readonly dispatchId: string};

/** Remembers, and tells what breaks a promise. */
export class RequestOracle {
	readonly runs: RunRecord[] = [];
	readonly callers = new Map<string, CallerRecord>();
	readonly leavingBreaches: LeavingBreach[] = [];
	/** Work that was running when a planned stop ended. */
	readonly abortedByStop: string[] = [];

	/** Requests whose machine wanted a tick at a time that had passed, right after a tick. */
	readonly spinningRequestIds: string[] = [];

	/** Broken promises that can be seen at any time. */
	breaches(marginMs: number): string[] {
		const found: string[] = [];
		for (const caller of this.callers.values()) {
			found.push(...this.answerBreaches(caller, marginMs));
		}

		for (const [key, runs] of this.runsByKey()) {
			if (runs > 1) {
				found.push(`promise 4: the request with key ${key} ran ${runs} times`);
			}
		}

		found.push(
			...this.leavingBreaches.map(breach => `promise 5: ${breach.dispatchId} was started at ${breach.upstreamId}, which was leaving`),
			...this.spinningRequestIds.map(requestId => `the machine of ${requestId} spins`),
			...this.abortedByStop.map(dispatchId => `promise 6: a planned stop cut off ${dispatchId}`),
		);
		return found;
	}

	/** Requests that should have ended by now and have not. */
	unanswered(): string[] {
		return [...this.callers.values()]
			.filter(caller => caller.results.length === 0 && !caller.isEntryLost && !(caller.isCallerGone && !caller.isRepeatable))
			.map(caller => `${caller.plan.requestId} got no answer`);
	}

	private answerBreaches(caller: CallerRecord, marginMs: number): string[] {
		const {plan, results, delivered, endedMs} = caller;
		const {requestId} = plan;
		const found: string[] = [];
		if (results.length > 1) {
			found.push(`promise 1: ${requestId} got ${results.length} answers`);
		}

		const expected = expectedAnswer(plan);
		if (!expected.startsWith(delivered)) {
			found.push(`promise 1: ${requestId} was streamed "${delivered}", not a start of "${expected}"`);
		}

		const [result] = results;
		if (!result) {
			return found;
		}

		const answer = plan.isStreaming ? delivered : new TextDecoder().decode(result.body);
		if (result.outcome === 'completed' && answer !== expected) {
			found.push(`promise 2: ${requestId} completed with "${answer}" in place of "${expected}"`);
		}

		if (result.isNotRun && this.runs.some(run => run.requestId === requestId)) {
			found.push(`promise 3: ${requestId} was refused as not run, and ran`);
		}

		if (endedMs > plan.giveUpMs + marginMs) {
			found.push(`${requestId} was answered ${endedMs - plan.giveUpMs} ms after its last moment`);
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

/** What a stage gives for an input. */
export function stageOutput(stageKind: string, input: string, seed: number, maxTokens: number): string {
	if (stageKind !== 'generate') {
		return `<${input}>`;
	}

	return Array.from({length: maxTokens}, (_, index) => tokenAt({prompt: input, seed}, index)).join('');
}

/** The whole answer that a request must get, if it gets one. */
export function expectedAnswer(plan: RequestPlan): string {
	let text = new TextDecoder().decode(plan.input);
	for (const stage of plan.stages) {
		text = stageOutput(stage.kind, text, plan.seed, stage.policy.maxTokens);
	}

	return text;
}

/** The result of a request, put together once it has ended. */
import {extendDigest} from '../../base/common/hash.js';
import {
	failureCodes, outcomes, type FailureCode, type RequestOutcome, type RequestPlan, type RequestResult,
} from './request-plan.js';
import type {StageRun} from './stage-run.js';

const usualRetryAfterMs = 500;

/** How a request ended. */
export type Ending = {
	readonly outcome: RequestOutcome;
	readonly message: string;
	readonly nowMs: number;
	readonly code?: FailureCode;
	/** When to come back, where the part that refused knows. */
	readonly retryAfterMs?: number;
	/** The run of the last stage, where the request completed. */
	readonly last?: StageRun;
};

/**
Puts a result together.
@param plan - the request.
@param runs - its stages, as far as they came.
@param ending - how it ended.
@returns the result.
*/
export function makeResult(plan: RequestPlan, runs: readonly StageRun[], ending: Ending): RequestResult {
	const {outcome, message, nowMs, code, last, retryAfterMs = usualRetryAfterMs} = ending;
	const body = last?.body ?? new Uint8Array(0);
	const isNotRun = outcome === outcomes.refused;
	return {
		outcome,
		isNotRun,
		...(code && {code}),
		message,
		...(isNotRun && isWorthRetrying(code) && {retryAfterMs}),
		isLate: nowMs > plan.deadlineMs,
		tookMs: nowMs - plan.startMs,
		units: last?.unitCount ?? 0,
		digest: extendDigest(0, body),
		body,
		...(last?.http && {http: last.http}),
		stages: runs.map(run => run.trace()),
	};
}

function isWorthRetrying(code: FailureCode | undefined): boolean {
	return code !== failureCodes.duplicateRequest && code !== failureCodes.callerGone;
}

/** Assembles the result of a request once it has ended. */
import {extendDigest} from '../../base/common/hash.js';
import {
	failureCodes, outcomes, type FailureCode, type RequestOutcome, type RequestPlan, type RequestResult,
} from './request-plan.js';
import type {StageRun} from './stage-run.js';

const defaultRetryAfterMs = 500;

/** How a request ended. */
export type RequestEnding = {
	readonly outcome: RequestOutcome;
	readonly message: string;
	readonly nowMs: number;
	readonly code?: FailureCode;
	/** Time after which to retry, if the component that refused the request knows it. */
	readonly retryAfterMs?: number;
	/** The run of the last stage, if the request completed. */
	readonly last?: StageRun;
};

/**
Creates the result of a request.
@param plan - the plan of the request.
@param runs - the runs of the stages that were begun.
@param ending - how the request ended.
@returns the result.
*/
export function makeResult(plan: RequestPlan, runs: readonly StageRun[], ending: RequestEnding): RequestResult {
	const {outcome, message, nowMs, code, last, retryAfterMs = defaultRetryAfterMs} = ending;
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

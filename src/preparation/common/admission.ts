/**
Admission control for requests that need preparation: predicts whether a request whose steps must wait for their pools
can still meet its target. The decision is made before any work starts, where a refusal costs nothing and the caller can
come back once the queues are shorter.
*/
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import type {Route} from '../../deployment/common/declaration.js';

/**
A request is not started if its predicted time exceeds this multiple of its target. With 1.2, queues settled at a length
at which nearly all requests were slightly late, and a late request earns an eighth of one that comes back in time.
*/
const maxFirstAttemptTargets = 1;
/** A caller that retries after a refusal is admitted up to this multiple of the target: a second refusal loses the request. */
const maxRetryTargets = 1.5;
/**
A request counts as a retry if its first attempt is older than this share of the route's timeout; a shorter time may be
network delay.
*/
const retryAgeShare = 0.1;
const minRetryAfterMs = 600;
/**
Callers honor a delay of up to a third of their remaining time. Beyond that, the current queue indicates little about the
queue at the time of the retry.
*/
const maxRetryAfterMs = 2500;

/** Estimates queue waits by pool and rank of the request. */
export type WaitEstimator = {
	/** @returns how long a piece added now would wait for its turn, in milliseconds. */
	waitMs(pool: string, rank: number): number;
};

/** Result of the admission decision. */
export type Admission
	= | {readonly isAdmitted: true; readonly predictedMs: number}
		| {readonly isAdmitted: false; readonly predictedMs: number; readonly retryAfterMs: number};

/** Properties of a request that the admission decision depends on. */
export type AdmissionRequest = {
	readonly index: DeploymentIndex;
	readonly route: Route;
	readonly pieceCounts: readonly number[];
	readonly rank: number;
	/** Time from the end of the steps to the first token. */
	readonly firstTokenMs: number;
	/** Time since the caller's first attempt. */
	readonly sinceFirstTryMs: number;
	/** Random value in [0, 1) that spreads out the retries of refused callers. */
	readonly jitter: number;
};

/**
Predicts the time to the first event of the response and decides whether to admit the request.
@param request - the request.
@param waits - estimates of the current queue waits.
*/
export function admit(request: AdmissionRequest, waits: WaitEstimator): Admission {
	const {route, sinceFirstTryMs, firstTokenMs, jitter} = request;
	const predictedMs = preparationMs(request, waits) + firstTokenMs;
	const isFirstAttempt = sinceFirstTryMs <= route.timeoutMs * retryAgeShare;
	const maxMs = route.targetMs * (isFirstAttempt ? maxFirstAttemptTargets : maxRetryTargets);
	if (predictedMs <= maxMs) {
		return {isAdmitted: true, predictedMs};
	}

	const clearedMs = (predictedMs - (route.targetMs / 2)) * (1 + (jitter / 2));
	return {isAdmitted: false, predictedMs, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, clearedMs))};
}

/** Duration of the critical path through the steps, each with its wait and its call, in milliseconds. */
function preparationMs(request: AdmissionRequest, waits: WaitEstimator): number {
	const {index, route, pieceCounts, rank} = request;
	const doneMs: number[] = [];
	for (const [number, step] of route.steps.entries()) {
		const pieces = pieceCounts[number] ?? 1;
		const startMs = Math.max(0, ...step.after.map(dependency => doneMs[dependency] ?? 0));
		const batch = index.pool(step.pool)?.batch;
		const callMs = batch ? batch.callMs + (batch.itemMs * Math.min(batch.batchSize, Math.max(pieces, batch.batchSize / 2))) : 0;
		doneMs.push(pieces === 0 ? startMs : startMs + waits.waitMs(step.pool, rank) + callMs);
	}

	return Math.max(0, ...doneMs);
}

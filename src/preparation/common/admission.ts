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
const lateTargets = 1;
/** A caller that retries after a refusal is admitted up to this multiple of the target: a second refusal loses the request. */
const patienceTargets = 1.5;
/**
A request counts as a retry if its first attempt is older than this share of the route's timeout; a shorter time may be
network delay.
*/
const returningShare = 0.1;
const shortestRetryAfterMs = 600;
/**
Callers honor a delay of up to a third of their remaining time. Beyond that, the current queue says little about the
queue at the time of the retry.
*/
const longestRetryAfterMs = 2500;

/** Estimates queue waits by pool and rank of the request. */
export type PoolWaits = {
	/** @returns how long a piece added now would wait for its turn, in milliseconds. */
	waitMs(pool: string, rank: number): number;
};

/** Result of the admission decision. */
export type Admission
	= | {readonly isAdmitted: true; readonly predictedMs: number}
		| {readonly isAdmitted: false; readonly predictedMs: number; readonly retryAfterMs: number};

/** Properties of a request that the admission decision depends on. */
export type AdmissionAsk = {
	readonly index: DeploymentIndex;
	readonly route: Route;
	readonly pieceCounts: readonly number[];
	readonly rank: number;
	/** Time from the end of the steps to the first token. */
	readonly afterwardsMs: number;
	/** Time since the caller's first attempt. */
	readonly sinceFirstTryMs: number;
	/** Random value in [0, 1) that spreads out the retries of refused callers. */
	readonly chance: number;
};

/**
Predicts the time to the first event of the response and decides whether to admit the request.
@param request - the request.
@param waits - estimates of the current queue waits.
*/
export function admit(ask: AdmissionAsk, waits: PoolWaits): Admission {
	const {route, sinceFirstTryMs, afterwardsMs, chance} = ask;
	const predictedMs = preparationMs(ask, waits) + afterwardsMs;
	const isFirstTry = sinceFirstTryMs <= route.timeoutMs * returningShare;
	const mostMs = route.targetMs * (isFirstTry ? lateTargets : patienceTargets);
	if (predictedMs <= mostMs) {
		return {isAdmitted: true, predictedMs};
	}

	const clearedMs = (predictedMs - (route.targetMs / 2)) * (1 + (chance / 2));
	return {isAdmitted: false, predictedMs, retryAfterMs: Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, clearedMs))};
}

/** Duration of the critical path through the steps, each with its wait and its call, in milliseconds. */
function preparationMs(ask: AdmissionAsk, waits: PoolWaits): number {
	const {index, route, pieceCounts, rank} = ask;
	const doneMs: number[] = [];
	for (const [number, step] of route.steps.entries()) {
		const pieces = pieceCounts[number] ?? 1;
		const startMs = Math.max(0, ...step.after.map(before => doneMs[before] ?? 0));
		const batch = index.pool(step.pool)?.batch;
		const callMs = batch ? batch.callMs + (batch.itemMs * Math.min(batch.batchSize, Math.max(pieces, batch.batchSize / 2))) : 0;
		doneMs.push(pieces === 0 ? startMs : startMs + waits.waitMs(step.pool, rank) + callMs);
	}

	return Math.max(0, ...doneMs);
}

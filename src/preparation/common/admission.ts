/**
Whether a request whose steps must wait for their pools can still be in time: decided at the door, where a
refusal costs nothing and the caller can come back once the queues are shorter.
*/
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import type {Route} from '../../deployment/common/declaration.js';

/**
A request that is reckoned to be later than this part of its target is not begun. With 1.2, queues settled where
nearly all were a little late, which earns an eighth of what coming back in time does.
*/
const lateTargets = 1;
/** One that comes back after a refusal is taken a little later: refused again it is lost. */
const patienceTargets = 1.5;
/** A caller that first asked longer ago than this part of the route's time has tried before; less may be its way here. */
const returningShare = 0.1;
const shortestRetryAfterMs = 600;
/** Callers heed up to a third of the time they have left; longer, a queue of now says little of the queue then. */
const longestRetryAfterMs = 2500;

/** Waits of the pools' queues, by rank of the request. */
export type PoolWaits = {
	/** @returns how long a piece added now waits for its turn. */
	waitMs(pool: string, rank: number): number;
};

/** What is decided. */
export type Admission
	= | {readonly isAdmitted: true; readonly predictedMs: number}
		| {readonly isAdmitted: false; readonly predictedMs: number; readonly retryAfterMs: number};

/** What the decision needs to know of a request. */
export type AdmissionAsk = {
	readonly index: DeploymentIndex;
	readonly route: Route;
	readonly pieceCounts: readonly number[];
	readonly rank: number;
	/** Time to the first token once the steps are done. */
	readonly afterwardsMs: number;
	/** How long ago the caller first asked. */
	readonly sinceFirstTryMs: number;
	/** Spreads callers that are told to come back; in [0, 1). */
	readonly chance: number;
};

/**
Predicts the time to the first event, and decides.
@param ask - the request.
@param waits - of the queues now.
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

/** The longest way through the steps, each with its wait and its call. */
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

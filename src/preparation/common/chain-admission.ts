/**
Admission control for requests with steps in scheduled pools: decides from the quotes of all pools whether the whole chain of
steps is admitted in time, admitted late or refused. See docs/design/hard-load.md.
*/
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import {inputsFirst} from '../../deployment/common/step-order.js';
import type {WaitEstimator} from './admission.js';
import type {LedgerStep, PoolAsk, Quote} from './quotes.js';
import {stepKeyOf} from './scheduled-pools.js';
import {fullCallMs} from './throughput.js';

/**
Multiple of the target after which the caller of a stream is expected to leave. Callers of streams disconnect when nothing has
arrived for four times the target; one of the four is reserved for delivering the response.
*/
export const maxWaitTargets = 3;
/** A shorter delay is less than the time that a pool takes to work off what it holds. */
const minRetryAfterMs = 600;
/** Callers honor a delay of up to this share of their remaining time. */
const maxRetryShare = 1 / 3;
/** Callers that were refused together return within this share of their delay; more would make them return later than necessary. */
const retryJitterShare = 0.1;

/** Why a request is refused. */
export const chainRefusals = {
	/** The pools have spare capacity, but the request would end after its target and after its caller has left. */
	overTarget: 'overTarget',
	/** At least one pool has no spare capacity. */
	noCapacity: 'noCapacity',
} as const;
export type ChainRefusal = typeof chainRefusals[keyof typeof chainRefusals];

/** The steps of a request, with what their prediction depends on. */
export type ChainRequest = {
	readonly index: DeploymentIndex;
	readonly route: Route;
	readonly pieceCounts: readonly number[];
	readonly rank: number;
	/** Time from the end of the steps to the first token. */
	readonly firstTokenMs: number;
};

/** Times of a request, in milliseconds. */
export type ChainTimes = {
	/** Time since the request was received. */
	readonly elapsedMs: number;
	/** Time from the caller's first attempt to the receipt of this one. */
	readonly sinceFirstTryMs: number;
	/** Time limit of this attempt, counted from its receipt. */
	readonly limitMs: number;
	/** Random value in [0, 1) that spreads out the retries of refused callers. */
	readonly jitter: number;
};

/**
Decision about a request. Predicted times and start times are relative to the decision, in milliseconds. `startMs` is the time by
which all steps that read no results were quoted to start.
*/
export type ChainDecision
	= | {readonly type: 'inTime'; readonly predictedMs: number; readonly startMs: number}
		| {readonly type: 'late'; readonly predictedMs: number; readonly latePredictedMs: number; readonly startMs: number}
		| {
			readonly type: 'refused'; readonly reason: ChainRefusal; readonly predictedMs: number; readonly latePredictedMs: number | undefined;
			/** Pool whose queue determines the predicted time. */
			readonly pool: string;
			readonly retryAfterMs: number;
		};

/** Predicted course of the steps. */
type Prediction = {readonly predictedMs: number; readonly startMs: number; readonly bindingPool: string};

/** Times of one step; `inputsMs` is the end of the steps whose results it reads. */
type StepPrediction = {readonly pool: string; readonly inputsMs: number; readonly startMs: number; readonly endMs: number; readonly latestInput: number | undefined};

/**
Returns what a request asks of the scheduled pools: one ask for each pool, with all steps of the request that run there.
@param request - the request; its steps without pieces are left out.
@param identity - ID under which the work is reserved, and workspace of the request.
@param scheduledPools - names of the scheduled pools of the declaration.
*/
export function poolAsksOf(
	{index, route, pieceCounts, rank}: Omit<ChainRequest, 'firstTokenMs'>,
	{requestId, workspace}: Pick<PoolAsk, 'requestId' | 'workspace'>,
	scheduledPools: ReadonlySet<string>,
): PoolAsk[] {
	const asks = new Map<string, {readonly steps: LedgerStep[]; readyInMs: number}>();
	const doneMs: number[] = [];
	for (const number of inputsFirst(route.steps)) {
		const {pool, after, resultBytes} = route.steps[number];
		const pieces = pieceCounts[number] ?? 1;
		const readyInMs = Math.max(0, ...after.map(dependency => doneMs[dependency] ?? 0));
		doneMs[number] = pieces === 0 ? readyInMs : readyInMs + halfFullCallMs(index, pool);
		if (pieces === 0 || !scheduledPools.has(pool)) {
			continue;
		}

		const ask = asks.get(pool) ?? {steps: [], readyInMs};
		ask.steps.push({stepKey: stepKeyOf(route.name, number), pieces, resultBytes});
		ask.readyInMs = Math.min(ask.readyInMs, readyInMs);
		asks.set(pool, ask);
	}

	return [...asks].map(([pool, ask]) => ({
		pool, requestId, rank, workspace, ...ask,
	}));
}

/**
Decides whether a request is admitted.
@param request - the request.
@param times - times of the request.
@param quotes - quotes of the scheduled pools, by pool.
@param waits - estimates of the waits for the other pools.
*/
export function decideChain(request: ChainRequest, times: ChainTimes, quotes: ReadonlyMap<string, Quote>, waits: WaitEstimator): ChainDecision {
	const {route} = request;
	const {elapsedMs, sinceFirstTryMs, limitMs} = times;
	const inTime = predict(request, waits, pool => quotes.get(pool));
	const {predictedMs, startMs} = inTime;
	const budgetMs = route.targetMs - sinceFirstTryMs - elapsedMs;
	if (predictedMs <= budgetMs) {
		return {type: 'inTime', predictedMs, startMs};
	}

	const late = predictLate(request, waits, quotes);
	const leavesInMs = (route.kind === routeKinds.stream ? Math.min(limitMs, maxWaitTargets * route.targetMs) : limitMs) - elapsedMs;
	const lateExcessMs = late ? late.predictedMs + longestFullCallMs(request.index, quotes) - leavesInMs : Infinity;
	if (late && lateExcessMs <= 0) {
		return {
			type: 'late', predictedMs, latePredictedMs: late.predictedMs, startMs: late.startMs,
		};
	}

	const drainMs = Math.min(lateExcessMs, (predictedMs - budgetMs) * drainFactor(quotes.get(inTime.bindingPool)));
	return {
		type: 'refused',
		reason: late ? chainRefusals.overTarget : chainRefusals.noCapacity,
		predictedMs,
		latePredictedMs: late?.predictedMs,
		pool: late ? inTime.bindingPool : poolWithoutCapacity(inTime.bindingPool, quotes),
		retryAfterMs: retryAfterMs(late ? drainMs : Infinity, limitMs - elapsedMs, times.jitter),
	};
}

/** Predicts the steps of a request that is queued behind everything else; undefined if a pool has no spare capacity. */
function predictLate(request: ChainRequest, waits: WaitEstimator, quotes: ReadonlyMap<string, Quote>): Prediction | undefined {
	const lateQuotes = new Map<string, Pick<Quote, 'aheadMs' | 'callMs'>>();
	for (const [pool, {lateAheadMs, callMs}] of quotes) {
		if (lateAheadMs === undefined) {
			return undefined;
		}

		lateQuotes.set(pool, {aheadMs: lateAheadMs, callMs});
	}

	return predict(request, waits, pool => lateQuotes.get(pool));
}

/**
Predicts the course of the steps. The queue of a quoted pool drains while a request waits elsewhere, so a step starts at the later
of the end of its inputs and the quoted time. Waits of other pools are added, as in `admission.ts`.
*/
function predict(request: ChainRequest, waits: WaitEstimator, quoteOf: (pool: string) => Pick<Quote, 'aheadMs' | 'callMs'> | undefined): Prediction {
	const {index, route, pieceCounts, rank, firstTokenMs} = request;
	const steps: StepPrediction[] = [];
	for (const number of inputsFirst(route.steps)) {
		const {pool, after} = route.steps[number];
		const latestInput = latestOf(steps, after);
		const inputsMs = latestInput === undefined ? 0 : steps[latestInput].endMs;
		const quote = quoteOf(pool);
		const startMs = quote ? Math.max(inputsMs, quote.aheadMs) : inputsMs + waits.waitMs(pool, rank);
		const endMs = startMs + (quote ? quote.callMs : halfFullCallMs(index, pool));
		const isSkipped = pieceCounts[number] === 0;
		steps[number] = {
			pool, inputsMs, startMs: isSkipped ? inputsMs : startMs, endMs: isSkipped ? inputsMs : endMs, latestInput,
		};
	}

	const last = latestOf(steps, [...steps.keys()]);
	const firstSteps = steps.filter((_, number) => route.steps[number].after.length === 0);
	return {
		predictedMs: (last === undefined ? 0 : steps[last].endMs) + firstTokenMs,
		startMs: Math.max(0, ...firstSteps.map(step => step.startMs)),
		bindingPool: bindingPoolOf(steps, last),
	};
}

/** Returns which of the given steps ends last; undefined if there are none. */
function latestOf(steps: readonly StepPrediction[], numbers: readonly number[]): number | undefined {
	let latest: number | undefined;
	for (const number of numbers) {
		if (steps[number] && (latest === undefined || steps[number].endMs > steps[latest].endMs)) {
			latest = number;
		}
	}

	return latest;
}

/** Returns the pool of the last step on the critical path that waits although its inputs are there, or else of the last step. */
function bindingPoolOf(steps: readonly StepPrediction[], last: number | undefined): string {
	for (let number = last; number !== undefined; number = steps[number].latestInput) {
		if (steps[number].startMs > steps[number].inputsMs) {
			return steps[number].pool;
		}
	}

	return last === undefined ? '' : steps[last].pool;
}

/** Returns the pool without spare capacity that determines the predicted time or, if that one has some, the one with the longest wait. */
function poolWithoutCapacity(bindingPool: string, quotes: ReadonlyMap<string, Quote>): string {
	const full = [...quotes].filter(([, {lateAheadMs}]) => lateAheadMs === undefined).toSorted(([, left], [, right]) => right.aheadMs - left.aheadMs);
	return full.some(([pool]) => pool === bindingPool) ? bindingPool : full[0]?.[0] ?? bindingPool;
}

/** Returns how much longer a backlog takes to drain while demand continues than it would without further demand. */
function drainFactor(quote: Quote | undefined): number {
	return quote && quote.aheadMs > 0 ? Math.max(1, (quote.lateAheadMs ?? 0) / quote.aheadMs) : 1;
}

/**
Returns the delay after which a refused caller is asked to retry, in milliseconds.
@param drainMs - time until the excess has drained.
@param remainingMs - remaining time of the caller.
@param jitter - random value in [0, 1).
*/
function retryAfterMs(drainMs: number, remainingMs: number, jitter: number): number {
	const maxMs = Math.max(0, remainingMs) * maxRetryShare;
	return Math.min(maxMs * (1 - (jitter * retryJitterShare)), Math.max(minRetryAfterMs, drainMs * (1 + (jitter * retryJitterShare))));
}

/** Longest declared duration of a full call among the quoted pools, in milliseconds. */
function longestFullCallMs(index: DeploymentIndex, quotes: ReadonlyMap<string, Quote>): number {
	return Math.max(0, ...[...quotes.keys()].map(pool => {
		const batch = index.pool(pool)?.batch;
		return batch ? fullCallMs(batch) : 0;
	}));
}

/** Declared duration of a half-full call of a pool, in milliseconds. */
function halfFullCallMs(index: DeploymentIndex, pool: string): number {
	const batch = index.pool(pool)?.batch;
	return batch ? batch.callMs + (batch.itemMs * batch.batchSize / 2) : 0;
}

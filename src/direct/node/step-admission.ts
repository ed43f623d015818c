/**
Admission of the preparation steps of requests. Requests with a step in a scheduled pool are decided by the quotes of the pools'
schedulers, all others immediately by the reported waits.
*/
import type {Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import {admit, type WaitEstimator} from '../../preparation/common/admission.js';
import {decideChain, poolAsksOf, type ChainDecision} from '../../preparation/common/chain-admission.js';
import type {PoolAsk, Quote, QuoteSource} from '../../preparation/common/quotes.js';
import {ScheduledPoolsByIndex} from '../../preparation/common/scheduled-pools-by-index.js';
import type {RequestScheduling} from '../../preparation/node/preparer.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {rankOf, type ResolvedRequest} from './resolve-request.js';

/** Reason in the metric of refusals that are decided by the reported waits. */
const predictedWaitReason = 'predictedWait';

/** Dependencies. */
export type StepAdmissionOptions = {
	/** Waiting times of the queues, as reported by the hosts that batch the pools. */
	readonly waits: WaitEstimator;
	readonly quotes: QuoteSource;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** A request whose steps are to be admitted. */
export type StepRequest = Pick<ResolvedRequest, 'index' | 'route' | 'workspace' | 'callerRequest'> & {
	/** ID of the request on this host. */
	readonly requestId: string;
	readonly receivedMs: number;
	readonly deadlineMs: number;
	/** How long ago the caller first sent the request. */
	readonly sinceFirstTryMs: number;
	/** Time from the end of the steps to the first token. */
	readonly firstTokenMs: number;
};

/** Whether the steps of a request are admitted; `scheduling` is undefined if none of them runs in a scheduled pool. */
export type StepVerdict
	= | {readonly isAdmitted: true; readonly scheduling: RequestScheduling | undefined}
		| {readonly isAdmitted: false; readonly retryAfterMs: number};

/** Decides whether the steps of requests are admitted, and records refusals. */
export class StepAdmission {
	static create(options: StepAdmissionOptions): StepAdmission {
		return new StepAdmission(options);
	}

	private readonly scheduledPools = ScheduledPoolsByIndex.create();

	private constructor(private readonly options: StepAdmissionOptions) {}

	/**
	Returns what a request must ask of the schedulers of its pools; nothing if none of its steps runs in a scheduled pool.
	@param request - the request.
	*/
	asksOf(request: StepRequest): PoolAsk[] {
		const scheduled = this.scheduledPools.of(request.index);
		const {index, route, workspace, callerRequest: {pieceCounts}, requestId} = request;
		const rank = rankOf(request);
		return poolAsksOf({
			index, route, pieceCounts, rank,
		}, {requestId, workspace: workspace?.name ?? ''}, scheduled);
	}

	/**
	Decides by the reported waits.
	@param request - the request.
	*/
	admitByWaits(request: StepRequest): StepVerdict {
		const {index, route, callerRequest, sinceFirstTryMs, firstTokenMs} = request;
		const {random, waits, log, metrics} = this.options;
		const rank = rankOf(request);
		const admission = admit({
			index, route, pieceCounts: callerRequest.pieceCounts, rank, firstTokenMs, sinceFirstTryMs, jitter: random.next(),
		}, waits);
		if (admission.isAdmitted) {
			return {isAdmitted: true, scheduling: undefined};
		}

		const {predictedMs, retryAfterMs} = admission;
		log.info(requestLogMessages.refusedForPredictedWait, {
			request: callerRequest.requestId,
			route: route.name,
			rank,
			predictedMs: Math.round(predictedMs),
			targetMs: route.targetMs,
			retryAfterMs: Math.round(retryAfterMs),
			sinceFirstTryMs: Math.round(sinceFirstTryMs),
		});
		metrics.increment('requests.refusedAtDoor', 1, {route: route.name, reason: predictedWaitReason});
		return {isAdmitted: false, retryAfterMs};
	}

	/**
	Asks the schedulers of the pools and decides by their quotes, or by the reported waits if they do not answer in time.
	@param request - the request.
	@param asks - what it asks of its pools.
	@param isOver - returns whether the request has ended meanwhile, as when its caller has left.
	@returns the verdict; undefined if the request is over. Unless it is admitted, nothing remains reserved.
	*/
	async admitByQuotes(request: StepRequest, asks: readonly PoolAsk[], isOver: () => boolean): Promise<StepVerdict | undefined> {
		const quotes = await this.options.quotes.ask(asks);
		const verdict = isOver() ? undefined : this.decide(request, quotes);
		if (quotes && !verdict?.isAdmitted) {
			this.options.quotes.forgo(request.requestId, asks.map(({pool}) => pool));
		}

		return verdict;
	}

	private decide(request: StepRequest, quotes: ReadonlyMap<string, Quote> | undefined): StepVerdict {
		if (!quotes) {
			const verdict = this.admitByWaits(request);
			return verdict.isAdmitted ? {isAdmitted: true, scheduling: this.schedulingOf(request)} : verdict;
		}

		const {index, route, callerRequest, firstTokenMs, sinceFirstTryMs, receivedMs, deadlineMs} = request;
		const {waits, clock, random, metrics} = this.options;
		const nowMs = clock.nowMs();
		const decision = decideChain({
			index, route, pieceCounts: callerRequest.pieceCounts, rank: rankOf(request), firstTokenMs,
		}, {
			elapsedMs: nowMs - receivedMs, sinceFirstTryMs, limitMs: deadlineMs - receivedMs, jitter: random.next(),
		}, quotes, waits);
		if (decision.type === 'refused') {
			this.recordRefusal(request, decision);
			return {isAdmitted: false, retryAfterMs: decision.retryAfterMs};
		}

		const quotedStartMs = nowMs + decision.startMs;
		if (decision.type === 'inTime') {
			return {isAdmitted: true, scheduling: {...this.schedulingOf(request), quotedStartMs}};
		}

		this.options.quotes.admittedLate(request.requestId, [...quotes.keys()]);
		metrics.increment('requests.admittedLate', 1, {route: route.name});
		const latePredictedMs = nowMs - receivedMs + decision.latePredictedMs;
		return {isAdmitted: true, scheduling: {...this.schedulingOf(request), quotedStartMs, latePredictedMs}};
	}

	private schedulingOf({index, workspace}: StepRequest): RequestScheduling {
		return {workspace: workspace?.name ?? '', pools: this.scheduledPools.of(index)};
	}

	private recordRefusal(request: StepRequest, {reason, pool, predictedMs, latePredictedMs, retryAfterMs}: Extract<ChainDecision, {type: 'refused'}>): void {
		const {route, workspace, callerRequest, sinceFirstTryMs} = request;
		this.options.log.info(requestLogMessages.refusedByQuotes, {
			request: callerRequest.requestId,
			route: route.name,
			workspace: workspace?.name ?? '',
			rank: rankOf(request),
			reason,
			pool,
			predictedMs: Math.round(predictedMs),
			latePredictedMs: latePredictedMs === undefined ? undefined : Math.round(latePredictedMs),
			targetMs: route.targetMs,
			retryAfterMs: Math.round(retryAfterMs),
			sinceFirstTryMs: Math.round(sinceFirstTryMs),
		});
		this.options.metrics.increment('requests.refusedAtDoor', 1, {route: route.name, reason});
	}
}

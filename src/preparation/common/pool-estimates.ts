/** Estimates from the queue and the upstreams of a pool how fast it works and how long work waits. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchCall} from './batch-call.js';
import {HoldTime} from './hold-time.js';
import type {PieceQueue, QueueRates} from './piece-queue.js';
import type {PoolUpstreams} from './pool-upstreams.js';
import {queueLoadOf, type LoadFactors} from './queue-load.js';
import type {PoolState, QueueLoad} from './quotes.js';
import type {EndedResult} from './result-space.js';
import type {PolicySwitch} from './scheduling-policy.js';
import {Throughput} from './throughput.js';
import {pieceFailures, type PieceOutcome} from './work.js';

/** Wait reported if no upstream is healthy or all are in backoff: roughly the time until one is available again. */
const noUpstreamWaitMs = 2000;
/** With all upstreams busy and an empty queue, the first one is free after this share of a call, divided by their number. */
const firstFreeShare = 0.5;

/**
Time for which the sums of an unchanged queue are used: pieces become late and learned durations change meanwhile, by little. In a
burst there are a thousand asks a second and thousands of pieces.
*/
const loadLifetimeMs = 10;

/** Parts of a scheduler that the estimates depend on. */
export type EstimateSources = {readonly queue: PieceQueue; readonly upstreams: PoolUpstreams; readonly policies: PolicySwitch};

/** Load of the queue as last summed, with what it was summed from. */
type SummedLoad = {readonly revision: number; readonly capacity: BatchCapacity; readonly atMs: number; readonly queue: readonly QueueLoad[]};

/** Estimates of one pool. */
export class PoolEstimates {
	static create(sources: EstimateSources): PoolEstimates {
		return new PoolEstimates(sources);
	}

	private readonly throughput = Throughput.create();
	private readonly holdTime = HoldTime.create();
	private summedLoad: SummedLoad | undefined;

	private constructor(private readonly sources: EstimateSources) {
		// The unit of the measured throughput depends on the policy.
		sources.policies.onDidChange(nowMs => {
			this.throughput.startQueue(nowMs);
		});
	}

	/** Starts a new measurement of the throughput when work is queued after a time without a queue. */
	startQueue(nowMs: number): void {
		this.throughput.startQueue(nowMs);
	}

	/**
	Learns from the response to a call.
	@param call - the call.
	@param outcomes - one for each piece, in order.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	completeCall(call: BatchCall, outcomes: readonly PieceOutcome[], capacity: BatchCapacity, nowMs: number): void {
		const {times} = this.sources.policies.at(nowMs);
		const done = call.pieces.filter((_, index) => outcomes[index].ok);
		const amount = call.amount === undefined
			? done.reduce((sum, item) => sum + times.amountOf(item, capacity), 0)
			: call.amount * done.length / call.pieces.length;
		this.throughput.record(amount, nowMs);
		// Pieces that found no space took no time; how long others that failed took is unknown. An overdue call was silent for part of its time.
		if (nowMs < call.deadlineMs && done.length > 0 && outcomes.every(outcome => outcome.ok || outcome.reason === pieceFailures.noRoom)) {
			times.record(done, nowMs - call.sentMs, call.slowness ?? 1, capacity);
		}
	}

	/** Learns from results that were released. */
	resultsReleased(results: readonly EndedResult[]): void {
		for (const {bytes, heldMs} of results) {
			this.holdTime.record(heldMs, bytes);
		}
	}

	/**
	Returns the rates by which steps end that can't be served.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	@returns the rates; undefined if no upstream is healthy.
	*/
	queueRates(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): QueueRates | undefined {
		const {upstreams, policies} = this.sources;
		const {times} = policies.at(nowMs);
		const count = upstreams.effectiveCount(upstreams.healthyOf(servers, nowMs), capacity, nowMs);
		if (count === 0) {
			return undefined;
		}

		const fullPerMs = times.amountPerMs(count, capacity);
		return {
			amountOf: item => times.amountOf(item, capacity),
			latePerMs: this.throughput.optimisticAmountPerMs(fullPerMs, times.typicalAmount(capacity), nowMs),
			fullPerMs,
		};
	}

	/**
	Estimates how long work added now would wait for its turn.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param rank - rank of the work.
	@param nowMs - the current time.
	@returns the wait in milliseconds; 0 if an upstream is free and nothing that goes first is queued.
	*/
	waitMs(servers: readonly UpstreamServer[], capacity: BatchCapacity, rank: number, nowMs: number): number {
		const {upstreams, queue, policies} = this.sources;
		const healthy = upstreams.healthyOf(servers, nowMs);
		const count = upstreams.effectiveCount(healthy, capacity, nowMs);
		if (count === 0) {
			return noUpstreamWaitMs;
		}

		const policy = policies.at(nowMs);
		const {times} = policy;
		const order = policy.orderOf(capacity);
		let ahead = 0;
		for (const item of queue.items) {
			ahead += order.goesBefore(item, rank, nowMs) ? times.amountOf(item, capacity) : 0;
		}

		if (ahead === 0 && healthy.some(server => upstreams.of(server).call === undefined && upstreams.isAllowed(server, nowMs))) {
			return 0;
		}

		const perMs = this.throughput.amountPerMs(times.amountPerMs(count, capacity), times.typicalAmount(capacity), nowMs);
		return (ahead / perMs) + ((firstFreeShare * times.fullCallMs(capacity)) / count);
	}

	/**
	Returns the state that quotes depend on, in upstream time.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	poolState(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): PoolState {
		const {upstreams, policies} = this.sources;
		const {times} = policies.scheduled;
		const healthy = upstreams.healthyOf(servers, nowMs);
		const meanHoldMs = this.holdTime.meanMs(times.fullCallMs(capacity));
		return {
			upstreamCount: upstreams.effectiveCount(healthy, capacity, nowMs),
			capacity,
			queue: this.queueLoad({times, capacity, meanHoldMs}, nowMs),
			hasFree: healthy.some(server => upstreams.hasCapacity(server, capacity.roomBytes, nowMs)),
			meanHoldMs,
		};
	}

	/** Sums the queue, unless it has not changed in the meantime. */
	private queueLoad(factors: LoadFactors, nowMs: number): readonly QueueLoad[] {
		const {items, revision} = this.sources.queue;
		const {capacity} = factors;
		const last = this.summedLoad;
		if (last?.revision === revision && last.capacity === capacity && nowMs - last.atMs < loadLifetimeMs) {
			return last.queue;
		}

		const queue = queueLoadOf(items, factors, nowMs);
		this.summedLoad = {
			revision, capacity, atMs: nowMs, queue,
		};
		return queue;
	}
}

/**
Schedules the batches of one pool: pieces of all requests wait in one queue, and each upstream that becomes free takes
the most urgent ones. Takes events and the time as input and returns the calls to make; does no I/O.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {cautions} from '../../quarantine/common/quarantine.js';
import type {
	BatchCall, BatchPiece, CallFailure, PieceEnd,
} from './batch-call.js';
import {fillCall} from './call-filling.js';
import {rankPenaltyMs} from './piece-order.js';
import {PieceQueue, type CautionSource} from './piece-queue.js';
import {PoolUpstreams, type AllowanceSource} from './pool-upstreams.js';
import {readRoom} from './room-reading.js';
import {fullCallMs, Throughput} from './throughput.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome,
} from './work.js';

/** Wait reported if no upstream is healthy or all are in backoff: roughly the time until one is available again. */
const noServerMs = 2000;
/** Time until a typical piece is due; determines the queue position of work whose wait is only estimated. */
const usualDueMs = 500;
/** With all upstreams busy and an empty queue, the first one is free after this share of a call, divided by their number. */
const turnShare = 0.5;
/** Attempts at one piece before it fails. */
const mostTries = 4;
/** A call times out after this multiple of the typical duration of the pool's calls, plus a margin for the network. */
const giveUpFactor = 6;
const giveUpMarginMs = 500;

/** State of a pool: queued pieces, calls in progress, the longest wait, and the space used by results. */
export type BatchStanding = {readonly waiting: number; readonly calls: number; readonly oldestMs: number; readonly keptBytes: number};

/**
State of a pool at the time of a call: data halls with upstreams that accept work, and the typical slowness of these
upstreams.
*/
type PoolNow = {readonly halls: ReadonlySet<string>; readonly usual: number};

/** Queue and calls in progress of one pool. */
export class BatchMachine {
	static create(cautionOf: CautionSource = () => cautions.none, allowanceOf: AllowanceSource = () => ({left: Infinity, perS: Infinity})): BatchMachine {
		return new BatchMachine(cautionOf, allowanceOf);
	}

	private readonly waiting: PieceQueue;
	private readonly upstreams: PoolUpstreams;
	private readonly throughput = Throughput.create();
	private lastCallId = 0;

	private constructor(cautionOf: CautionSource, allowanceOf: AllowanceSource) {
		this.waiting = PieceQueue.create(cautionOf);
		this.upstreams = PoolUpstreams.create(allowanceOf);
	}

	/** Number of pieces that wait for an upstream. */
	get waitingCount(): number {
		return this.waiting.size;
	}

	/** Number of calls in progress. */
	get callCount(): number {
		return this.upstreams.callCount;
	}

	add(work: BatchWork, nowMs: number): void {
		if (this.waiting.size === 0) {
			this.throughput.queueBegan(nowMs);
		}

		for (const piece of work.pieces) {
			this.waiting.add({
				work, piece, readyMs: nowMs, tries: 0,
			});
		}
	}

	/**
	Drops the queued pieces of a request that has ended. Calls in progress continue.
	@param workId - ID of the work.
	*/
	cancel(workId: string): void {
		this.waiting.removeWork(workId);
	}

	/**
	Removes everything queued, as when another host takes over batching for the pool.
	@returns the pieces, none of which has been started.
	*/
	takeWaiting(): PieceEnd[] {
		return this.waiting.takeAll(pieceFailures.moved);
	}

	/**
	Fails everything queued, as when no upstream accepts work for some time.
	@returns the pieces, none of which has been started.
	*/
	giveUpWaiting(): PieceEnd[] {
		return this.waiting.takeAll(pieceFailures.noUpstream);
	}

	/**
	Fails late work that could not be done before its callers leave, given what is ahead of it in the queue.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	@returns the failed pieces; other pieces of the same steps may be in progress.
	*/
	giveUpLate(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): PieceEnd[] {
		const count = this.upstreams.countAtWork(this.upstreams.soundOf(servers, nowMs), capacity, nowMs);
		return count === 0 ? [] : this.waiting.takeHopeless(this.throughput.hopedPerMs(count, capacity, nowMs), nowMs);
	}

	/**
	Takes pieces off the queue for the calls to make now.
	@param servers - upstreams of the pool that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	nextCalls(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): BatchCall[] {
		const calls: BatchCall[] = [];
		if (this.waiting.size === 0) {
			return calls;
		}

		this.waiting.sort(nowMs);
		const open = servers.filter(server => this.upstreams.isOpen(server, nowMs));
		const free = open.filter(server => this.upstreams.of(server).isFree(nowMs))
			.toSorted((left, right) => this.upstreams.of(left).slownessAt(nowMs) - this.upstreams.of(right).slownessAt(nowMs));
		const sound = new Set(this.upstreams.soundOf(open, nowMs));
		const usual = this.upstreams.usualSlowness(open, nowMs);
		const halls = new Set(open.filter(server => !this.upstreams.of(server).isAvoided(nowMs)).map(server => server.hall));
		for (const server of free) {
			if (!sound.has(server) && this.waiting.size <= sound.size * capacity.batchSize) {
				continue;
			}

			const call = this.callTo(server, capacity, {halls, usual}, nowMs);
			if (call) {
				calls.push(call);
			}
		}

		return calls;
	}

	/**
	Handles the response to a call.
	@param call - the call.
	@param outcomes - one for each piece, in order.
	@param capacity - capacity of the pool's upstreams.
	@param nowMs - the current time.
	@returns the pieces that are finished; the others are queued again.
	*/
	answered(call: BatchCall, outcomes: readonly PieceOutcome[], capacity: BatchCapacity, nowMs: number): PieceEnd[] {
		const state = this.upstreams.of(call.server);
		state.answered(call, nowMs);
		this.throughput.count(outcomes.filter(outcome => outcome.ok).length, nowMs);
		state.room.learn(readRoom(call, outcomes), capacity, nowMs);
		const ends: PieceEnd[] = [];
		for (const [index, item] of call.pieces.entries()) {
			const {work, piece, tries} = item;
			const outcome = outcomes[index];
			if (outcome.ok) {
				state.room.keep(outcome.ref.handle, work.resultBytes, nowMs + capacity.resultTtlMs);
			}

			const hadNoRoom = !outcome.ok && outcome.reason === pieceFailures.noRoom;
			const mayRetry = hadNoRoom || (!outcome.ok && outcome.reason === pieceFailures.failed);
			if (mayRetry && tries < mostTries) {
				// An attempt that found no space cost only a round trip, so it does not count.
				this.waiting.add(hadNoRoom ? {...item, tries: tries - 1} : item);
			} else {
				ends.push({work, piece, outcome});
			}
		}

		return ends;
	}

	/**
	Handles a call that failed as a whole.
	@param call - the call.
	@param reason - why it failed.
	@param nowMs - the current time.
	@returns the pieces that have failed for good; the others are queued again.
	*/
	failed(call: BatchCall, reason: CallFailure, nowMs: number): PieceEnd[] {
		this.upstreams.of(call.server).failed(call, nowMs);
		const ends: PieceEnd[] = [];
		for (const item of call.pieces) {
			// A refused call cost the upstream nothing, so it does not count.
			const tries = item.tries - (reason === 'refused' ? 1 : 0);
			if (tries >= mostTries || nowMs >= item.work.deadlineMs) {
				ends.push({work: item.work, piece: item.piece, outcome: {ok: false, reason: pieceFailures.failed}});
			} else {
				this.waiting.add({...item, tries});
			}
		}

		return ends;
	}

	/**
	Frees the space of results that are no longer needed or are lost.
	@param serverId - the upstream that stores them.
	@param handles - handles of the results.
	*/
	released(serverId: string, handles: readonly string[]): void {
		this.upstreams.released(serverId, handles);
	}

	/**
	Removes queued pieces that are past their deadline or barred, and the state of servers that are gone.
	@param isKnown - whether a server is still listed.
	@param nowMs - the current time.
	@returns the pieces that have failed.
	*/
	sweep(isKnown: (serverId: string) => boolean, nowMs: number): PieceEnd[] {
		this.upstreams.sweep(isKnown);
		return this.waiting.sweep(nowMs);
	}

	/**
	Returns the space used by results at an upstream, in bytes, as far as this host knows.
	@param serverId - the upstream.
	@param nowMs - the current time.
	*/
	keptAt(serverId: string, nowMs: number): number {
		return this.upstreams.keptAt(serverId, nowMs);
	}

	/**
	Returns the state of the pool for logs.
	@param nowMs - the current time.
	*/
	describe(nowMs: number): BatchStanding {
		return {
			waiting: this.waiting.size, calls: this.callCount, oldestMs: Math.round(this.waiting.oldestMs(nowMs)), keptBytes: this.upstreams.keptBytes(nowMs),
		};
	}

	/**
	Estimates how long work added now would wait for its turn.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param rank - rank of the work.
	@param nowMs - the current time.
	@returns the wait in milliseconds; 0 while an upstream is free.
	*/
	waitMs(servers: readonly UpstreamServer[], capacity: BatchCapacity, rank: number, nowMs: number): number {
		const sound = this.upstreams.soundOf(servers, nowMs);
		const count = this.upstreams.countAtWork(sound, capacity, nowMs);
		if (count === 0) {
			return noServerMs;
		}

		const free = sound.filter(server => this.upstreams.of(server).call === undefined && this.upstreams.isOpen(server, nowMs)).length;
		const ownKey = nowMs + usualDueMs + (rank * rankPenaltyMs);
		const ahead = this.waiting.countAhead(ownKey, nowMs);
		if (free > 0 && ahead === 0) {
			return 0;
		}

		return (ahead / this.throughput.donePerMs(count, capacity, nowMs)) + ((turnShare * fullCallMs(capacity)) / count);
	}

	/**
	Returns the typical ratio of actual to declared duration of the pool's calls.
	@param servers - upstreams that accept work.
	@param nowMs - the current time.
	*/
	usualSlowness(servers: readonly UpstreamServer[], nowMs: number): number {
		return this.upstreams.usualSlowness(servers, nowMs);
	}

	private callTo(server: UpstreamServer, capacity: BatchCapacity, {halls, usual}: PoolNow, nowMs: number): BatchCall | undefined {
		const pieces = this.take(server, capacity, halls, nowMs);
		if (pieces.length === 0) {
			return undefined;
		}

		const expectedMs = capacity.callMs + (pieces.length * capacity.itemMs);
		this.lastCallId++;
		const call: BatchCall = {
			callId: this.lastCallId, server, pieces, sentMs: nowMs, expectedMs, limitMs: nowMs + (giveUpFactor * expectedMs * Math.max(1, usual)) + giveUpMarginMs,
		};
		this.upstreams.of(server).call = call;
		return call;
	}

	/** Takes the most urgent pieces for one call off the queue. */
	private take(server: UpstreamServer, {batchSize, roomBytes}: BatchCapacity, halls: ReadonlySet<string>, nowMs: number): BatchPiece[] {
		const leftBytes = this.upstreams.of(server).room.leftBytes(roomBytes, nowMs);
		const taken = fillCall(this.waiting.sendable(), {
			batchSize, leftBytes, hall: server.hall, halls,
		}, nowMs);
		this.waiting.remove(taken);
		return [...taken].map(item => ({...item, tries: item.tries + 1}));
	}
}

/**
The batches of one pool: pieces of all requests wait in one queue, and each upstream that becomes free
takes the most urgent ones. Events and time in, calls out; no I/O.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {pieceHandlings} from '../../quarantine/common/quarantine.js';
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

/** Wait told where no upstream is sound, or all rest: until one is back, about. */
const noServerMs = 2000;
/** Time to the due time of a usual piece; it places work that is only thought of in the queue. */
const usualDueMs = 500;
/** With all upstreams at work and nobody waiting, the first is free after this part of a call, divided by their number. */
const turnShare = 0.5;
/** Tries of one piece before it is given up. */
const mostTries = 4;
/** A call is given up after this many times what calls of its pool take, and a margin for the network. */
const giveUpFactor = 6;
const giveUpMarginMs = 500;

/** How a pool stands: pieces that wait, calls at work, the longest wait, and the room that results take. */
export type BatchStanding = {readonly waiting: number; readonly calls: number; readonly oldestMs: number; readonly keptBytes: number};

/** How a pool stands as a call is made: halls with upstreams that may get work, and how slow these usually are. */
type PoolNow = {readonly halls: ReadonlySet<string>; readonly usual: number};

/** Holds the waiting pieces and the calls of one pool. */
export class BatchMachine {
	static create(cautionOf: CautionSource = () => pieceHandlings.none, allowanceOf: AllowanceSource = () => ({left: Infinity, perS: Infinity})): BatchMachine {
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

	/** Pieces that wait for an upstream. */
	get waitingCount(): number {
		return this.waiting.size;
	}

	/** Calls at work. */
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
	A request has ended: what of it waits is dropped; what is at work goes on.
	@param workId - its work.
	*/
	cancel(workId: string): void {
		this.waiting.removeWork(workId);
	}

	/**
	Gives away everything that waits, as when another host batches the pool from now on.
	@returns the pieces, none of which has been begun.
	*/
	takeWaiting(): PieceEnd[] {
		return this.waiting.takeAll(pieceFailures.moved);
	}

	/**
	Gives everything up that waits, as when no upstream gets work for a while.
	@returns the pieces, none of which has been begun.
	*/
	giveUpWaiting(): PieceEnd[] {
		return this.waiting.takeAll(pieceFailures.noUpstream);
	}

	/**
	Gives up what is late and could not be done before its callers leave, with what waits before it.
	@param servers - upstreams that may get work.
	@param capacity - of each.
	@param nowMs - the time.
	@returns the pieces; other pieces of the same steps may be at work.
	*/
	giveUpLate(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): PieceEnd[] {
		const count = this.upstreams.countAtWork(this.upstreams.soundOf(servers, nowMs), capacity, nowMs);
		return count === 0 ? [] : this.waiting.takeHopeless(this.throughput.hopedPerMs(count, capacity, nowMs), nowMs);
	}

	/**
	Gives the calls to make now.
	@param servers - upstreams of the pool that may get work.
	@param capacity - what each can do.
	@param nowMs - the time.
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
	A call was answered.
	@param call - the call.
	@param outcomes - one for each piece, in order.
	@param capacity - of the pool.
	@param nowMs - the time.
	@returns pieces that have ended; others wait again.
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
				// Finding no room has cost nothing but the way.
				this.waiting.add(hadNoRoom ? {...item, tries: tries - 1} : item);
			} else {
				ends.push({work, piece, outcome});
			}
		}

		return ends;
	}

	/**
	A call gave nothing.
	@param call - the call.
	@param reason - why.
	@param nowMs - the time.
	@returns pieces that are given up; others wait again.
	*/
	failed(call: BatchCall, reason: CallFailure, nowMs: number): PieceEnd[] {
		this.upstreams.of(call.server).failed(call, nowMs);
		const ends: PieceEnd[] = [];
		for (const item of call.pieces) {
			// A call that was refused has cost nothing.
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
	Results are no longer needed, or are lost.
	@param serverId - where they are.
	@param handles - their names.
	*/
	released(serverId: string, handles: readonly string[]): void {
		this.upstreams.released(serverId, handles);
	}

	/**
	Drops what waits past its deadline or is barred, and what is known of servers that are gone.
	@param isKnown - tells whether a server is still listed.
	@param nowMs - the time.
	@returns the pieces that are given up.
	*/
	sweep(isKnown: (serverId: string) => boolean, nowMs: number): PieceEnd[] {
		this.upstreams.sweep(isKnown);
		return this.waiting.sweep(nowMs);
	}

	/**
	Tells how much room of an upstream is taken, as far as is known here.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	keptAt(serverId: string, nowMs: number): number {
		return this.upstreams.keptAt(serverId, nowMs);
	}

	/**
	Tells how the pool stands, for logs.
	@param nowMs - the time.
	*/
	describe(nowMs: number): BatchStanding {
		return {
			waiting: this.waiting.size, calls: this.callCount, oldestMs: Math.round(this.waiting.oldestMs(nowMs)), keptBytes: this.upstreams.keptBytes(nowMs),
		};
	}

	/**
	Estimates how long work added now would wait for its turn.
	@param servers - upstreams that may get work.
	@param capacity - of each.
	@param rank - of the work.
	@param nowMs - the time.
	@returns 0 while an upstream is free.
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
	Tells how many times longer than declared the calls of the pool usually take.
	@param servers - upstreams that may get work.
	@param nowMs - the time.
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

	/** Takes the most urgent pieces for one call out of the queue. */
	private take(server: UpstreamServer, {batchSize, roomBytes}: BatchCapacity, halls: ReadonlySet<string>, nowMs: number): BatchPiece[] {
		const leftBytes = this.upstreams.of(server).room.leftBytes(roomBytes, nowMs);
		const taken = fillCall(this.waiting.sendable(), {
			batchSize, leftBytes, hall: server.hall, halls,
		}, nowMs);
		this.waiting.remove(taken);
		return [...taken].map(item => ({...item, tries: item.tries + 1}));
	}
}

/**
The batches of one pool: pieces of all requests wait in one queue, and each upstream that becomes free
takes the most urgent ones. Events and time in, calls out; no I/O.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {crossingCostMs} from '../../routing/common/hall-cost.js';
import {Throughput} from './throughput.js';
import {pieceFailures, type BatchWork, type PieceOutcome} from './work.js';

/**
How much later each step of rank counts: a request of the better rank goes first unless it has this much more
time. While the door let in what would be late, 200 and more pushed the least urgent kind below a third of its worth
on the fullest day; now that it does not, 250 serves all kinds better there.
*/
const rankPenaltyMs = 250;
/** About as long as a full call takes, after which each upstream has been free once. */
const longestPatienceMs = 300;
/** Wait told where no upstream is sound: until one is back, about. */
const noServerMs = 2000;
/** Time to the due time of a usual piece; it places work that is only thought of in the queue. */
const usualDueMs = 500;
/** With all upstreams at work and nobody waiting, the first is free after this part of a call, divided by their number. */
const turnShare = 0.5;
/** Tries of one piece before it is given up. */
const mostTries = 4;
/** An upstream that is slower than this against its declared times gets work only when the others can't take all. */
const slowFactor = 1.7;
/** How quickly an upstream's measured slowness follows its calls. */
const slownessWeight = 0.6;
/** After this long without a call a slow upstream is believed to be half as slow: it may have recovered. */
const slownessHalfLifeMs = 2500;
/** First while without work after a call failed. */
const avoidMs = 250;
const longestAvoidMs = 2000;
/** Share of an upstream's room for results that is used: its own count may be ahead of ours. */
const usedRoomShare = 0.95;
/** Part of the room taken by something unknown that is believed to be there still after a call that found enough. */
const unknownRoomKept = 0.5;
/** After this long, about a call, an upstream without room is tried again with one result of the size it refused. */
const roomTryMs = 250;
/** Stands for results that other hosts, or this one before a restart, had made. */
const unknownResults = '';
/** Stands for the room of one refused result until it is tried again. */
const refusedResult = ' ';
/** A call is given up after this many times its expected time, and a margin for the network. */
const giveUpFactor = 6;
const giveUpMarginMs = 500;

/** One piece on its way. */
export type BatchPiece = {readonly work: BatchWork; readonly piece: number; readonly readyMs: number; tries: number};

/** A call to one upstream. */
export type BatchCall = {
	readonly callId: number;
	readonly server: UpstreamServer;
	readonly pieces: readonly BatchPiece[];
	readonly sentMs: number;
	readonly expectedMs: number;
	/** When the call is given up. */
	readonly limitMs: number;
};

/** The end of a piece, for whoever asked for it. */
export type PieceEnd = {readonly work: BatchWork; readonly piece: number; readonly outcome: PieceOutcome};

/** How a pool stands: pieces that wait, calls at work, the longest wait, and the room that results take. */
export type BatchStanding = {readonly waiting: number; readonly calls: number; readonly oldestMs: number; readonly keptBytes: number};

/** How a call ended as a whole. */
export type CallFailure = 'refused' | 'unreachable' | 'broken' | 'replaced';

type Kept = {readonly bytes: number; readonly untilMs: number};
type ServerState = {
	call: BatchCall | undefined;
	slowness: number;
	measuredMs: number;
	avoidedUntilMs: number;
	failures: number;
	readonly kept: Map<string, Kept>;
};

/** Holds the waiting pieces and the calls of one pool. */
export class BatchMachine {
	static create(): BatchMachine {
		return new BatchMachine();
	}

	private waiting: BatchPiece[] = [];
	private readonly states = new Map<string, ServerState>();
	private readonly throughput = Throughput.create();
	private lastCallId = 0;

	/** Pieces that wait for an upstream. */
	get waitingCount(): number {
		return this.waiting.length;
	}

	/** Calls at work. */
	get callCount(): number {
		return [...this.states.values()].filter(state => state.call).length;
	}

	add(work: BatchWork, nowMs: number): void {
		if (this.waiting.length === 0) {
			this.throughput.queueBegan(nowMs);
		}

		for (const piece of work.pieces) {
			this.waiting.push({
				work, piece, readyMs: nowMs, tries: 0,
			});
		}
	}

	/**
	A request has ended: what of it waits is dropped; what is at work goes on.
	@param workId - its work.
	*/
	cancel(workId: string): void {
		this.waiting = this.waiting.filter(({work}) => work.workId !== workId);
	}

	/**
	Gives away everything that waits, as when another host batches the pool from now on.
	@returns the pieces, none of which has been begun.
	*/
	takeWaiting(): PieceEnd[] {
		const moved = this.waiting.map(({work, piece}): PieceEnd => ({work, piece, outcome: {ok: false, reason: pieceFailures.moved}}));
		this.waiting = [];
		return moved;
	}

	/**
	Gives the calls to make now.
	@param servers - upstreams of the pool that may get work.
	@param capacity - what each can do.
	@param nowMs - the time.
	*/
	nextCalls(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): BatchCall[] {
		const calls: BatchCall[] = [];
		if (this.waiting.length === 0) {
			return calls;
		}

		this.waiting.sort((left, right) => urgencyOf(left, nowMs) - urgencyOf(right, nowMs));
		const free = servers.filter(server => this.isFree(server, nowMs))
			.toSorted((left, right) => this.slownessOf(left, nowMs) - this.slownessOf(right, nowMs));
		const soundCount = servers.filter(server => this.slownessOf(server, nowMs) <= slowFactor && !this.isAvoided(server, nowMs)).length;
		const halls = new Set(servers.filter(server => !this.isAvoided(server, nowMs)).map(server => server.hall));
		for (const server of free) {
			const isSlow = this.slownessOf(server, nowMs) > slowFactor;
			if (isSlow && this.waiting.length <= soundCount * capacity.batchSize) {
				continue;
			}

			const call = this.callTo(server, capacity, halls, nowMs);
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
		const state = this.stateOf(call.server);
		this.endCall(state, call);
		this.throughput.count(outcomes.filter(outcome => outcome.ok).length, nowMs);
		state.failures = 0;
		state.avoidedUntilMs = -Infinity;
		const ratio = (nowMs - call.sentMs) / call.expectedMs;
		state.slowness = (this.slownessOf(call.server, nowMs) * (1 - slownessWeight)) + (ratio * slownessWeight);
		state.measuredMs = nowMs;
		this.learnRoom(call, outcomes, capacity, nowMs);
		const ends: PieceEnd[] = [];
		for (const [index, item] of call.pieces.entries()) {
			const {work, piece, tries} = item;
			const outcome = outcomes[index];
			if (outcome.ok) {
				state.kept.set(outcome.ref.handle, {bytes: work.resultBytes, untilMs: nowMs + capacity.resultTtlMs});
			}

			const hadNoRoom = !outcome.ok && outcome.reason === pieceFailures.noRoom;
			const mayRetry = hadNoRoom || (!outcome.ok && outcome.reason === pieceFailures.failed);
			if (mayRetry && tries < mostTries) {
				// Finding no room has cost nothing but the way.
				this.waiting.push(hadNoRoom ? {...item, tries: tries - 1} : item);
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
		const state = this.stateOf(call.server);
		this.endCall(state, call);
		state.avoidedUntilMs = nowMs + Math.min(longestAvoidMs, avoidMs * (2 ** state.failures));
		state.failures++;
		const ends: PieceEnd[] = [];
		for (const item of call.pieces) {
			// A call that was refused has cost nothing.
			const tries = item.tries - (reason === 'refused' ? 1 : 0);
			if (tries >= mostTries || nowMs >= item.work.deadlineMs) {
				ends.push({work: item.work, piece: item.piece, outcome: {ok: false, reason: pieceFailures.failed}});
			} else {
				this.waiting.push({...item, tries});
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
		const state = this.states.get(serverId);
		for (const handle of handles) {
			state?.kept.delete(handle);
		}
	}

	/**
	Drops what waits past its deadline, and what is known of servers that are gone.
	@param isKnown - tells whether a server is still listed.
	@param nowMs - the time.
	@returns the pieces that are given up.
	*/
	sweep(isKnown: (serverId: string) => boolean, nowMs: number): PieceEnd[] {
		const over = this.waiting.filter(({work}) => nowMs >= work.deadlineMs);
		if (over.length > 0) {
			this.waiting = this.waiting.filter(({work}) => nowMs < work.deadlineMs);
		}

		for (const [serverId, state] of this.states) {
			if (!state.call && !isKnown(serverId)) {
				this.states.delete(serverId);
			}
		}

		return over.map(({work, piece}) => ({work, piece, outcome: {ok: false, reason: pieceFailures.late}}));
	}

	/**
	Tells how much room of an upstream is taken, as far as is known here.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	keptAt(serverId: string, nowMs: number): number {
		const state = this.states.get(serverId);
		return state ? sumOfKept(state, nowMs) : 0;
	}

	/**
	Tells how the pool stands, for logs.
	@param nowMs - the time.
	*/
	describe(nowMs: number): BatchStanding {
		let keptBytes = 0;
		for (const state of this.states.values()) {
			keptBytes += sumOfKept(state, nowMs);
		}

		let oldestMs = 0;
		for (const {readyMs} of this.waiting) {
			oldestMs = Math.max(oldestMs, nowMs - readyMs);
		}

		return {
			waiting: this.waiting.length, calls: this.callCount, oldestMs: Math.round(oldestMs), keptBytes,
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
		const sound = servers.filter(server => !this.isAvoided(server, nowMs) && this.slownessOf(server, nowMs) <= slowFactor);
		if (sound.length === 0) {
			return noServerMs;
		}

		const free = sound.filter(server => this.stateOf(server).call === undefined).length;
		const ownKey = nowMs + usualDueMs + (rank * rankPenaltyMs);
		const ahead = this.waiting.filter(item => urgencyOf(item, nowMs) <= ownKey).length;
		if (free > 0 && ahead === 0) {
			return 0;
		}

		const fullCallMs = capacity.callMs + (capacity.batchSize * capacity.itemMs);
		const bestPerMs = (sound.length * capacity.batchSize) / fullCallMs;
		const perMs = Math.min(bestPerMs, this.throughput.perMs(nowMs) ?? bestPerMs);
		return (ahead / perMs) + ((turnShare * fullCallMs) / sound.length);
	}

	/**
	An upstream without room keeps results that this host knows nothing of, as those from before a restart: they
	count until they must have been dropped. After a while one result of the refused size is tried.
	*/
	private learnRoom(call: BatchCall, outcomes: readonly PieceOutcome[], capacity: BatchCapacity, nowMs: number): void {
		const state = this.stateOf(call.server);
		let newBytes = 0;
		let triedBytes = Infinity;
		for (const [index, {work}] of call.pieces.entries()) {
			const outcome = outcomes[index];
			if (outcome.ok) {
				newBytes += work.resultBytes;
			} else if (outcome.reason === pieceFailures.noRoom) {
				triedBytes = Math.min(triedBytes, work.resultBytes);
			}
		}

		const unknown = state.kept.get(unknownResults);
		if (triedBytes < Infinity) {
			state.kept.delete(unknownResults);
			state.kept.delete(refusedResult);
			const knownBytes = sumOfKept(state, nowMs);
			const unknownBytes = (capacity.roomBytes * usedRoomShare) - knownBytes - newBytes - triedBytes;
			state.kept.set(unknownResults, {bytes: Math.max(0, unknownBytes), untilMs: nowMs + capacity.resultTtlMs});
			state.kept.set(refusedResult, {bytes: triedBytes, untilMs: nowMs + roomTryMs});
		} else if (unknown && newBytes > 0) {
			state.kept.set(unknownResults, {bytes: unknown.bytes * unknownRoomKept, untilMs: unknown.untilMs});
		}
	}

	private callTo(server: UpstreamServer, capacity: BatchCapacity, halls: ReadonlySet<string>, nowMs: number): BatchCall | undefined {
		const pieces = this.take(server, capacity, halls, nowMs);
		if (pieces.length === 0) {
			return undefined;
		}

		const expectedMs = capacity.callMs + (pieces.length * capacity.itemMs);
		this.lastCallId++;
		const call: BatchCall = {
			callId: this.lastCallId, server, pieces, sentMs: nowMs, expectedMs, limitMs: nowMs + (giveUpFactor * expectedMs) + giveUpMarginMs,
		};
		this.stateOf(server).call = call;
		return call;
	}

	/** The most urgent pieces that fit into one call and into the upstream's room. */
	private take(server: UpstreamServer, capacity: BatchCapacity, halls: ReadonlySet<string>, nowMs: number): BatchPiece[] {
		let roomBytes = (capacity.roomBytes * usedRoomShare) - this.keptBytes(server, nowMs);
		const taken = new Set<BatchPiece>();
		const isElsewhere = ({hall}: BatchWork) => hall !== server.hall && halls.has(hall);
		const keyOf = ([item]: readonly BatchPiece[]) => urgencyOf(item, nowMs) + (isElsewhere(item.work) ? crossingMsOf(item.work) : 0);
		for (const items of groupByWork(this.waiting).toSorted((left, right) => keyOf(left) - keyOf(right))) {
			const [{work}] = items;
			const mayGo = !isElsewhere(work) || items.every(item => !isPatient(item, nowMs));
			const fitting = Math.min(items.length, capacity.batchSize - taken.size, Math.floor(roomBytes / Math.max(1, work.resultBytes)));
			// A step that is worked on in parts keeps room for results that nobody can read yet.
			if (mayGo && fitting > 0 && (fitting === items.length || taken.size === 0)) {
				roomBytes -= fitting * work.resultBytes;
				for (const item of items.slice(0, fitting)) {
					taken.add(item);
				}
			}
		}

		this.waiting = this.waiting.filter(item => !taken.has(item));
		return [...taken].map(item => ({...item, tries: item.tries + 1}));
	}

	private keptBytes(server: UpstreamServer, nowMs: number): number {
		return sumOfKept(this.stateOf(server), nowMs);
	}

	private isFree(server: UpstreamServer, nowMs: number): boolean {
		return this.stateOf(server).call === undefined && !this.isAvoided(server, nowMs);
	}

	private isAvoided(server: UpstreamServer, nowMs: number): boolean {
		return nowMs < this.stateOf(server).avoidedUntilMs;
	}

	/** 1 is as declared; a measured slowness fades while nothing is measured. */
	private slownessOf(server: UpstreamServer, nowMs: number): number {
		const {slowness, measuredMs} = this.stateOf(server);
		return 1 + ((slowness - 1) * (2 ** (-(nowMs - measuredMs) / slownessHalfLifeMs)));
	}

	private endCall(state: ServerState, call: BatchCall): void {
		if (state.call === call) {
			state.call = undefined;
		}
	}

	private stateOf({serverId}: UpstreamServer): ServerState {
		let state = this.states.get(serverId);
		if (!state) {
			state = {
				call: undefined, slowness: 1, measuredMs: 0, avoidedUntilMs: -Infinity, failures: 0, kept: new Map(),
			};
			this.states.set(serverId, state);
		}

		return state;
	}
}

/** Results whose time is over are forgotten on the way. */
function sumOfKept({kept}: ServerState, nowMs: number): number {
	let sumBytes = 0;
	for (const [handle, {bytes, untilMs}] of kept) {
		if (nowMs >= untilMs) {
			kept.delete(handle);
		} else {
			sumBytes += bytes;
		}
	}

	return sumBytes;
}

/** Pieces of one work side by side, in the order in which the first of each comes. */
function groupByWork(items: readonly BatchPiece[]): BatchPiece[][] {
	const groups = new Map<string, BatchPiece[]>();
	for (const item of items) {
		const group = groups.get(item.work.workId);
		if (group) {
			group.push(item);
		} else {
			groups.set(item.work.workId, [item]);
		}
	}

	return [...groups.values()];
}

/** What it counts for that a step is worked on in another hall than where its inputs lie or its results are wanted. */
function crossingMsOf({crossingBytes, pieces}: BatchWork): number {
	return crossingCostMs(crossingBytes * pieces.length);
}

/** Whether a piece had better wait for an upstream in its own hall. */
function isPatient({work, readyMs}: BatchPiece, nowMs: number): boolean {
	const patienceMs = Math.min(longestPatienceMs, crossingMsOf(work));
	// What is late already loses nothing by waiting; what is still in time must not become late by it.
	const untilMs = readyMs + patienceMs;
	return nowMs < (readyMs < work.dueMs ? Math.min(untilMs, work.dueMs) : untilMs);
}

/**
What can still be in time goes first, by the time it has left. A step that can't gives way until its caller is
about to leave, whether it is the first or a later one: when later ones kept their place, a queue that was once
late stayed so, and all that came after was late as well.
*/
function urgencyOf({work}: BatchPiece, nowMs: number): number {
	const {dueMs, lateDueMs, rank} = work;
	return (nowMs <= dueMs ? dueMs : lateDueMs) + (rank * rankPenaltyMs);
}

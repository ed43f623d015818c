/**
Submits work to the hosts that batch it, and batches the work submitted to this host. Each pool has one host at a time
that batches for all, chosen identically by every host that sees the same peers. Work held by a host that is lost is
submitted again.
*/
import type {InjectionToken} from 'tsyringe';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {setRepeating, type Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import {roomiestHosts} from '../../routing/common/host-room.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import type {BatchEndsMessage, BatchWaitsMessage, Message} from '../../wire/common/messages.js';
import type {PieceEnd} from '../common/batch-call.js';
import {ToldWaits} from '../common/told-waits.js';
import {
	messageOfEnd, messageOfWork, outcomeOfEnd, workOfMessage,
} from '../common/work-messages.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef,
} from '../common/work.js';
import type {BatchPool} from './batch-pool.js';

/** Receives the outcomes of the pieces of one work as they arrive, one for each piece. */
export type EndsTaker = (piece: number, outcome: PieceOutcome) => void;

/** Accepts work of requests and releases results. */
export type WorkTaker = {
	/** Submits work. */
	submit(work: BatchWork, taker: EndsTaker): void;
	/** Cancels work that is not finished. */
	cancel(workId: string): void;
	/** Releases results that a pool stores. */
	release(pool: string, refs: readonly ResultRef[]): void;
	/** @returns how long work of a rank would wait for a pool, in milliseconds. */
	waitMs(pool: string, rank: number): number;
};

/** Connections to peers, as needed for batching. */
export type PeerLine = Pick<PeerMesh, 'onDidReceive' | 'onDidLose' | 'onDidChange' | 'liveRooms' | 'send' | 'broadcast'>;

/** Batches of one pool. */
export type PoolBatches = Pick<BatchPool, 'isIdle' | 'add' | 'cancel' | 'handOver' | 'release' | 'waitMs' | 'dispose'>;

/** Dependencies and settings. */
export type BatchDeskOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work. */
	readonly room: number;
	readonly mesh: PeerLine;
	readonly clock: Clock;
	readonly log: Logger;
	/** Whether this host is about to stop, so that other hosts batch instead. */
	readonly isLeaving: () => boolean;
	readonly makePool: (pool: string, ended: (end: PieceEnd) => void) => PoolBatches;
};

/** Interval at which waits are reported and work queued here for other hosts is transferred: several times per call duration. */
const tellMs = 100;

/** A peer whose work this host holds, and the number of its unfinished pieces. */
type Asker = {readonly hostId: string; open: number};

/** Work this host submitted: its unfinished pieces, and the host that batches it. */
type Asked = {readonly work: BatchWork; readonly taker: EndsTaker; readonly open: Set<number>; owner: string};

export const batchDeskToken: InjectionToken<BatchDesk> = Symbol('BatchDesk');

/** Submits work to the hosts that batch it, and batches what is submitted to this host. */
export class BatchDesk implements WorkTaker, Disposable {
	static create(options: BatchDeskOptions): BatchDesk {
		return new BatchDesk(options);
	}

	/** Unfinished work of this host's own requests, by work ID. */
	private readonly asked = new Map<string, Asked>();
	/** Work of peers held by this host, by work ID. */
	private readonly askers = new Map<string, Asker>();
	/** Pools this host batches, or has batched. */
	private readonly pools = new Map<string, PoolBatches>();
	private readonly owned = DisposableStore.create();
	private readonly toldWaits = ToldWaits.create();

	private constructor(private readonly options: BatchDeskOptions) {
		const {mesh} = options;
		this.owned.add(setRepeating(options.clock, () => tellMs, () => {
			// Pieces of failed calls are queued again where they were, even if another host batches the pool by now.
			this.handOver();
			this.tellWaits();
		}));
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			this.receive(hostId, message);
		}));
		this.owned.add(mesh.onDidLose(hostId => {
			this.lost(hostId);
		}));
		this.owned.add(mesh.onDidChange(() => {
			this.handOver();
		}));
	}

	/** Whether no work of this host or of a peer is queued or in progress here. */
	get isIdle(): boolean {
		return this.askers.size === 0 && [...this.pools.values()].every(pool => pool.isIdle);
	}

	/**
	Estimates how long work submitted now would wait, on whichever host batches its pool.
	@param pool - the pool.
	@param rank - rank of the work.
	@returns the wait in milliseconds; 0 if none was reported recently.
	*/
	waitMs(pool: string, rank: number): number {
		return this.ownerOf(pool) === this.options.hostId
			? this.pools.get(pool)?.waitMs(rank) ?? 0
			: this.toldWaits.waitMs(pool, rank, this.options.clock.nowMs());
	}

	/**
	Submits work.
	@param work - pieces of one step.
	@param listener - called once with the outcome of each piece.
	*/
	submit(work: BatchWork, taker: EndsTaker): void {
		const asked: Asked = {
			work, taker, open: new Set(work.pieces), owner: '',
		};
		this.asked.set(work.workId, asked);
		this.place(asked, work.pieces);
	}

	/**
	Cancels work.
	@param workId - ID of the work.
	*/
	cancel(workId: string): void {
		const asked = this.asked.get(workId);
		if (!asked) {
			return;
		}

		this.asked.delete(workId);
		const {pool} = asked.work;
		if (asked.owner === this.options.hostId) {
			this.pools.get(pool)?.cancel(workId);
		} else {
			this.options.mesh.send(asked.owner, {type: 'batchCancel', pool, workId});
		}
	}

	/**
	Releases results, wherever they are stored.
	@param pool - the pool that stores them.
	@param refs - the results.
	*/
	release(pool: string, refs: readonly ResultRef[]): void {
		if (refs.length === 0) {
			return;
		}

		const owner = this.ownerOf(pool);
		if (owner === this.options.hostId || !this.options.mesh.send(owner, {type: 'batchRelease', pool, refs: [...refs]})) {
			this.poolOf(pool).release(refs);
		}
	}

	/**
	Transfers the queues of pools that another host batches now. Two hosts that batch the same pool do not know of each
	other's results, and the older queue would find no space.
	*/
	handOver(): void {
		for (const [name, pool] of this.pools) {
			if (this.ownerOf(name) !== this.options.hostId) {
				pool.handOver();
			}
		}
	}

	dispose(): void {
		this.owned.dispose();
		for (const pool of this.pools.values()) {
			pool.dispose();
		}
	}

	private tellWaits(): void {
		const pools = this.toldWaits.news(this.pools);
		if (pools.length > 0) {
			this.options.mesh.broadcast({type: 'batchWaits', pools});
		}
	}

	/** Returns the host that batches for a pool now. */
	private ownerOf(pool: string): string {
		const {hostId, room, mesh, isLeaving} = this.options;
		const rooms = mesh.liveRooms;
		const batchesItself = !isLeaving() || rooms.size === 0;
		return rendezvousOwner(pool, roomiestHosts(batchesItself ? new Map([...rooms, [hostId, room]]) : rooms)) ?? hostId;
	}

	/** Submits pieces to the host that batches their pool, or queues them here if that host can't be reached. */
	private place(asked: Asked, pieces: readonly number[]): void {
		const {hostId, mesh, clock} = this.options;
		const work = {...asked.work, pieces};
		asked.owner = this.ownerOf(work.pool);
		if (asked.owner !== hostId && mesh.send(asked.owner, messageOfWork(work, clock.nowMs()))) {
			return;
		}

		asked.owner = hostId;
		this.poolOf(work.pool).add(work);
	}

	private poolOf(name: string): PoolBatches {
		let pool = this.pools.get(name);
		if (!pool) {
			pool = this.options.makePool(name, end => {
				this.ended(end);
			});
			this.pools.set(name, pool);
		}

		return pool;
	}

	private receive(hostId: string, message: Message): void {
		switch (message.type) {
			case 'batchWork': {
				// Pieces of one work may arrive in several messages, as when they were transferred.
				const known = this.askers.get(message.workId);
				this.askers.set(message.workId, {hostId, open: (known?.open ?? 0) + message.pieces.length});
				this.poolOf(message.pool).add(workOfMessage(message, this.options.clock.nowMs()));
				break;
			}

			case 'batchEnds': {
				this.takeEnds(message);
				break;
			}

			case 'batchWaits': {
				this.takeWaits(hostId, message);
				break;
			}

			case 'batchCancel': {
				this.askers.delete(message.workId);
				this.pools.get(message.pool)?.cancel(message.workId);
				break;
			}

			case 'batchRelease': {
				this.poolOf(message.pool).release(message.refs);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Handles the outcome of a piece of this host's own pools. */
	private ended(end: PieceEnd): void {
		const {work: {workId, pool}, piece, outcome} = end;
		const asker = this.askers.get(workId);
		if (asker === undefined) {
			if (!this.tell(workId, piece, outcome) && outcome.ok) {
				// The request has ended in the meantime: the result would only use space.
				this.poolOf(pool).release([outcome.ref]);
			}

			return;
		}

		asker.open--;
		if (asker.open <= 0) {
			this.askers.delete(workId);
		}

		this.options.mesh.send(asker.hostId, messageOfEnd(end));
	}

	/** Only the host that batches a pool knows its wait. */
	private takeWaits(hostId: string, {pools}: BatchWaitsMessage): void {
		for (const waits of pools) {
			if (this.ownerOf(waits.pool) === hostId) {
				this.toldWaits.take(waits, this.options.clock.nowMs());
			}
		}
	}

	private takeEnds({workId, pool, ends}: BatchEndsMessage): void {
		for (const end of ends) {
			const outcome = outcomeOfEnd(end);
			if (!this.tell(workId, end.piece, outcome) && outcome.ok) {
				this.release(pool, [outcome.ref]);
			}
		}
	}

	/** @returns whether the outcome was still awaited. */
	private tell(workId: string, piece: number, outcome: PieceOutcome): boolean {
		const asked = this.asked.get(workId);
		if (!asked?.open.has(piece)) {
			return false;
		}

		if (!outcome.ok && outcome.reason === pieceFailures.moved) {
			this.place(asked, [piece]);
			return true;
		}

		asked.open.delete(piece);
		if (asked.open.size === 0) {
			this.asked.delete(workId);
		}

		asked.taker(piece, outcome);
		return true;
	}

	private lost(hostId: string): void {
		this.giveUpFor(hostId);
		this.placeAgain(hostId);
	}

	/** Cancels the work that a lost host submitted: nobody waits for it any more. */
	private giveUpFor(hostId: string): void {
		for (const [workId, asker] of this.askers) {
			if (asker.hostId === hostId) {
				this.askers.delete(workId);
				for (const pool of this.pools.values()) {
					pool.cancel(workId);
				}
			}
		}
	}

	/** Submits the work that a lost host held again. */
	private placeAgain(hostId: string): void {
		for (const asked of this.asked.values()) {
			if (asked.owner === hostId) {
				this.options.log.warn('Lost the host that batched the work of a request; submitting the work again.', {
					request: asked.work.callerRequestId, host: hostId, pool: asked.work.pool, pieces: asked.open.size,
				});
				this.place(asked, [...asked.open]);
			}
		}
	}
}

/**
Where work for batches goes: each pool has one host at a time that batches for all, the same for every
host that sees the same peers. Work in the hands of a host that is lost is handed in again.
*/
import type {InjectionToken} from 'tsyringe';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {setRepeating, type Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
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

/** Takes the ends of the pieces of one work, as they come; each piece ends once. */
export type EndsTaker = (piece: number, outcome: PieceOutcome) => void;

/** Takes work of requests and gives their results up. */
export type WorkTaker = {
	/** Hands in work. */
	submit(work: BatchWork, taker: EndsTaker): void;
	/** Gives work up that has not ended. */
	cancel(workId: string): void;
	/** Gives results up that a pool made. */
	release(pool: string, refs: readonly ResultRef[]): void;
	/** @returns how long work of a rank would wait for a pool. */
	waitMs(pool: string, rank: number): number;
};

/** What the desk needs of the connections to peers. */
export type PeerLine = Pick<PeerMesh, 'onDidReceive' | 'onDidLose' | 'onDidChange' | 'liveRooms' | 'send' | 'broadcast'>;

/** What the desk needs of the batches of one pool. */
export type PoolBatches = Pick<BatchPool, 'isIdle' | 'add' | 'cancel' | 'handOver' | 'release' | 'waitMs' | 'dispose'>;

/** What the desk is made of. */
export type BatchDeskOptions = {
	readonly hostId: string;
	/** This host's room for shared work. */
	readonly room: number;
	readonly mesh: PeerLine;
	readonly clock: Clock;
	readonly log: Logger;
	/** Whether this host is about to stop: others batch then. */
	readonly isLeaving: () => boolean;
	readonly makePool: (pool: string, ended: (end: PieceEnd) => void) => PoolBatches;
};

/** How often waits are told, and what waits here for other hosts is handed on: several times in the length of one call. */
const tellMs = 100;

/** A peer whose work is in the hands of this host, and how many of its pieces have not ended. */
type Asker = {readonly hostId: string; open: number};

/** Work this host handed in: pieces that have not ended, and the host that batches it. */
type Asked = {readonly work: BatchWork; readonly taker: EndsTaker; readonly open: Set<number>; owner: string};

export const batchDeskToken: InjectionToken<BatchDesk> = Symbol('BatchDesk');

/** Hands work to the hosts that batch it, and batches what is handed here. */
export class BatchDesk implements WorkTaker, Disposable {
	static create(options: BatchDeskOptions): BatchDesk {
		return new BatchDesk(options);
	}

	/** Works of this host's own requests that have not ended. */
	private readonly asked = new Map<string, Asked>();
	/** Works of peers in the hands of this host, with the peer that asked. */
	private readonly askers = new Map<string, Asker>();
	/** Pools this host batches, or has batched. */
	private readonly pools = new Map<string, PoolBatches>();
	private readonly owned = DisposableStore.create();
	private readonly toldWaits = ToldWaits.create();

	private constructor(private readonly options: BatchDeskOptions) {
		const {mesh} = options;
		this.owned.add(setRepeating(options.clock, () => tellMs, () => {
			// Pieces of calls that came to nothing wait again where they were, whoever batches the pool meanwhile.
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

	/** Whether nothing of this host or of a peer is waiting or at work here. */
	get isIdle(): boolean {
		return this.askers.size === 0 && [...this.pools.values()].every(pool => pool.isIdle);
	}

	/**
	Estimates how long work handed in now would wait, wherever its pool is batched; none where nothing was told of late.
	@param pool - the pool.
	@param rank - of the work.
	*/
	waitMs(pool: string, rank: number): number {
		return this.ownerOf(pool) === this.options.hostId
			? this.pools.get(pool)?.waitMs(rank) ?? 0
			: this.toldWaits.waitMs(pool, rank, this.options.clock.nowMs());
	}

	/**
	Hands in work.
	@param work - pieces of one step.
	@param taker - told of each piece's end, once.
	*/
	submit(work: BatchWork, taker: EndsTaker): void {
		const asked: Asked = {
			work, taker, open: new Set(work.pieces), owner: '',
		};
		this.asked.set(work.workId, asked);
		this.place(asked, work.pieces);
	}

	/**
	Gives work up.
	@param workId - the work.
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
	Gives results up, wherever they were made.
	@param pool - the pool that made them.
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
	Hands on what waits here for pools that another host batches now: two hosts that batch the same pool
	know nothing of each other's results, and the older queue would find no room.
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

	/** The host that batches for a pool now. */
	private ownerOf(pool: string): string {
		const {hostId, room, mesh, isLeaving} = this.options;
		const rooms = mesh.liveRooms;
		const batchesItself = !isLeaving() || rooms.size === 0;
		return rendezvousOwner(pool, highCapacityHosts(batchesItself ? new Map([...rooms, [hostId, room]]) : rooms)) ?? hostId;
	}

	/** Hands pieces to the host that batches their pool, or takes them here where that one can't be reached. */
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
				// Pieces of one work may come one after the other, as when they were handed on.
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

	/** A piece of this host's own pools ended. */
	private ended(end: PieceEnd): void {
		const {work: {workId, pool}, piece, outcome} = end;
		const asker = this.askers.get(workId);
		if (asker === undefined) {
			if (!this.tell(workId, piece, outcome) && outcome.ok) {
				// Its request has ended meanwhile: the result would only take room.
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

	/** @returns whether somebody still wanted to know. */
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

	/** Nobody waits any more for what a lost host asked for. */
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

	/** What a lost host had in its hands is handed in again. */
	private placeAgain(hostId: string): void {
		for (const asked of this.asked.values()) {
			if (asked.owner === hostId) {
				this.options.log.warn('The host that batched a request\'s work is lost; the work is handed in again.', {
					request: asked.work.callerRequestId, host: hostId, pool: asked.work.pool, pieces: asked.open.size,
				});
				this.place(asked, [...asked.open]);
			}
		}
	}
}

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
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import type {BatchEndsMessage, BatchWaitsMessage, Message} from '../../wire/common/messages.js';
import type {FetchedPieces, FinishedPiece} from '../common/batch-call.js';
import {ReportedWaits} from '../common/reported-waits.js';
import {
	messageOfFinished, messageOfWork, outcomeOfEnd, workOfMessage,
} from '../common/work-messages.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef,
} from '../common/work.js';
import type {BatchPool} from './batch-pool.js';
import {BatchQuotes, reservationIdOf, type QuotingPool} from './batch-quotes.js';

/** Receives the outcomes of the pieces of one work as they arrive, one for each piece. */
export type PieceListener = (piece: number, outcome: PieceOutcome) => void;

/** Receives the pieces of one work whose inputs must have been fetched by calls in progress. */
export type FetchListener = (pieces: readonly number[]) => void;

/** Accepts work of requests and releases results. */
export type WorkHandler = {
	/** Submits work. */
	submit(work: BatchWork, listener: PieceListener, onInputsFetched?: FetchListener): void;
	/** Cancels work that is not finished. */
	cancel(workId: string): void;
	/** Releases results that a pool stores. */
	release(pool: string, refs: readonly ResultRef[]): void;
	/** @returns how long work of a rank would wait for a pool, in milliseconds. */
	waitMs(pool: string, rank: number): number;
};

/** Connections to peers, as needed for batching. */
export type BatchPeerMesh = Pick<PeerMesh, 'onDidReceive' | 'onDidLose' | 'onDidChange' | 'liveCapacities' | 'send' | 'broadcast'>;

/** Batches of one pool. */
export type PoolBatches = Pick<BatchPool, 'isIdle' | 'add' | 'cancel' | 'handOver' | 'release' | 'waitMs' | 'dispose'> & QuotingPool;

/** Dependencies and settings. */
export type BatchHandlerOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work. */
	readonly capacity: number;
	readonly mesh: BatchPeerMesh;
	readonly clock: Clock;
	readonly log: Logger;
	/** Whether this host is about to stop, so that other hosts batch instead. */
	readonly isLeaving: () => boolean;
	readonly makePool: (pool: string, onFinished: (finished: FinishedPiece) => void, onInputsFetched: (fetched: FetchedPieces) => void) => PoolBatches;
};

/** Interval at which waits are reported and work queued here for other hosts is transferred: several times per call duration. */
const reportIntervalMs = 100;

/** Work of a peer that this host holds, with the ID that the peer gave it and the number of its unfinished pieces. */
type PeerWork = {readonly hostId: string; readonly workId: string; openCount: number};

/** Work this host submitted: its unfinished pieces, and the host that batches it. */
type SubmittedWork = {
	readonly work: BatchWork;
	readonly listener: PieceListener;
	readonly onInputsFetched: FetchListener | undefined;
	readonly openPieces: Set<number>;
	owner: string;
};

export const batchHandlerToken: InjectionToken<BatchHandler> = Symbol('BatchHandler');

/** Submits work to the hosts that batch it, and batches what is submitted to this host. */
export class BatchHandler implements WorkHandler, Disposable {
	static create(options: BatchHandlerOptions): BatchHandler {
		return new BatchHandler(options);
	}

	/** Gives quotes for the pools that this host batches. */
	readonly quotes: BatchQuotes;
	/** Unfinished work of this host's own requests, by work ID. */
	private readonly submitted = new Map<string, SubmittedWork>();
	/** Work of peers held by this host, by the ID under which its pools hold it. */
	private readonly peerWorks = new Map<string, PeerWork>();
	/** Pools this host batches, or has batched. */
	private readonly pools = new Map<string, PoolBatches>();
	private readonly disposables = DisposableStore.create();
	private readonly reportedWaits = ReportedWaits.create();

	private constructor(private readonly options: BatchHandlerOptions) {
		const {mesh, clock, hostId} = options;
		this.quotes = this.disposables.add(BatchQuotes.create({
			hostId, mesh, clock, pools: this.pools, isOwner: pool => this.ownerOf(pool) === hostId, poolOf: pool => this.poolOf(pool),
		}));
		this.disposables.add(setRepeating(clock, () => reportIntervalMs, () => {
			// Pieces of failed calls are queued again on the host that made the call, even if another host batches the pool by now.
			this.handOver();
			this.reportWaits();
			this.quotes.sweep();
		}));
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			this.handleMessage(hostId, message);
		}));
		this.disposables.add(mesh.onDidLose(hostId => {
			this.handleLostPeer(hostId);
		}));
		this.disposables.add(mesh.onDidChange(() => {
			this.handOver();
		}));
	}

	/** Whether no work of this host or of a peer is queued or in progress here. */
	get isIdle(): boolean {
		return this.peerWorks.size === 0 && [...this.pools.values()].every(pool => pool.isIdle);
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
			: this.reportedWaits.waitMs(pool, rank, this.options.clock.nowMs());
	}

	/**
	Returns the host that batches for a pool now.
	@param pool - the pool.
	*/
	ownerOf(pool: string): string {
		const {hostId, capacity, mesh, isLeaving} = this.options;
		const capacities = mesh.liveCapacities;
		const isCandidate = !isLeaving() || capacities.size === 0;
		return rendezvousOwner(pool, highCapacityHosts(isCandidate ? new Map([...capacities, [hostId, capacity]]) : capacities)) ?? hostId;
	}

	/**
	Submits work.
	@param work - pieces of one step.
	@param listener - called once with the outcome of each piece.
	@param onInputsFetched - called, in scheduled pools, with unfinished pieces whose inputs must have been fetched. Their calls may
	still fail, and the pieces may then be sent again.
	*/
	submit(work: BatchWork, listener: PieceListener, onInputsFetched?: FetchListener): void {
		const submitted: SubmittedWork = {
			work, listener, onInputsFetched, openPieces: new Set(work.pieces), owner: '',
		};
		this.submitted.set(work.workId, submitted);
		this.submitPieces(submitted, work.pieces);
	}

	/**
	Cancels work.
	@param workId - ID of the work.
	*/
	cancel(workId: string): void {
		const submitted = this.submitted.get(workId);
		if (!submitted) {
			return;
		}

		this.submitted.delete(workId);
		const {pool} = submitted.work;
		if (submitted.owner === this.options.hostId) {
			this.pools.get(pool)?.cancel(workId);
		} else {
			this.options.mesh.send(submitted.owner, {type: 'batchCancel', pool, workId});
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
	Transfers the queues of pools that another host batches now, and drops their reservations. Two hosts that batch the same pool do not know of each
	other's results, and the queue of the former host would find no space.
	*/
	handOver(): void {
		this.quotes.dropUnowned();
		for (const [name, pool] of this.pools) {
			if (this.ownerOf(name) !== this.options.hostId) {
				pool.handOver();
			}
		}
	}

	dispose(): void {
		this.disposables.dispose();
		for (const pool of this.pools.values()) {
			pool.dispose();
		}
	}

	private reportWaits(): void {
		const pools = this.reportedWaits.updates(this.pools);
		if (pools.length > 0) {
			this.options.mesh.broadcast({type: 'batchWaits', pools});
		}
	}

	/** Submits pieces to the host that batches their pool, or queues them here if that host can't be reached. */
	private submitPieces(submitted: SubmittedWork, pieces: readonly number[], isRepeat = submitted.work.isRepeat ?? false): void {
		const {hostId, mesh, clock} = this.options;
		const work = {...submitted.work, pieces, isRepeat};
		submitted.owner = this.ownerOf(work.pool);
		if (submitted.owner !== hostId && mesh.send(submitted.owner, messageOfWork(work, clock.nowMs()))) {
			return;
		}

		submitted.owner = hostId;
		this.addToPool(hostId, work);
	}

	/**
	Queues work in a pool of this host.
	@param hostId - the host that submitted it.
	@param work - the work.
	*/
	private addToPool(hostId: string, work: BatchWork): void {
		const {requestId} = work;
		this.poolOf(work.pool).add(requestId === undefined ? work : {...work, requestId: reservationIdOf(hostId, requestId)});
	}

	private poolOf(name: string): PoolBatches {
		let pool = this.pools.get(name);
		if (!pool) {
			pool = this.options.makePool(name, finished => {
				this.handleFinished(finished);
			}, fetched => {
				this.handleFetched(fetched);
			});
			this.pools.set(name, pool);
		}

		return pool;
	}

	private handleMessage(hostId: string, message: Message): void {
		switch (message.type) {
			case 'batchWork': {
				// Pieces of one work may arrive in several messages, as when they were transferred.
				const {workId, pieces} = message;
				const heldId = heldWorkIdOf(hostId, workId);
				const held = this.peerWorks.get(heldId);
				this.peerWorks.set(heldId, {hostId, workId, openCount: (held?.openCount ?? 0) + pieces.length});
				this.addToPool(hostId, {...workOfMessage(message, this.options.clock.nowMs()), workId: heldId});
				break;
			}

			case 'batchEnds': {
				this.handleEnds(message);
				break;
			}

			case 'batchFetched': {
				this.notifyFetched(hostId, message);
				break;
			}

			case 'batchWaits': {
				this.handleWaitReports(hostId, message);
				break;
			}

			case 'batchCancel': {
				const heldId = heldWorkIdOf(hostId, message.workId);
				this.peerWorks.delete(heldId);
				this.pools.get(message.pool)?.cancel(heldId);
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
	private handleFinished(finished: FinishedPiece): void {
		const {work: {workId, pool}, piece, outcome} = finished;
		const peerWork = this.peerWorks.get(workId);
		if (peerWork === undefined) {
			if (!this.notify(workId, piece, outcome) && outcome.ok) {
				// The request has ended in the meantime: the result would only use space.
				this.poolOf(pool).release([outcome.ref]);
			}

			return;
		}

		peerWork.openCount--;
		if (peerWork.openCount <= 0) {
			this.peerWorks.delete(workId);
		}

		this.options.mesh.send(peerWork.hostId, messageOfFinished({...finished, work: {...finished.work, workId: peerWork.workId}}));
	}

	/** Handles inputs that the calls of this host's own pools must have fetched. */
	private handleFetched(fetched: FetchedPieces): void {
		const peerWork = this.peerWorks.get(fetched.workId);
		if (peerWork === undefined) {
			this.notifyFetched(this.options.hostId, fetched);
		} else {
			this.options.mesh.send(peerWork.hostId, {
				type: 'batchFetched', ...fetched, workId: peerWork.workId, pieces: [...fetched.pieces],
			});
		}
	}

	/** Notifies the submitter of a work. Reports of a host that no longer holds the work are ignored: its pieces are sent again elsewhere. */
	private notifyFetched(hostId: string, {workId, pieces}: FetchedPieces): void {
		const submitted = this.submitted.get(workId);
		const open = submitted?.owner === hostId ? pieces.filter(piece => submitted.openPieces.has(piece)) : [];
		if (open.length > 0) {
			submitted?.onInputsFetched?.(open);
		}
	}

	/** Records reported waits; reports of other hosts than the one that batches a pool are ignored, since only that host knows the wait. */
	private handleWaitReports(hostId: string, {pools}: BatchWaitsMessage): void {
		for (const waits of pools) {
			if (this.ownerOf(waits.pool) === hostId) {
				this.reportedWaits.record(waits, this.options.clock.nowMs());
			}
		}
	}

	private handleEnds({workId, pool, ends}: BatchEndsMessage): void {
		for (const end of ends) {
			const outcome = outcomeOfEnd(end);
			if (!this.notify(workId, end.piece, outcome) && outcome.ok) {
				this.release(pool, [outcome.ref]);
			}
		}
	}

	/** @returns whether the outcome was still awaited. */
	private notify(workId: string, piece: number, outcome: PieceOutcome): boolean {
		const submitted = this.submitted.get(workId);
		if (!submitted?.openPieces.has(piece)) {
			return false;
		}

		if (!outcome.ok && (outcome.reason === pieceFailures.moved || outcome.reason === pieceFailures.movedRepeat)) {
			this.submitPieces(submitted, [piece], outcome.reason === pieceFailures.movedRepeat);
			return true;
		}

		submitted.openPieces.delete(piece);
		if (submitted.openPieces.size === 0) {
			this.submitted.delete(workId);
		}

		submitted.listener(piece, outcome);
		return true;
	}

	private handleLostPeer(hostId: string): void {
		this.cancelWorkOf(hostId);
		this.resubmitWorkOf(hostId);
	}

	/** Cancels the work that a lost host submitted: no host waits for it any more. */
	private cancelWorkOf(hostId: string): void {
		for (const [workId, peerWork] of this.peerWorks) {
			if (peerWork.hostId === hostId) {
				this.peerWorks.delete(workId);
				for (const pool of this.pools.values()) {
					pool.cancel(workId);
				}
			}
		}
	}

	/** Submits again the work that a lost host held. */
	private resubmitWorkOf(hostId: string): void {
		for (const submitted of this.submitted.values()) {
			if (submitted.owner === hostId) {
				this.options.log.warn('Lost the host that batched the work of a request; submitting the work again.', {
					request: submitted.work.callerRequestId, host: hostId, pool: submitted.work.pool, pieces: submitted.openPieces.size,
				});
				this.submitPieces(submitted, [...submitted.openPieces]);
			}
		}
	}
}

/**
Returns the ID under which this host's pools hold work of a peer. The IDs of works are unique on one host only, and those of this
host's own works contain no line break.
*/
function heldWorkIdOf(hostId: string, workId: string): string {
	return `${hostId}\n${workId}`;
}

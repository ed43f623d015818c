/** Queue of the pieces of all requests that wait for one pool. */
import {pieceHandlings, type PieceHandling} from '../../quarantine/common/quarantine.js';
import type {BatchPiece, FinishedPiece} from './batch-call.js';
import {isLate, type PieceOrder} from './piece-order.js';
import {pieceFailures, type BatchWork, type PieceFailure} from './work.js';

/** Returns how pieces of a request may be sent to an upstream, by the content ID of the request. */
export type HandlingSource = (contentId: string) => PieceHandling;

/** Amounts of work, in the unit of the pool's `CallTimes`. */
export type QueueRates = {
	readonly amountOf: (item: BatchPiece) => number;
	/** Work that the pool completes per millisecond as measured: the turn of late pieces. */
	readonly latePerMs: number;
	/** Work that it completes with full calls: no piece that is still in time ends because of a measurement. */
	readonly fullPerMs: number;
};

/** Queued pieces in the order in which they are sent. */
export class PieceQueue {
	/**
	Creates an empty queue.
	@param handlingOf - returns how each piece may be sent.
	*/
	static create(handlingOf: HandlingSource): PieceQueue {
		return new PieceQueue(handlingOf);
	}

	private pieces: BatchPiece[] = [];
	private changeCount = 0;
	/** Pieces whose deadline passed in the queue; the next sweep fails them. */
	private expired: BatchPiece[] = [];

	private constructor(private readonly handlingOf: HandlingSource) {}

	get size(): number {
		return this.pieces.length;
	}

	/** Number that differs after each change of what is queued, regardless of its order. */
	get revision(): number {
		return this.changeCount;
	}

	/** The queued pieces, in order after `sort`. */
	get items(): readonly BatchPiece[] {
		return this.pieces;
	}

	add(piece: BatchPiece): void {
		this.changeCount++;
		this.pieces.push(piece);
	}

	/**
	Removes pieces that are sent in a call.
	@param taken - the pieces.
	*/
	remove(taken: ReadonlySet<BatchPiece>): void {
		this.replaceAll(this.pieces.filter(item => !taken.has(item)));
	}

	/** Whether a piece is queued. */
	hasPiece({work: {workId}, piece}: Pick<BatchPiece, 'work' | 'piece'>): boolean {
		return this.pieces.some(item => item.work.workId === workId && item.piece === piece);
	}

	/**
	Removes a piece that is no longer needed, if it is queued.
	@param item - the piece.
	*/
	removePiece(item: Pick<BatchPiece, 'work' | 'piece'>): void {
		if (this.hasPiece(item)) {
			this.replaceAll(this.pieces.filter(({work, piece}) => work.workId !== item.work.workId || piece !== item.piece));
		}
	}

	/**
	Removes the queued pieces of one work.
	@param workId - ID of the work.
	*/
	removeWork(workId: string): void {
		this.replaceAll(this.pieces.filter(({work}) => work.workId !== workId));
	}

	/**
	Removes all queued pieces; none of them is in progress.
	@param reasonOf - returns what is reported as the cause.
	*/
	takeAll(reasonOf: (item: BatchPiece) => PieceFailure): FinishedPiece[] {
		const taken = this.pieces.flatMap(item => finishAll([item], reasonOf(item)));
		this.replaceAll([]);
		return taken;
	}

	/**
	Sorts the queue, most urgent first. Expired pieces are removed before sorting: after a suspension of the host, the queue
	may contain nothing else.
	@param order - the order.
	@param nowMs - the current time.
	*/
	sort(order: PieceOrder, nowMs: number): void {
		this.dropExpired(nowMs);
		this.pieces.sort((left, right) => order.compare(left, right, nowMs));
	}

	/** Pieces that may be sent in one call. A request that may have crashed upstreams goes alone; all others may be combined. */
	sendable(): readonly BatchPiece[] {
		const first = this.pieces.find(({work}) => this.isSendable(work));
		if (!first) {
			return [];
		}

		const {contentId} = first.work;
		return this.handlingOf(contentId) === pieceHandlings.alone
			? this.pieces.filter(({work}) => work.contentId === contentId)
			: this.pieces.filter(({work}) => this.handlingOf(work.contentId) === pieceHandlings.none);
	}

	/**
	Removes pieces that are no longer sent: those past their deadline, and those of barred requests.
	@param nowMs - the current time.
	*/
	sweep(nowMs: number): FinishedPiece[] {
		this.dropExpired(nowMs);
		const {expired} = this;
		this.expired = [];
		const barred = new Set(this.pieces.filter(({work}) => this.handlingOf(work.contentId) === pieceHandlings.barred));
		if (barred.size > 0) {
			this.remove(barred);
		}

		return [...finishAll(expired, pieceFailures.late), ...finishAll([...barred], pieceFailures.failed)];
	}

	/**
	Removes all pieces of steps whose turn would come too late for their callers: a caller that can't be served is notified now,
	not once its time is over.
	@param order - the order, which tells the steps that may end.
	@param rates - amount of work of a piece, and what the pool completes per millisecond.
	@param nowMs - the current time.
	*/
	takeUnservable(order: PieceOrder, {amountOf, latePerMs, fullPerMs}: QueueRates, nowMs: number): FinishedPiece[] {
		this.sort(order, nowMs);
		const unservable = new Set<string>();
		let ahead = 0;
		for (const item of this.pieces) {
			const perMs = isLate(item.work, nowMs) ? latePerMs : fullPerMs;
			if (order.mayEnd(item, nowMs) && nowMs + (ahead / perMs) > item.work.lateDueMs) {
				unservable.add(item.work.workId);
			}

			ahead += amountOf(item);
		}

		const taken = this.pieces.filter(({work}) => unservable.has(work.workId));
		if (taken.length > 0) {
			this.remove(new Set(taken));
		}

		return finishAll(taken, pieceFailures.late);
	}

	/**
	Returns the longest wait of a queued piece, in milliseconds.
	@param nowMs - the current time.
	*/
	oldestMs(nowMs: number): number {
		let oldestMs = 0;
		for (const {readyMs} of this.pieces) {
			oldestMs = Math.max(oldestMs, nowMs - readyMs);
		}

		return oldestMs;
	}

	private isSendable({contentId}: BatchWork): boolean {
		const handling = this.handlingOf(contentId);
		return handling === pieceHandlings.none || handling === pieceHandlings.alone;
	}

	private replaceAll(pieces: BatchPiece[]): void {
		this.changeCount++;
		this.pieces = pieces;
	}

	private dropExpired(nowMs: number): void {
		const expired = this.pieces.filter(({work}) => nowMs >= work.deadlineMs);
		if (expired.length > 0) {
			this.expired.push(...expired);
			this.replaceAll(this.pieces.filter(({work}) => nowMs < work.deadlineMs));
		}
	}
}

function finishAll(pieces: readonly BatchPiece[], reason: PieceFailure): FinishedPiece[] {
	return pieces.map(({work, piece}) => ({work, piece, outcome: {ok: false, reason}}));
}

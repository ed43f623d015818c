/** Queue of the pieces of all requests that wait for one pool. */
import {pieceHandlings, type PieceHandling} from '../../quarantine/common/quarantine.js';
import type {BatchPiece, FinishedPiece} from './batch-call.js';
import {isLate, urgencyOf} from './piece-order.js';
import {pieceFailures, type BatchWork, type PieceFailure} from './work.js';

/** Returns how pieces of a request may be sent to an upstream, by the content ID of the request. */
export type HandlingSource = (contentId: string) => PieceHandling;

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
	/** Pieces whose deadline passed in the queue; the next sweep fails them. */
	private expired: BatchPiece[] = [];

	private constructor(private readonly handlingOf: HandlingSource) {}

	get size(): number {
		return this.pieces.length;
	}

	add(piece: BatchPiece): void {
		this.pieces.push(piece);
	}

	/**
	Removes pieces that are sent in a call.
	@param taken - the pieces.
	*/
	remove(taken: ReadonlySet<BatchPiece>): void {
		this.pieces = this.pieces.filter(item => !taken.has(item));
	}

	/**
	Removes the queued pieces of one work.
	@param workId - ID of the work.
	*/
	removeWork(workId: string): void {
		this.pieces = this.pieces.filter(({work}) => work.workId !== workId);
	}

	/**
	Removes all queued pieces; none of them has been started.
	@param reason - reported as the cause.
	*/
	takeAll(reason: PieceFailure): FinishedPiece[] {
		const taken = finishAll(this.pieces, reason);
		this.pieces = [];
		return taken;
	}

	/**
	Sorts the queue, most urgent first. Expired pieces are removed before sorting: after a suspension of the host, the queue
	may contain nothing else.
	@param nowMs - the current time.
	*/
	sort(nowMs: number): void {
		this.dropExpired(nowMs);
		this.pieces.sort((left, right) => urgencyOf(left, nowMs) - urgencyOf(right, nowMs));
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
	Removes all pieces of steps that are late and whose turn would come too late for their callers: a caller that can't be
	served is notified now, not once its time is over.
	@param perMs - pieces that the pool completes per millisecond.
	@param nowMs - the current time.
	*/
	takeUnservable(perMs: number, nowMs: number): FinishedPiece[] {
		this.sort(nowMs);
		const unservable = new Set<string>();
		for (const [index, {work}] of this.pieces.entries()) {
			if (isLate(work, nowMs) && nowMs + (index / perMs) > work.lateDueMs) {
				unservable.add(work.workId);
			}
		}

		const taken = this.pieces.filter(({work}) => unservable.has(work.workId));
		if (taken.length > 0) {
			this.remove(new Set(taken));
		}

		return finishAll(taken, pieceFailures.late);
	}

	/**
	Counts the queued pieces that go before a piece of the given urgency.
	@param urgency - as returned by `urgencyOf`.
	@param nowMs - the current time.
	*/
	countAhead(urgency: number, nowMs: number): number {
		return this.pieces.filter(item => urgencyOf(item, nowMs) <= urgency).length;
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

	private dropExpired(nowMs: number): void {
		const expired = this.pieces.filter(({work}) => nowMs >= work.deadlineMs);
		if (expired.length > 0) {
			this.expired.push(...expired);
			this.pieces = this.pieces.filter(({work}) => nowMs < work.deadlineMs);
		}
	}
}

function finishAll(pieces: readonly BatchPiece[], reason: PieceFailure): FinishedPiece[] {
	return pieces.map(({work, piece}) => ({work, piece, outcome: {ok: false, reason}}));
}

/** The pieces of all requests that wait for one pool. */
import {pieceHandlings, type PieceHandling} from '../../quarantine/common/quarantine.js';
import type {BatchPiece, PieceEnd} from './batch-call.js';
import {isLate, urgencyOf} from './piece-order.js';
import {pieceFailures, type BatchWork, type PieceFailure} from './work.js';

/** Tells how pieces of a request may be handed to an upstream, by the request's content. */
export type CautionSource = (contentId: string) => PieceHandling;

/** Holds what waits, in the order in which it goes. */
export class PieceQueue {
	/**
	Makes an empty queue.
	@param cautionOf - tells how each piece may be handed on.
	*/
	static create(cautionOf: CautionSource): PieceQueue {
		return new PieceQueue(cautionOf);
	}

	private pieces: BatchPiece[] = [];
	/** Pieces whose time went by while they waited; the next sweep ends them. */
	private expired: BatchPiece[] = [];

	private constructor(private readonly cautionOf: CautionSource) {}

	get size(): number {
		return this.pieces.length;
	}

	add(piece: BatchPiece): void {
		this.pieces.push(piece);
	}

	/**
	Takes pieces out that go in a call.
	@param taken - which.
	*/
	remove(taken: ReadonlySet<BatchPiece>): void {
		this.pieces = this.pieces.filter(item => !taken.has(item));
	}

	/**
	Takes out what waits of one work.
	@param workId - the work.
	*/
	removeWork(workId: string): void {
		this.pieces = this.pieces.filter(({work}) => work.workId !== workId);
	}

	/**
	Takes out everything that waits; none of it has been begun.
	@param reason - why.
	*/
	takeAll(reason: PieceFailure): PieceEnd[] {
		const taken = endsOf(this.pieces, reason);
		this.pieces = [];
		return taken;
	}

	/**
	Puts the most urgent first. What is over goes before: on waking that may be all that waits.
	@param nowMs - the time.
	*/
	sort(nowMs: number): void {
		this.dropExpired(nowMs);
		this.pieces.sort((left, right) => urgencyOf(left, nowMs) - urgencyOf(right, nowMs));
	}

	/** Pieces that may go in one call: those of one request alone where it may be what ends upstreams, all others together. */
	sendable(): readonly BatchPiece[] {
		const first = this.pieces.find(({work}) => this.mayGo(work));
		if (!first) {
			return [];
		}

		const {contentId} = first.work;
		return this.cautionOf(contentId) === pieceHandlings.alone
			? this.pieces.filter(({work}) => work.contentId === contentId)
			: this.pieces.filter(({work}) => this.cautionOf(work.contentId) === pieceHandlings.none);
	}

	/**
	Takes out what is not handed on any more: its time went by, or its request is barred.
	@param nowMs - the time.
	*/
	sweep(nowMs: number): PieceEnd[] {
		this.dropExpired(nowMs);
		const {expired} = this;
		this.expired = [];
		const barred = new Set(this.pieces.filter(({work}) => this.cautionOf(work.contentId) === pieceHandlings.barred));
		if (barred.size > 0) {
			this.remove(barred);
		}

		return [...endsOf(expired, pieceFailures.late), ...endsOf([...barred], pieceFailures.failed)];
	}

	/**
	Takes out steps that are late and whose turn would come too late for their callers, all pieces of each: who can't be
	served is told now, not once its time is over.
	@param perMs - pieces that the pool does in a millisecond.
	@param nowMs - the time.
	*/
	takeHopeless(perMs: number, nowMs: number): PieceEnd[] {
		this.sort(nowMs);
		const hopeless = new Set<string>();
		for (const [index, {work}] of this.pieces.entries()) {
			if (isLate(work, nowMs) && nowMs + (index / perMs) > work.lateDueMs) {
				hopeless.add(work.workId);
			}
		}

		const taken = this.pieces.filter(({work}) => hopeless.has(work.workId));
		if (taken.length > 0) {
			this.remove(new Set(taken));
		}

		return endsOf(taken, pieceFailures.late);
	}

	/**
	Counts the pieces that go before one that is only thought of.
	@param urgency - of that one.
	@param nowMs - the time.
	*/
	countAhead(urgency: number, nowMs: number): number {
		return this.pieces.filter(item => urgencyOf(item, nowMs) <= urgency).length;
	}

	/**
	Tells the longest wait.
	@param nowMs - the time.
	*/
	oldestMs(nowMs: number): number {
		let oldestMs = 0;
		for (const {readyMs} of this.pieces) {
			oldestMs = Math.max(oldestMs, nowMs - readyMs);
		}

		return oldestMs;
	}

	private mayGo({contentId}: BatchWork): boolean {
		const caution = this.cautionOf(contentId);
		return caution === pieceHandlings.none || caution === pieceHandlings.alone;
	}

	private dropExpired(nowMs: number): void {
		const expired = this.pieces.filter(({work}) => nowMs >= work.deadlineMs);
		if (expired.length > 0) {
			this.expired.push(...expired);
			this.pieces = this.pieces.filter(({work}) => nowMs < work.deadlineMs);
		}
	}
}

function endsOf(pieces: readonly BatchPiece[], reason: PieceFailure): PieceEnd[] {
	return pieces.map(({work, piece}) => ({work, piece, outcome: {ok: false, reason}}));
}

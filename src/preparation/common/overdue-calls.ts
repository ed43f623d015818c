/** Tracks calls whose responses are overdue. They go on while their pieces may be sent elsewhere as well; the first answer to a piece counts. */
import type {BatchCall, BatchPiece} from './batch-call.js';

/** Identifies a piece among those of a pool. */
type PieceIdentity = Pick<BatchPiece, 'work' | 'piece'>;

/** The calls in progress with a piece, and whether one that has ended answered it. */
type PieceState = {readonly callIds: Set<number>; isAnswered: boolean};

function keyOf({work: {workId}, piece}: PieceIdentity): string {
	return `${workId}\n${piece}`;
}

/** Tracks the overdue calls of one pool. */
export class OverdueCalls {
	static create(): OverdueCalls {
		return new OverdueCalls();
	}

	/** By piece; contains the pieces of overdue calls only. */
	private readonly states = new Map<string, PieceState>();
	private readonly overdue = new Map<number, BatchCall>();

	/** Calls that are overdue. */
	get calls(): Iterable<BatchCall> {
		return this.overdue.values();
	}

	/**
	Records that a call is overdue.
	@param call - the call.
	*/
	add(call: BatchCall): void {
		this.overdue.set(call.callId, call);
		for (const item of call.pieces) {
			const key = keyOf(item);
			const state = this.states.get(key) ?? {callIds: new Set(), isAnswered: false};
			state.callIds.add(call.callId);
			this.states.set(key, state);
		}
	}

	/**
	Records a call that is sent: it may carry pieces of overdue calls.
	@param call - the call.
	*/
	sent(call: BatchCall): void {
		for (const item of call.pieces) {
			this.states.get(keyOf(item))?.callIds.add(call.callId);
		}
	}

	/**
	Records that a piece needs no other answer.
	@param item - the piece.
	*/
	answered(item: PieceIdentity): void {
		const state = this.states.get(keyOf(item));
		if (state) {
			state.isAnswered = true;
		}
	}

	/**
	Records the end of a call.
	@param call - the call.
	*/
	ended(call: BatchCall): void {
		this.overdue.delete(call.callId);
		for (const item of call.pieces) {
			const key = keyOf(item);
			const state = this.states.get(key);
			state?.callIds.delete(call.callId);
			if (state?.callIds.size === 0) {
				this.states.delete(key);
			}
		}
	}

	/** Whether an overdue call has carried a piece that is still in progress. */
	isTracked(item: PieceIdentity): boolean {
		return this.states.has(keyOf(item));
	}

	/** Whether a piece was answered by a call while another one with it goes on. */
	isAnswered(item: PieceIdentity): boolean {
		return this.states.get(keyOf(item))?.isAnswered === true;
	}

	/**
	Whether a call with a piece is in progress, so that the piece may still be answered.
	@param item - the piece.
	@param except - a call that does not count.
	*/
	isInProgress(item: PieceIdentity, except?: BatchCall): boolean {
		const callIds = this.states.get(keyOf(item))?.callIds;
		return callIds !== undefined && callIds.size > (except !== undefined && callIds.has(except.callId) ? 1 : 0);
	}
}

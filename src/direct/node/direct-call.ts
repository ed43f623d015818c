/** One call on one connection: turns what the upstream sends into the messages an agent would send. */
import type {Dispatcher} from 'undici';
import {messageOf, UnavailableError} from '../../base/common/errors.js';
import {extendDigest} from '../../base/common/hash.js';
import {headersOf, isFinalStatus} from '../../deployment/node/response-head.js';
import type {PooledConnection} from '../../deployment/node/connection-pool.js';
import type {HttpHead} from '../../request/common/request-plan.js';
import {
	refusalReasons, type DispatchMessage, type Message, type RefusalReason,
} from '../../wire/common/messages.js';
import {EventSplitter} from '../common/event-splitter.js';
import type {UpstreamProtocol} from '../common/upstream-protocol.js';

/** Answers below this status are what was asked for; others are passed on as they come, not event by event. */
const firstErrorStatus = 300;
/** Reasons go into logs and traces; gates cut theirs at the same length. */
const mostReasonChars = 500;

/** What a call needs besides its connection. */
export type DirectCallOptions = {
	readonly dispatch: DispatchMessage;
	readonly lane: PooledConnection;
	readonly protocol: UpstreamProtocol;
	readonly callerRequestId: string;
	/** Whether the answer is an event stream that is passed on event by event. */
	readonly isStreaming: boolean;
	readonly nowMs: () => number;
	/** The call is written. */
	readonly written: () => void;
	/** The head of an answer has come, whatever it proves. */
	readonly answered: (head: HttpHead, sentMs: number) => void;
	readonly emit: (message: Message) => void;
	/** An event was passed on; where the answer is taken up again, it goes on after this one. */
	readonly reached: (eventId: string) => void;
	readonly ended: () => void;
	/** The connection ended before the answer was whole, and nobody here wanted it to. */
	readonly brokeOff: () => void;
};

/** Follows one call to its end; emits `refused` or `end` exactly once. */
export class DirectCall implements Dispatcher.DispatchHandler {
	static create(options: DirectCallOptions): DirectCall {
		return new DirectCall(options);
	}

	private controller: Dispatcher.DispatchController | undefined;
	private readonly sentMs: number;
	private head: HttpHead | undefined;
	private splitter: EventSplitter | undefined;
	/** Why the upstream did not run it, once its head has said so. */
	private refusal: RefusalReason | undefined;
	/** Why the answer is not one to this call. */
	private foreignReason: string | undefined;
	/** Units that were passed on. */
	private units = 0;
	private digest = 0;
	private creditLeft: number;
	private isCancelled = false;
	private isOver = false;

	private constructor(private readonly options: DirectCallOptions) {
		this.sentMs = options.nowMs();
		this.creditLeft = options.dispatch.creditChunks;
	}

	/** Gives the call up; what it proves is told by its end. */
	cancel(): void {
		this.isCancelled = true;
		this.controller?.abort(new UnavailableError('cancelled'));
	}

	/** Lets more of the answer come. */
	grant(chunks: number): void {
		this.creditLeft += chunks;
		if (this.creditLeft > 0) {
			this.controller?.resume();
		}
	}

	/** The call is about to be written: from here on it may run. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.isCancelled) {
			controller.abort(new UnavailableError('cancelled'));
			return;
		}

		this.options.written();
	}

	/** A head has come: it tells whether the call runs, was refused, or is answered by another server. */
	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		if (!isFinalStatus(status)) {
			return;
		}

		const {dispatch, protocol, callerRequestId, isStreaming, nowMs, emit} = this.options;
		const headers = headersOf(controller);
		this.head = {status, headers};
		this.options.answered(this.head, this.sentMs);
		const reading = protocol.readHead(this.head, callerRequestId);
		if (reading.kind === 'notRun') {
			this.refusal = reading.reason;
			return;
		}

		if (reading.kind === 'foreign') {
			this.foreignReason = reading.reason;
			controller.abort(new UnavailableError(reading.reason));
			return;
		}

		if (isStreaming && status < firstErrorStatus) {
			this.splitter = EventSplitter.create();
		}

		emit({
			type: 'started', dispatchId: dispatch.dispatchId, queueMs: nowMs() - this.sentMs, http: {status, headers},
		});
	}

	/** Bytes of the answer have come: whole events of a stream, or any bytes of another answer, go on. */
	onResponseData(controller: Dispatcher.DispatchController, bytes: Uint8Array): void {
		if (this.refusal !== undefined || this.isOver) {
			return;
		}

		if (!this.splitter) {
			this.passOn(bytes, 1);
			return;
		}

		const piece = this.splitter.push(bytes);
		if (this.splitter.isOverfull) {
			controller.abort(new UnavailableError('an event is larger than is taken'));
		} else if (piece) {
			if (piece.lastId !== undefined) {
				this.options.reached(piece.lastId);
			}

			this.passOn(piece.data, piece.units);
		}
	}

	/** The answer is over, as far as the connection tells. */
	onResponseEnd(): void {
		const {lane} = this.options;
		if (this.isCutShort) {
			lane.discard();
		} else {
			lane.release();
		}

		if (this.refusal !== undefined) {
			this.refuse(this.refusal);
		} else if (this.isCutShort) {
			this.options.brokeOff();
			this.end('unknown', 'the connection broke off before the answer was whole');
		} else {
			this.end('completed');
		}
	}

	/** The call broke off: one that was never begun is refused, of any other the end is not known. */
	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.options.lane.discard();
		if (this.refusal !== undefined) {
			// The head alone is proof.
			this.refuse(this.refusal);
		} else if (this.controller === undefined) {
			this.refuse(this.isCancelled ? refusalReasons.cancelled : refusalReasons.unreachable);
		} else if (this.isCancelled) {
			this.end('unknown', 'cancelled');
		} else if (this.foreignReason === undefined) {
			this.options.brokeOff();
			this.end('unknown', messageOf(error));
		} else {
			this.end('unknown', this.foreignReason);
		}
	}

	/** Whether the answer ended before it was whole. */
	private get isCutShort(): boolean {
		return this.options.lane.mayBeTruncated(this.head?.headers ?? []) || (this.splitter?.hasPartialEvent ?? false);
	}

	private passOn(data: Uint8Array, units: number): void {
		const {dispatch, emit} = this.options;
		const sequence = this.offset + this.units;
		this.units += units;
		this.digest = extendDigest(this.digest, data);
		this.creditLeft--;
		if (this.creditLeft <= 0) {
			this.controller?.pause();
		}

		emit({
			type: 'chunk', dispatchId: dispatch.dispatchId, sequence, units, data,
		});
	}

	/** Units the caller had before this call. */
	private get offset(): number {
		const {call} = this.options.dispatch;
		return call.kind === 'http' ? call.resumeOffset ?? 0 : 0;
	}

	private refuse(reason: RefusalReason): void {
		this.finish({type: 'refused', dispatchId: this.options.dispatch.dispatchId, reason});
	}

	private end(state: 'completed' | 'unknown', reason?: string): void {
		this.finish({
			type: 'end',
			dispatchId: this.options.dispatch.dispatchId,
			state,
			units: this.offset + this.units,
			digest: this.digest,
			runMs: this.options.nowMs() - this.sentMs,
			...(reason !== undefined && {reason: reason.slice(0, mostReasonChars)}),
		});
	}

	private finish(message: Message): void {
		if (!this.isOver) {
			this.isOver = true;
			this.options.ended();
			this.options.emit(message);
		}
	}
}

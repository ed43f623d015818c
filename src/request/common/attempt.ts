/** One attempt at a stage: its state, and the answer received from its upstream, checked chunk by chunk. */
import {extendDigest} from '../../base/common/hash.js';
import {isUnframed} from '../../deployment/common/hop-headers.js';
import type {ChunkMessage, EndMessage} from '../../wire/common/messages.js';
import {StageAnswer} from './stage-answer.js';
import {
	attemptStates, type AttemptState, type AttemptTrace, type HttpResponseHead,
} from './request-plan.js';

/** Number of chunks that an agent may send before the entry grants more credit. */
export const creditWindowChunks = 64;

/** What is known of an attempt when it is sent. */
export type AttemptOptions = {
	readonly dispatchId: string;
	readonly upstreamId: string;
	/** Version of the upstream's software when the attempt was sent, if it is known. */
	readonly softwareVersion?: string;
	readonly kind: AttemptTrace['kind'];
	readonly sentAtMs: number;
	/** Number of units of the answer that earlier attempts had delivered. */
	readonly offset: number;
	readonly candidates: AttemptTrace['candidates'];
};

/** Tracks an attempt until it ends, and accepts each unit of its answer once and in order. */
export class Attempt {
	static create(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	state: AttemptState = attemptStates.sent;
	reason = '';
	queueMs = 0;
	runMs = 0;
	/** When the upstream was last known to be working: the last `started` message or unit, at first the time of sending. */
	lastReceivedMs: number;
	/** Whether its upstream has sent no unit for longer than it may; the attempt stays live. */
	isSilent = false;
	/** When the attempts beside this one end, because its upstream has taken the stream up; `Infinity` if they may go on. */
	replacesOthersAtMs = Infinity;
	/** Whether that time was reached once. */
	isReplacementDue = false;
	isCancelled = false;
	/** Whether it has ended before its first unit in favor of a silent attempt. */
	hasYielded = false;
	/** Whether its units are part of the answer of the stage. */
	isPartOfAnswer = false;
	http: HttpResponseHead | undefined;
	/** The part of the answer that this attempt delivered; without the bytes that have arrived since it is part of the answer of the stage, which keeps them. */
	readonly answer = StageAnswer.create();
	private digest = 0;
	private chunksSinceGrant = 0;

	private constructor(readonly options: AttemptOptions) {
		this.lastReceivedMs = options.sentAtMs;
	}

	get isLive(): boolean {
		return this.state === attemptStates.sent || this.state === attemptStates.started;
	}

	/** Whether the upstream may have done any of the work. */
	get mayHaveRun(): boolean {
		return this.state !== attemptStates.notRun;
	}

	/** Number of units from the start of the complete answer. */
	get units(): number {
		return this.options.offset + this.answer.units;
	}

	/**
	Records that the upstream is working.
	@param nowMs - the current time.
	*/
	didProgress(nowMs: number): void {
		this.lastReceivedMs = nowMs;
		this.isSilent = false;
	}

	/**
	Accepts a chunk if it is the next one in order.
	@param chunk - the received chunk.
	@returns whether the chunk was accepted; a rejected chunk is late, duplicated or out of order.
	*/
	acceptChunk(chunk: ChunkMessage): boolean {
		if (!this.isLive || chunk.sequence !== this.units) {
			return false;
		}

		this.state = attemptStates.started;
		this.digest = extendDigest(this.digest, chunk.data);
		if (this.isPartOfAnswer) {
			this.answer.count(chunk.units);
		} else {
			this.answer.add(chunk.units, chunk.data);
		}

		this.chunksSinceGrant++;
		return true;
	}

	/**
	Returns the number of chunks to grant the agent, and counts them as granted.
	@returns 0 until half of the window is used.
	*/
	takeCreditGrant(): number {
		if (this.chunksSinceGrant < creditWindowChunks / 2) {
			return 0;
		}

		const chunks = this.chunksSinceGrant;
		this.chunksSinceGrant = 0;
		return chunks;
	}

	/**
	Checks that everything the upstream sent has been received.
	@param end - the message that ends the answer.
	@returns whether its unit count and digest match what was received.
	*/
	isComplete(end: EndMessage): boolean {
		return end.units === this.units && end.digest === this.digest;
	}

	/**
	Ends the attempt.
	@param state - the final state.
	@param reason - the reason shown to operators.
	*/
	finish(state: AttemptState, reason: string): void {
		this.state = state;
		this.reason = reason;
	}

	/** Returns the record of the attempt that is shown to operators. */
	trace(): AttemptTrace {
		const {
			upstreamId, softwareVersion, kind, sentAtMs, candidates,
		} = this.options;
		return {
			upstreamId, softwareVersion, kind, sentAtMs, candidates, state: this.state, reason: this.reason, queueMs: this.queueMs, runMs: this.runMs, units: this.answer.units,
			...(this.http && {status: this.http.status, isUnframed: isUnframed(this.http)}),
		};
	}
}

/** One attempt at one stage: what came from its upstream, checked piece by piece. */
import {extendDigest} from '../../base/common/hash.js';
import type {ChunkMessage, EndMessage} from '../../wire/common/messages.js';
import {StageAnswer} from './stage-answer.js';
import {
	attemptStates, type AttemptState, type AttemptTrace, type HttpHead,
} from './request-plan.js';

/** Chunks an agent may send before the entry grants more. */
export const creditWindow = 64;

/** How an attempt came about, and where it went. */
export type AttemptOptions = {
	readonly dispatchId: string;
	readonly upstreamId: string;
	readonly kind: AttemptTrace['kind'];
	readonly sentAtMs: number;
	/** Units that were already there. */
	readonly offset: number;
	readonly candidates: AttemptTrace['candidates'];
};

/** Follows an attempt to its end; takes each unit once, in order. */
export class Attempt {
	static create(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	state: AttemptState = attemptStates.sent;
	reason = '';
	queueMs = 0;
	runMs = 0;
	/** When the last sign of life came. */
	heardMs: number;
	isCancelled = false;
	http: HttpHead | undefined;
	/** What came of this attempt alone. */
	readonly answer = StageAnswer.create();
	private digest = 0;
	private sinceCredit = 0;

	private constructor(readonly options: AttemptOptions) {
		this.heardMs = options.sentAtMs;
	}

	get isLive(): boolean {
		return this.state === attemptStates.sent || this.state === attemptStates.started;
	}

	/** Whether the upstream may have done some of the work. */
	get mayHaveRun(): boolean {
		return this.state !== attemptStates.notRun;
	}

	/** Units from the start of the whole answer. */
	get units(): number {
		return this.options.offset + this.answer.units;
	}

	/**
	Takes a chunk if it is the next one.
	@param chunk - as it came.
	@returns whether it was taken; others are late, doubled or out of order.
	*/
	take(chunk: ChunkMessage): boolean {
		if (!this.isLive || chunk.sequence !== this.units) {
			return false;
		}

		this.state = attemptStates.started;
		this.digest = extendDigest(this.digest, chunk.data);
		this.answer.add(chunk.units, chunk.data);
		this.sinceCredit++;
		return true;
	}

	/**
	Tells how many chunks to grant.
	@returns 0 until half of the window is used.
	*/
	takeCredit(): number {
		if (this.sinceCredit < creditWindow / 2) {
			return 0;
		}

		const chunks = this.sinceCredit;
		this.sinceCredit = 0;
		return chunks;
	}

	/**
	Checks that everything the upstream sent has come.
	@param end - the upstream's end mark.
	@returns whether count and digest agree.
	*/
	isWhole(end: EndMessage): boolean {
		return end.units === this.units && end.digest === this.digest;
	}

	/**
	Ends the attempt.
	@param state - how.
	@param reason - why.
	*/
	finish(state: AttemptState, reason: string): void {
		this.state = state;
		this.reason = reason;
	}

	trace(): AttemptTrace {
		const {upstreamId, kind, sentAtMs, candidates} = this.options;
		return {
			upstreamId, kind, sentAtMs, candidates, state: this.state, reason: this.reason, queueMs: this.queueMs, runMs: this.runMs, units: this.answer.units,
		};
	}
}

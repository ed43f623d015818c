/** Assembles the answer of a stage from the attempts that deliver parts of it, each part once and in order. */
import type {Attempt} from './attempt.js';
import {continuationProblem, isSuccess} from './continuation.js';
import {isTooLarge, StageAnswer} from './stage-answer.js';

/** Options of an assembly. */
export type AnswerAssemblyOptions = {
	/** What the caller has received of the answer from an earlier run of the stage. */
	readonly begun: StageAnswer | undefined;
	/** Whether units count as they are received, so that another attempt can resume after the last of them. */
	readonly isIncremental: boolean;
};

/** Holds the answer of one stage, and decides which attempt may deliver it. */
export class AnswerAssembly {
	static create(options: AnswerAssemblyOptions): AnswerAssembly {
		return new AnswerAssembly(options);
	}

	private answer: StageAnswer;
	/** The attempt whose units count; set once an attempt has delivered any. */
	private acceptedAttempt: Attempt | undefined;
	/** An attempt whose complete answer reports an error. */
	private errorAttempt: Attempt | undefined;
	private receivedBytes = 0;

	private constructor(private readonly options: AnswerAssemblyOptions) {
		this.answer = options.begun ?? StageAnswer.create();
	}

	get body(): Uint8Array {
		return this.answer.body;
	}

	get units(): number {
		return this.answer.units;
	}

	/** The attempt whose units count, if there is one. */
	get accepted(): Attempt | undefined {
		return this.acceptedAttempt;
	}

	/** Whether the answer has units; the caller may have received them. */
	get isBegun(): boolean {
		return this.answer.units > 0;
	}

	/** What the caller has received of the answer; undefined if it has received nothing. */
	get begunAnswer(): StageAnswer | undefined {
		return this.isBegun && this.options.isIncremental ? this.answer : undefined;
	}

	/** Number of units after which the next attempt goes on. */
	get resumeOffset(): number {
		return this.options.isIncremental ? this.answer.units : 0;
	}

	/**
	Returns whether received units count: those of an error do not, as another attempt may follow it. The first units that follow those of the
	answer make their attempt the accepted one.
	@param attempt - the attempt that has just received them.
	@param units - their number.
	*/
	isPart(attempt: Attempt, units: number): boolean {
		const {isIncremental} = this.options;
		if (!isIncremental || attempt === this.acceptedAttempt) {
			return isIncremental;
		}

		const follows = units > 0 && attempt.units - units === this.answer.units;
		return follows && (this.isBegun ? this.continuationProblemOf(attempt) === undefined : isSuccess(attempt.http));
	}

	/**
	Returns why the response to an attempt is not the rest of the answer that the caller has begun to receive.
	@param attempt - the attempt.
	@returns undefined if it is, or if the caller has received nothing.
	*/
	continuationProblemOf(attempt: Attempt): string | undefined {
		return this.isBegun && attempt !== this.acceptedAttempt ? continuationProblem(this.answer.head, attempt.http) : undefined;
	}

	/**
	Returns why a response without units does not end the answer that the caller has begun to receive: a server that has lost the stream may send the same.
	@param attempt - the attempt.
	@returns undefined if it does, or if the caller has received nothing.
	*/
	emptyContinuationProblemOf(attempt: Attempt): string | undefined {
		return this.isBegun && attempt !== this.acceptedAttempt && attempt.http ? 'a response without events does not show that the stream is complete' : undefined;
	}

	/**
	Appends received data that is part of the answer.
	@param attempt - the attempt that has received it; its first units make it the accepted one.
	@param units - the number of units in the data.
	@param data - the data.
	@returns the data to deliver: what an attempt sent before its first unit is part of the answer, too.
	*/
	add(attempt: Attempt, units: number, data: Uint8Array): Uint8Array {
		const added = attempt.isPartOfAnswer ? data : attempt.answer.body;
		if (units > 0) {
			this.accept(attempt);
		}

		this.answer.add(units, added);
		return added;
	}

	/**
	Counts received data, whether or not it is part of the answer.
	@param sizeBytes - the size of the data.
	@returns whether the answer is too large.
	*/
	countReceived(sizeBytes: number): boolean {
		this.receivedBytes += sizeBytes;
		return isTooLarge(this.receivedBytes);
	}

	/** Lets another attempt go on with the answer if the accepted one has ended. */
	releaseEnded(): void {
		if (this.acceptedAttempt && !this.acceptedAttempt.isLive) {
			this.acceptedAttempt = undefined;
		}
	}

	/**
	Ends the answer with that of an attempt.
	@param attempt - the attempt, whose answer is complete.
	*/
	complete(attempt: Attempt): void {
		if (!this.isBegun) {
			this.answer = attempt.answer;
		}

		this.acceptedAttempt = attempt;
	}

	/**
	Keeps a complete answer that reports an error, while another attempt may succeed.
	@param attempt - the attempt that has received it.
	*/
	keepError(attempt: Attempt): void {
		this.errorAttempt = attempt;
	}

	/**
	Ends the answer with a kept error, which is more informative than a generic failure.
	@returns false if there is none, or if the answer has begun.
	*/
	completeWithError(): boolean {
		if (!this.errorAttempt || this.isBegun) {
			return false;
		}

		this.complete(this.errorAttempt);
		return true;
	}

	private accept(attempt: Attempt): void {
		if (this.acceptedAttempt !== attempt) {
			this.acceptedAttempt = attempt;
			attempt.isPartOfAnswer = true;
			this.answer.head ??= attempt.http;
		}
	}
}

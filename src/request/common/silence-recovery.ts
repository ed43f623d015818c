/**
What a stage does while all of its live attempts are silent: it keeps them, and looks for another attempt beside them. That one goes on with the
answer as soon as it has a unit. If it has none in the time for which two upstreams may work on one stream, either it or the silent one ends.
*/
import type {Attempt} from './attempt.js';

/** Interval at which another attempt is looked for while the budget or the upstreams allow none. */
const retryIntervalMs = 100;
/**
Time for which a silent upstream is kept after another one has taken its stream up. The users' platform allows 400 ms for
both; the rest is for late timers and for the way of the cancel to the upstream.
*/
export const replacementDelayMs = 180;
/**
Time without a unit after which a silent attempt may be replaced before another one has a unit, as a multiple of the time after which it is silent.
Until then its upstream may only be late to end a complete stream, which no other upstream can do in its place.
*/
const replaceableSilenceTimeouts = 2;
/** Time between the end of that delay and the replacement, in which the sockets are read. */
export const replacementCheckMs = 20;

/** Tracks the search for another attempt beside silent ones. */
export class SilenceRecovery {
	static create(): SilenceRecovery {
		return new SilenceRecovery();
	}

	/** When another attempt is looked for again; `Infinity` if nothing is waited for. */
	retryAtMs = Infinity;
	/** Whether the retry budget has granted an attempt that was not sent yet. */
	hasGrant = false;
	/** Whether an upstream reported that the inputs of the stage are lost. */
	areInputsLost = false;
	/** Set while the inputs of the stage must be prepared again before another attempt; `hasBudget` tells whether the attempt was taken from the retry budget. */
	wantedInputs: {readonly hasBudget: boolean} | undefined;
	/** Whether an attempt was sent beside silent ones. */
	isReplacing = false;
	/** Whether no further attempt is made beside silent ones. */
	isStopped = false;
	/** Whether an upstream had no unit to add, so that the silent one may only have to end the answer. */
	hasEmptyContinuation = false;

	/**
	Returns from when on a silent attempt may be replaced by one that has not sent a unit yet.
	@param silent - the silent attempt.
	@param timeoutMs - the time without a unit after which an attempt is silent.
	*/
	replaceableAtMs({lastReceivedMs}: Attempt, timeoutMs: number): number {
		return this.hasEmptyContinuation ? Infinity : lastReceivedMs + (replaceableSilenceTimeouts * timeoutMs);
	}

	/**
	Makes no further attempt beside the silent ones before a given time.
	@param atMs - that time; `Infinity` if none is made anymore.
	*/
	waitUntil(atMs: number): void {
		this.retryAtMs = atMs;
		this.isStopped ||= atMs === Infinity;
	}

	/**
	Looks for another attempt again after a while.
	@param nowMs - the current time.
	*/
	retryLater(nowMs: number): void {
		this.retryAtMs = nowMs + retryIntervalMs;
	}
}

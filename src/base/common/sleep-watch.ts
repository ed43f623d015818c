/**
Finds out that the machine was suspended: the steady clock does not count that time, the boot clock and the time of day do.

The time of day jumps for other reasons too, so that a jump alone is no sleep: the boot clock decides. It is believed only while
it keeps step with the steady clock, since what a process can read of it may belong to another machine than its steady clock does,
as in emulations.
*/

/** What the clocks of a machine tell at one moment. */
export type ClockReading = {
	/** Does not count sleep. */
	readonly steadyMs: number;
	/** Counts sleep, and jumps by itself. */
	readonly wallMs: number;
	/** Counts sleep, in steps of 10 ms; absent where there is none. */
	readonly bootMs: number | undefined;
};

/** What a jump of the time of day was. */
export type JumpVerdict
	= | {readonly type: 'none'}
	/** The machine slept; the time of day may have jumped besides. */
		| {readonly type: 'slept'; readonly sleptMs: number}
	/** Only the time of day jumped. */
		| {readonly type: 'wallJump'; readonly jumpMs: number}
	/** It may have slept: there is no boot clock that could tell. */
		| {readonly type: 'unclear'; readonly jumpMs: number};

/** Change between two clocks that counts as a jump: far above what they drift between two looks. */
export const jumpMs = 100;
/** Two looks at a boot clock of 10 ms steps may differ by this much from the steady clock. */
const bootSlackMs = 25;
/** Looks in step with the steady clock, one after the other, after which the boot clock is believed. */
const looksToBelieve = 5;

/** Compares the clocks. */
export class SleepWatch {
	/**
	Begins with one look.
	@param reading - of now.
	*/
	static create(reading: ClockReading): SleepWatch {
		return new SleepWatch(reading);
	}

	/** Looks in a row at which the boot clock kept step. */
	private looksInStep = 0;

	private constructor(private last: ClockReading) {}

	/** Whether the boot clock can tell a sleep from a jump of the time of day. */
	get isBootBelieved(): boolean {
		return this.looksInStep >= looksToBelieve;
	}

	/**
	Tells, at the cost of a subtraction, whether the clocks must be compared now.
	@param steadyMs - of the steady clock.
	@param wallMs - the time of day.
	*/
	isJump(steadyMs: number, wallMs: number): boolean {
		return Math.abs(wallMs - this.last.wallMs - (steadyMs - this.last.steadyMs)) > jumpMs;
	}

	/**
	Compares all clocks: now and then, and whenever the time of day has jumped.
	@param reading - of now.
	@returns what has happened since the last comparison.
	*/
	compare(reading: ClockReading): JumpVerdict {
		const steadyPassedMs = reading.steadyMs - this.last.steadyMs;
		const wallAheadMs = reading.wallMs - this.last.wallMs - steadyPassedMs;
		const bootAheadMs = reading.bootMs === undefined || this.last.bootMs === undefined
			? undefined
			: reading.bootMs - this.last.bootMs - steadyPassedMs;
		const verdict = this.judge(wallAheadMs, bootAheadMs);
		const isInStep = bootAheadMs !== undefined && Math.abs(bootAheadMs) <= bootSlackMs;
		this.looksInStep = isInStep || verdict.type === 'slept' ? this.looksInStep + 1 : 0;
		this.last = reading;
		return verdict;
	}

	private judge(wallAheadMs: number, bootAheadMs: number | undefined): JumpVerdict {
		if (Math.abs(wallAheadMs) <= jumpMs) {
			return {type: 'none'};
		}

		if (bootAheadMs === undefined || !this.isBootBelieved) {
			return wallAheadMs > 0 ? {type: 'unclear', jumpMs: wallAheadMs} : {type: 'wallJump', jumpMs: wallAheadMs};
		}

		return bootAheadMs > jumpMs ? {type: 'slept', sleptMs: bootAheadMs} : {type: 'wallJump', jumpMs: wallAheadMs};
	}
}

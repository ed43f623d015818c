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
export type ClockJump
	= | {readonly type: 'none'}
	/** The machine slept; the time of day may have jumped besides. */
		| {readonly type: 'slept'; readonly suspendedMs: number}
	/** Only the time of day jumped. */
		| {readonly type: 'wallJump'; readonly jumpMs: number}
	/** It may have slept: there is no boot clock that could tell. */
		| {readonly type: 'unclear'; readonly jumpMs: number};

/** Change between two clocks that counts as a jump: far above what they drift between two looks. */
export const jumpMs = 100;
/** Two looks at a boot clock of 10 ms steps may differ by this much from the steady clock. */
const bootToleranceMs = 25;
/** Looks in step with the steady clock, one after the other, after which the boot clock is believed. */
const comparisonsToTrust = 5;

/** Compares the clocks. */
export class ClockComparer {
	/**
	Begins with one look.
	@param reading - of now.
	*/
	static create(reading: ClockReading): ClockComparer {
		return new ClockComparer(reading);
	}

	/** Looks in a row at which the boot clock kept step. */
	private consistentComparisons = 0;

	private constructor(private lastReading: ClockReading) {}

	/** Whether the boot clock can tell a sleep from a jump of the time of day. */
	get isBootClockTrusted(): boolean {
		return this.consistentComparisons >= comparisonsToTrust;
	}

	/**
	Tells, at the cost of a subtraction, whether the clocks must be compared now.
	@param steadyMs - of the steady clock.
	@param wallMs - the time of day.
	*/
	hasJumped(steadyMs: number, wallMs: number): boolean {
		return Math.abs(wallMs - this.lastReading.wallMs - (steadyMs - this.lastReading.steadyMs)) > jumpMs;
	}

	/**
	Compares all clocks: now and then, and whenever the time of day has jumped.
	@param reading - of now.
	@returns what has happened since the last comparison.
	*/
	compare(reading: ClockReading): ClockJump {
		const steadyPassedMs = reading.steadyMs - this.lastReading.steadyMs;
		const wallAheadMs = reading.wallMs - this.lastReading.wallMs - steadyPassedMs;
		const bootAheadMs = reading.bootMs === undefined || this.lastReading.bootMs === undefined
			? undefined
			: reading.bootMs - this.lastReading.bootMs - steadyPassedMs;
		const jump = this.classify(wallAheadMs, bootAheadMs);
		const isConsistent = bootAheadMs !== undefined && Math.abs(bootAheadMs) <= bootToleranceMs;
		this.consistentComparisons = isConsistent || jump.type === 'slept' ? this.consistentComparisons + 1 : 0;
		this.lastReading = reading;
		return jump;
	}

	private classify(wallAheadMs: number, bootAheadMs: number | undefined): ClockJump {
		if (Math.abs(wallAheadMs) <= jumpMs) {
			return {type: 'none'};
		}

		if (bootAheadMs === undefined || !this.isBootClockTrusted) {
			return wallAheadMs > 0 ? {type: 'unclear', jumpMs: wallAheadMs} : {type: 'wallJump', jumpMs: wallAheadMs};
		}

		return bootAheadMs > jumpMs ? {type: 'slept', suspendedMs: bootAheadMs} : {type: 'wallJump', jumpMs: wallAheadMs};
	}
}

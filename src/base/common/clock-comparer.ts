/**
Detects that the machine was suspended: the monotonic clock (`steadyMs`) does not count that time, the boot clock and the wall clock do.

The wall clock also jumps for other reasons, so a jump alone is no proof of a suspension: the boot clock decides. It is trusted only
while it advances at the rate of the monotonic clock, because the boot clock that a process can read may belong to another machine
than its monotonic clock, for example in emulators.
*/

/** Readings of the clocks of a machine, taken at the same time. */
export type ClockReading = {
	/** Monotonic clock: does not count the time of a suspension. */
	readonly steadyMs: number;
	/** Wall clock: counts the time of a suspension, and may also be set. */
	readonly wallMs: number;
	/** Boot clock: counts the time of a suspension, with a resolution of 10 ms; undefined where there is none. */
	readonly bootMs: number | undefined;
};

/** Classification of a jump of the wall clock. */
export type ClockJump
	= | {readonly type: 'none'}
	/** The machine was suspended; the wall clock may have been set as well. */
		| {readonly type: 'slept'; readonly suspendedMs: number}
	/** Only the wall clock jumped. */
		| {readonly type: 'wallJump'; readonly jumpMs: number}
	/** The machine may have been suspended: no trusted boot clock is available to decide. */
		| {readonly type: 'unclear'; readonly jumpMs: number};

/** Smallest deviation between two clocks that counts as a jump: far above their drift between two comparisons. */
export const jumpMs = 100;
/** Deviation from the monotonic clock between two readings that the 10 ms resolution of the boot clock explains. */
const bootToleranceMs = 25;
/** Consecutive comparisons consistent with the monotonic clock after which the boot clock is trusted. */
const comparisonsToTrust = 5;

/** Compares the clocks of a machine to distinguish suspensions from jumps of the wall clock. */
export class ClockComparer {
	/**
	Creates a comparer.
	@param reading - the current readings, with which the first comparison is made.
	*/
	static create(reading: ClockReading): ClockComparer {
		return new ClockComparer(reading);
	}

	/** Consecutive comparisons at which the boot clock was consistent with the monotonic clock. */
	private consistentComparisons = 0;

	private constructor(private lastReading: ClockReading) {}

	/** Whether the boot clock is trusted to distinguish a suspension from a jump of the wall clock. */
	get isBootClockTrusted(): boolean {
		return this.consistentComparisons >= comparisonsToTrust;
	}

	/**
	Returns whether the clocks must be compared now; cheap enough (a few subtractions) for each reading of the time.
	@param steadyMs - reading of the monotonic clock.
	@param wallMs - reading of the wall clock.
	*/
	hasJumped(steadyMs: number, wallMs: number): boolean {
		return Math.abs(wallMs - this.lastReading.wallMs - (steadyMs - this.lastReading.steadyMs)) > jumpMs;
	}

	/**
	Compares all clocks; called periodically and whenever the wall clock has jumped.
	@param reading - the current readings.
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

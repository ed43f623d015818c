/** The clock of the machine, which also counts the time for which the machine was suspended. */
import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import type {Clock, Suspension} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import {Emitter} from '../common/emitter.js';
import {ClockComparer, type ClockReading} from '../common/clock-comparer.js';
import {guard} from '../common/unexpected-errors.js';

/** Interval of the periodic comparison of the clocks: reading the boot clock takes about 7 µs, too long for each reading of the time. */
const defaultCompareIntervalMs = 1000;
/** Longest delay that the timers of Node.js keep; with a longer one they run at once. */
const maxTimerMs = (2 ** 31) - 1;

/** A timer that has not run. It keeps its due time, because the timers of Node.js do not count the time of a suspension. */
type PendingTimer = {readonly dueMs: number; readonly run: () => void; handle: NodeJS.Timeout};

/** The clocks of a machine. */
export type MachineClocks = {
	steadyMs(): number;
	wallMs(): number;
	/** Undefined where there is no boot clock. */
	bootMs(): number | undefined;
};

const machineClocks: MachineClocks = {steadyMs: () => performance.now(), wallMs: () => Date.now(), bootMs: () => uptime() * 1000};

/**
Time and timers of the running process. `nowMs` includes the time of a suspension from the first call after the machine resumed,
so that no decision is based on a stale time; timers that became due during the suspension run at once.
*/
export class SystemClock implements Clock {
	/**
	Creates a clock.
	@param clocks - the clocks of the machine; tests pass simulated ones.
	@param compareIntervalMs - interval of their periodic comparison.
	*/
	static create(clocks: MachineClocks = machineClocks, compareIntervalMs = defaultCompareIntervalMs): SystemClock {
		return new SystemClock(clocks, compareIntervalMs);
	}

	private readonly didResume = Emitter.create<Suspension>();
	private readonly pending = new Set<PendingTimer>();
	private readonly clockComparer: ClockComparer;
	/** Time of all confirmed suspensions, which the monotonic clock did not count. */
	private suspendedMs = 0;
	private readonly compareTimer: NodeJS.Timeout;

	private constructor(private readonly clocks: MachineClocks, compareIntervalMs: number) {
		this.clockComparer = ClockComparer.create(this.readClocks());
		this.compareTimer = setInterval(() => {
			this.compareClocks();
		}, compareIntervalMs);
		// The interval must not keep the process alive.
		this.compareTimer.unref();
	}

	/** Whether a suspension can be distinguished from a jump of the wall clock. */
	get isBootClockTrusted(): boolean {
		return this.clockComparer.isBootClockTrusted;
	}

	get onDidResume() {
		return this.didResume.event;
	}

	nowMs(): number {
		const steadyMs = this.clocks.steadyMs();
		if (this.clockComparer.hasJumped(steadyMs, this.clocks.wallMs())) {
			this.compareClocks();
		}

		return steadyMs + this.suspendedMs;
	}

	wallMs(): number {
		return this.clocks.wallMs();
	}

	setTimer(delayMs: number, run: () => void): Disposable {
		const item: PendingTimer = {dueMs: this.nowMs() + delayMs, run, handle: this.arm(delayMs, () => item)};
		this.pending.add(item);
		return {
			dispose: () => {
				clearTimeout(item.handle);
				this.pending.delete(item);
			},
		};
	}

	private arm(delayMs: number, itemOf: () => PendingTimer): NodeJS.Timeout {
		return setTimeout(() => {
			const item = itemOf();
			if (delayMs > maxTimerMs) {
				item.handle = this.arm(item.dueMs - this.nowMs(), itemOf);
				return;
			}

			this.pending.delete(item);
			guard('timer', item.run);
		}, Math.min(maxTimerMs, Math.max(0, delayMs)));
	}

	private readClocks(): ClockReading {
		const {clocks} = this;
		return {steadyMs: clocks.steadyMs(), wallMs: clocks.wallMs(), bootMs: clocks.bootMs()};
	}

	private compareClocks(): void {
		const jump = this.clockComparer.compare(this.readClocks());
		if (jump.type === 'none' || jump.type === 'wallJump') {
			return;
		}

		const isConfirmed = jump.type === 'slept';
		this.suspendedMs += isConfirmed ? jump.suspendedMs : 0;
		// Deferred to a later turn of the event loop: the code that reads the time must not be interrupted by timers and listeners.
		setImmediate(() => {
			this.rearmTimers();
			this.didResume.fire({forMs: isConfirmed ? jump.suspendedMs : jump.jumpMs, isSure: isConfirmed});
		});
	}

	/** Schedules all timers anew. Node.js measures them with the monotonic clock, so they would run late by the time of the suspension. */
	private rearmTimers(): void {
		const nowMs = this.nowMs();
		for (const item of this.pending) {
			clearTimeout(item.handle);
			item.handle = this.arm(item.dueMs - nowMs, () => item);
		}
	}
}

/** The machine's own time: what has passed, whether the machine was awake or not. */
import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import type {Clock, Suspension} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import {Emitter} from '../common/emitter.js';
import {ClockComparer, type ClockReading} from '../common/clock-comparer.js';

/** How often the clocks are compared without an occasion: reading the boot clock takes about 7 us. */
const defaultCompareIntervalMs = 1000;

/** A timer that has not run: by what is due, since the process's own timers do not count sleep. */
type PendingTimer = {readonly dueMs: number; readonly run: () => void; handle: NodeJS.Timeout};

/** The clocks of a machine. */
export type MachineClocks = {
	steadyMs(): number;
	wallMs(): number;
	/** Nothing where there is no boot clock. */
	bootMs(): number | undefined;
};

const machineClocks: MachineClocks = {steadyMs: () => performance.now(), wallMs: () => Date.now(), bootMs: () => uptime() * 1000};

/**
Time and timers of the running process. `nowMs` counts the time that the machine slept, from the first call after it woke,
before anything is decided by it; timers that fell due meanwhile run at once.
*/
export class SystemClock implements Clock {
	/**
	Makes a clock.
	@param clocks - of the machine, unless a test gives others.
	@param compareIntervalMs - how often they are compared without an occasion.
	*/
	static create(clocks: MachineClocks = machineClocks, compareIntervalMs = defaultCompareIntervalMs): SystemClock {
		return new SystemClock(clocks, compareIntervalMs);
	}

	private readonly didResume = Emitter.create<Suspension>();
	private readonly pending = new Set<PendingTimer>();
	private readonly clockComparer: ClockComparer;
	/** Time that the steady clock did not count. */
	private suspendedMs = 0;
	private readonly compareTimer: NodeJS.Timeout;

	private constructor(private readonly clocks: MachineClocks, compareIntervalMs: number) {
		this.clockComparer = ClockComparer.create(this.readClocks());
		this.compareTimer = setInterval(() => {
			this.compareClocks();
		}, compareIntervalMs);
		// It ends with the process, and holds it up for nothing.
		this.compareTimer.unref();
	}

	/** Whether a sleep can be told from a jump of the time of day. */
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
			this.pending.delete(item);
			item.run();
		}, Math.max(0, delayMs));
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
		// On a later turn: whoever asked for the time is in the middle of something.
		setImmediate(() => {
			this.rearmTimers();
			this.didResume.fire({forMs: isConfirmed ? jump.suspendedMs : jump.jumpMs, isSure: isConfirmed});
		});
	}

	/** Timers go by the steady clock: what fell due during the sleep would come as much too late. */
	private rearmTimers(): void {
		const nowMs = this.nowMs();
		for (const item of this.pending) {
			clearTimeout(item.handle);
			item.handle = this.arm(item.dueMs - nowMs, () => item);
		}
	}
}

/** The machine's own time: what has passed, whether the machine was awake or not. */
import {uptime} from 'node:os';
import {performance} from 'node:perf_hooks';
import type {Clock, Sleep} from '../common/clock.js';
import type {Disposable} from '../common/disposable.js';
import {Emitter} from '../common/emitter.js';
import {SleepWatch, type ClockReading} from '../common/sleep-watch.js';

/** How often the clocks are compared without an occasion: reading the boot clock takes about 7 us. */
const compareMs = 1000;

/** A timer that has not run: by what is due, since the process's own timers do not count sleep. */
type Pending = {readonly dueMs: number; readonly run: () => void; handle: NodeJS.Timeout};

/** The clocks of a machine. */
export type MachineClocks = {
	steadyMs(): number;
	wallMs(): number;
	/** Nothing where there is no boot clock. */
	bootMs(): number | undefined;
};

const ownClocks: MachineClocks = {steadyMs: () => performance.now(), wallMs: () => Date.now(), bootMs: () => uptime() * 1000};

/**
Time and timers of the running process. `nowMs` counts the time that the machine slept, from the first call after it woke,
before anything is decided by it; timers that fell due meanwhile run at once.
*/
export class SystemClock implements Clock {
	/**
	Makes a clock.
	@param clocks - of the machine, unless a test gives others.
	@param compareEveryMs - how often they are compared without an occasion.
	*/
	static create(clocks: MachineClocks = ownClocks, compareEveryMs = compareMs): SystemClock {
		return new SystemClock(clocks, compareEveryMs);
	}

	private readonly didSleep = Emitter.create<Sleep>();
	private readonly pending = new Set<Pending>();
	private readonly watch: SleepWatch;
	/** Time that the steady clock did not count. */
	private sleptMs = 0;
	private readonly comparing: NodeJS.Timeout;

	private constructor(private readonly clocks: MachineClocks, compareEveryMs: number) {
		this.watch = SleepWatch.create(this.read());
		this.comparing = setInterval(() => {
			this.compare();
		}, compareEveryMs);
		// It ends with the process, and holds it up for nothing.
		this.comparing.unref();
	}

	/** Whether a sleep can be told from a jump of the time of day. */
	get isBootBelieved(): boolean {
		return this.watch.isBootBelieved;
	}

	get onDidSleep() {
		return this.didSleep.event;
	}

	nowMs(): number {
		const steadyMs = this.clocks.steadyMs();
		if (this.watch.isJump(steadyMs, this.clocks.wallMs())) {
			this.compare();
		}

		return steadyMs + this.sleptMs;
	}

	wallMs(): number {
		return this.clocks.wallMs();
	}

	setTimer(delayMs: number, run: () => void): Disposable {
		const item: Pending = {dueMs: this.nowMs() + delayMs, run, handle: this.arm(delayMs, () => item)};
		this.pending.add(item);
		return {
			dispose: () => {
				clearTimeout(item.handle);
				this.pending.delete(item);
			},
		};
	}

	private arm(delayMs: number, itemOf: () => Pending): NodeJS.Timeout {
		return setTimeout(() => {
			const item = itemOf();
			this.pending.delete(item);
			item.run();
		}, Math.max(0, delayMs));
	}

	private read(): ClockReading {
		const {clocks} = this;
		return {steadyMs: clocks.steadyMs(), wallMs: clocks.wallMs(), bootMs: clocks.bootMs()};
	}

	private compare(): void {
		const verdict = this.watch.compare(this.read());
		if (verdict.type === 'none' || verdict.type === 'wallJump') {
			return;
		}

		const isSure = verdict.type === 'slept';
		this.sleptMs += isSure ? verdict.sleptMs : 0;
		// On a later turn: whoever asked for the time is in the middle of something.
		setImmediate(() => {
			this.rearm();
			this.didSleep.fire({forMs: isSure ? verdict.sleptMs : verdict.jumpMs, isSure});
		});
	}

	/** Timers go by the steady clock: what fell due during the sleep would come as much too late. */
	private rearm(): void {
		const nowMs = this.nowMs();
		for (const item of this.pending) {
			clearTimeout(item.handle);
			item.handle = this.arm(item.dueMs - nowMs, () => item);
		}
	}
}

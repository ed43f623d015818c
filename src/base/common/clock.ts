/** Time from outside, so that decisions can be replayed. */
import type {InjectionToken} from 'tsyringe';
import type {Disposable} from './disposable.js';
import {Emitter, type Event} from './emitter.js';

/** The machine slept, or may have. */
export type Suspension = {
	readonly forMs: number;
	/** Whether it is known to have slept, so that `nowMs` has counted it; otherwise only the time of day jumped for sure. */
	readonly isSure: boolean;
};

/** A source of time and timers. */
export type Clock = {
	/** Fires after the machine woke; timers that fell due meanwhile run from then on. */
	readonly onDidResume: Event<Suspension>;
	/** Milliseconds since an arbitrary start; never goes back, and counts the time that the machine slept. */
	nowMs(): number;
	/** Milliseconds since the Unix epoch; may jump. */
	wallMs(): number;
	/**
	Runs a function later, once.
	@param delayMs - how long to wait.
	@param run - what to run.
	@returns disposing cancels it.
	*/
	setTimer(delayMs: number, run: () => void): Disposable;
};

export const clockToken: InjectionToken<Clock> = Symbol('Clock');

/**
Runs a function again and again, waiting after each run.
@param clock - the time source.
@param intervalMs - gives the wait before each run.
@param run - what to run.
@returns disposing ends the series.
*/
export function setRepeating(clock: Clock, intervalMs: () => number, run: () => void | Promise<void>): Disposable {
	let isStopped = false;
	let timer: Disposable;
	const runOnce = async () => {
		await run();
		if (!isStopped) {
			arm();
		}
	};

	const arm = () => {
		timer = clock.setTimer(intervalMs(), () => {
			void runOnce();
		});
	};

	arm();
	return {
		dispose() {
			isStopped = true;
			timer.dispose();
		},
	};
}

type PendingTimer = {readonly dueMs: number; readonly run: () => void};

/** A clock that moves only when told: for tests, fuzzing and benches. */
export class ManualClock implements Clock {
	static create(startMs = 0): ManualClock {
		return new ManualClock(startMs);
	}

	private readonly pending = new Set<PendingTimer>();
	private readonly didResume = Emitter.create<Suspension>();

	private currentMs: number;

	private constructor(startMs: number) {
		this.currentMs = startMs;
	}

	get onDidResume() {
		return this.didResume.event;
	}

	nowMs(): number {
		return this.currentMs;
	}

	wallMs(): number {
		return 1_700_000_000_000 + this.currentMs;
	}

	setTimer(delayMs: number, run: () => void): Disposable {
		const item: PendingTimer = {dueMs: this.currentMs + Math.max(0, delayMs), run};
		this.pending.add(item);
		return {
			dispose: () => {
				this.pending.delete(item);
			},
		};
	}

	/**
	Moves time on and runs the timers that fall due, in order.
	@param byMs - how far.
	*/
	advance(byMs: number): void {
		const untilMs = this.currentMs + byMs;
		for (;;) {
			const next = this.nextDue(untilMs);
			if (!next) {
				break;
			}

			this.pending.delete(next);
			this.currentMs = Math.max(this.currentMs, next.dueMs);
			next.run();
		}

		this.currentMs = untilMs;
	}

	/**
	The machine sleeps: time passes, and no timer runs before it wakes.
	@param forMs - how long.
	*/
	suspend(forMs: number): void {
		this.currentMs += forMs;
		this.didResume.fire({forMs, isSure: true});
		this.advance(0);
	}

	private nextDue(untilMs: number): PendingTimer | undefined {
		let next: PendingTimer | undefined;
		for (const item of this.pending) {
			if (item.dueMs <= untilMs && (!next || item.dueMs < next.dueMs)) {
				next = item;
			}
		}

		return next;
	}
}

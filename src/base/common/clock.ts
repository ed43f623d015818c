/** Time and timers as an injected dependency, so that decisions can be replayed in tests. */
import type {InjectionToken} from 'tsyringe';
import type {Disposable} from './disposable.js';
import {Emitter, type Event} from './emitter.js';
import {detach, reportUnexpectedError} from './unexpected-errors.js';

/** The machine was suspended, or may have been. */
export type Suspension = {
	/** Duration of the suspension or, if it is not confirmed, size of the jump of the wall clock. */
	readonly forMs: number;
	/** Whether the suspension is confirmed, so that `nowMs` includes it; otherwise it is only certain that the wall clock jumped. */
	readonly isSure: boolean;
};

/** A source of time and timers. */
export type Clock = {
	/** Fires after the machine has resumed; timers that became due during the suspension run from then on. */
	readonly onDidResume: Event<Suspension>;
	/** Milliseconds since an arbitrary start; monotonic, and includes the time for which the machine was suspended. */
	nowMs(): number;
	/** Wall-clock time in milliseconds since the Unix epoch; may jump. */
	wallMs(): number;
	/**
	Runs a function once, after a delay.
	@param delayMs - the delay.
	@param run - the function.
	@returns a disposable that cancels the timer.
	*/
	setTimer(delayMs: number, run: () => void): Disposable;
};

export const clockToken: InjectionToken<Clock> = Symbol('Clock');

/** Delay of a timer from which this process is assumed to have been frozen or suspended, and not to have read what arrived meanwhile. */
const hostPauseThresholdMs = 400;
/** Time given to read the sockets after a pause: timers run before sockets are read, and on resumption all overdue timers fire at once. */
const socketReadDelayMs = 50;

/**
Runs a function repeatedly; the wait before the next run begins when the former run has finished. An error of one run is reported, and does not end the repetition.
@param clock - the time source.
@param intervalMs - returns the wait before the next run.
@param run - the function; `wasPaused` is true if it runs so late that this process must have been paused.
@returns a disposable that stops the repetition.
*/
export function setRepeating(clock: Clock, intervalMs: () => number, run: (wasPaused: boolean) => void | Promise<void>): Disposable {
	let isStopped = false;
	let timer: Disposable;
	const runOnce = async (wasPaused: boolean) => {
		try {
			await run(wasPaused);
		} catch (error) {
			reportUnexpectedError('repeated work', error);
		}

		if (!isStopped) {
			arm();
		}
	};

	const arm = () => {
		const delayMs = intervalMs();
		const dueMs = clock.nowMs() + delayMs;
		timer = clock.setTimer(delayMs, () => {
			detach('repeated work', runOnce(clock.nowMs() - dueMs >= hostPauseThresholdMs));
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

/**
Runs a function once, when a reply is overdue or a peer silent. After a pause of this process it waits until the sockets have been read, so that a
peer is not judged while its reply is still unread.
@param clock - the time source.
@param delayMs - the delay.
@param run - the function.
@returns a disposable that cancels the timer.
*/
export function setReplyTimer(clock: Clock, delayMs: number, run: () => void): Disposable {
	const dueMs = clock.nowMs() + delayMs;
	let timer = clock.setTimer(delayMs, () => {
		if (clock.nowMs() - dueMs < hostPauseThresholdMs) {
			run();
		} else {
			timer = clock.setTimer(socketReadDelayMs, run);
		}
	});
	return {
		dispose() {
			timer.dispose();
		},
	};
}

type PendingTimer = {readonly dueMs: number; readonly run: () => void};

/** A clock that advances only on request: for tests, fuzzing and benchmarks. */
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
	Advances the time and runs the timers that become due, in order of their due times.
	@param byMs - the time to add.
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
	Simulates a suspension: time passes, and no timer runs before the machine resumes.
	@param forMs - duration of the suspension.
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

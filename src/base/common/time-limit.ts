/** Time limits of calls. */
import type {Clock} from './clock.js';
import {DisposableStore, toDisposable, type Disposable} from './disposable.js';
import {UnavailableError} from './errors.js';

/**
Gives a call up after a time, or as soon as its maker stops.

The timer itself holds the limit. A combined signal (`AbortSignal.any`) does not hold the timeout signals it is made of:
the runtime drops them with a garbage collection, and a call on a silent connection then never ends.
*/
export class TimeLimit implements Disposable {
	/**
	Begins a limit.
	@param clock - the time.
	@param limitMs - how long the call may take.
	@param stop - gives the call up early.
	*/
	static create(clock: Clock, limitMs: number, stop: AbortSignal): TimeLimit {
		return new TimeLimit(clock, limitMs, stop);
	}

	private readonly controller = new AbortController();
	private readonly owned = DisposableStore.create();
	private dueMs: number;
	private timer: Disposable | undefined;
	private isDisposed = false;

	private constructor(private readonly clock: Clock, limitMs: number, stop: AbortSignal) {
		this.dueMs = clock.nowMs() + limitMs;
		if (stop.aborted) {
			this.abort();
			return;
		}

		const onStop = () => {
			this.abort();
		};

		stop.addEventListener('abort', onStop, {once: true});
		this.owned.add(toDisposable(() => {
			stop.removeEventListener('abort', onStop);
		}));
		this.arm();
	}

	/** Aborted once the call is given up. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/**
	The call goes on: it is not given up before some more time has passed. It never has less time than before.
	@param moreMs - counted from now.
	*/
	extend(moreMs: number): void {
		const dueMs = this.clock.nowMs() + moreMs;
		if (!this.isDisposed && dueMs > this.dueMs) {
			this.dueMs = dueMs;
			this.arm();
		}
	}

	/** Gives the call up now. */
	abort(): void {
		this.dispose();
		this.controller.abort(new UnavailableError('given up'));
	}

	/** The call has ended; nothing gives it up any more. */
	dispose(): void {
		this.isDisposed = true;
		this.timer?.dispose();
		this.owned.dispose();
	}

	private arm(): void {
		this.timer?.dispose();
		this.timer = this.clock.setTimer(this.dueMs - this.clock.nowMs(), () => {
			this.abort();
		});
	}
}

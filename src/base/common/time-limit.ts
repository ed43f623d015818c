/** Time limits of calls. */
import type {Clock} from './clock.js';
import {DisposableStore, toDisposable, type Disposable} from './disposable.js';
import {UnavailableError} from './errors.js';

/**
Aborts a call when its time limit is reached, or as soon as its owner stops.

The limit is kept alive by its own timer. A combined signal (`AbortSignal.any`) holds no strong reference to the timeout signals that
it combines: a garbage collection drops them, and a call on a silent connection then never ends.
*/
export class TimeLimit implements Disposable {
	/**
	Starts the time limit.
	@param clock - the time source.
	@param limitMs - longest duration of the call.
	@param stop - aborts the call early.
	*/
	static create(clock: Clock, limitMs: number, stop: AbortSignal): TimeLimit {
		return new TimeLimit(clock, limitMs, stop);
	}

	private readonly controller = new AbortController();
	private readonly disposables = DisposableStore.create();
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
		this.disposables.add(toDisposable(() => {
			stop.removeEventListener('abort', onStop);
		}));
		this.arm();
	}

	/** Signal that aborts the call. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/**
	Extends the limit of a call that makes progress. It never shortens the limit.
	@param moreMs - time for which the call is not aborted, counted from now.
	*/
	extend(moreMs: number): void {
		const dueMs = this.clock.nowMs() + moreMs;
		if (!this.isDisposed && dueMs > this.dueMs) {
			this.dueMs = dueMs;
			this.arm();
		}
	}

	/** Aborts the call now. */
	abort(): void {
		this.dispose();
		this.controller.abort(new UnavailableError('the call was aborted: its time limit was reached, or its owner stopped'));
	}

	/** Ends the limit, so that the call is no longer aborted; used when the call has finished. */
	dispose(): void {
		this.isDisposed = true;
		this.timer?.dispose();
		this.disposables.dispose();
	}

	private arm(): void {
		this.timer?.dispose();
		this.timer = this.clock.setTimer(this.dueMs - this.clock.nowMs(), () => {
			this.abort();
		});
	}
}

/** Time limits of calls. */
import type {Clock} from './clock.js';
import {DisposableStore, type Disposable} from './disposable.js';
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

	private constructor(clock: Clock, limitMs: number, stop: AbortSignal) {
		const giveUp = () => {
			this.dispose();
			this.controller.abort(new UnavailableError('given up'));
		};

		if (stop.aborted) {
			giveUp();
			return;
		}

		stop.addEventListener('abort', giveUp, {once: true});
		this.owned.add({
			dispose() {
				stop.removeEventListener('abort', giveUp);
			},
		});
		this.owned.add(clock.setTimer(limitMs, giveUp));
	}

	/** Aborted once the call is given up. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** The call has ended; nothing gives it up any more. */
	dispose(): void {
		this.owned.dispose();
	}
}

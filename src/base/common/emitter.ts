/** Typed events. */
import {toDisposable, type Disposable} from './disposable.js';
import {reportUnexpectedError} from './unexpected-errors.js';

/** Registers a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Fires an event to its listeners in order of registration. */
export class Emitter<T> implements Disposable {
	static create<T>(): Emitter<T> {
		return new Emitter<T>();
	}

	private readonly entries = new Set<{listener: (value: T) => void}>();

	/** The function with which listeners subscribe. */
	get event(): Event<T> {
		return listener => {
			const entry = {listener};
			this.entries.add(entry);
			return toDisposable(() => {
				this.entries.delete(entry);
			});
		};
	}

	/**
	Calls each listener that is registered at the time of the call; later changes to the listeners take effect from the next event. What a listener throws is
	reported as an unexpected error; the event has happened for the other listeners, and for the code that fires it, all the same.
	@param value - the event data.
	*/
	fire(value: T): void {
		for (const entry of [...this.entries]) {
			try {
				entry.listener(value);
			} catch (error) {
				reportUnexpectedError('event listener', error);
			}
		}
	}

	dispose(): void {
		this.entries.clear();
	}
}

/** Ownership of resources: code that creates a resource registers it with an owner immediately. */
import {guard} from './unexpected-errors.js';

/** An object that holds a resource until it is disposed; disposing it twice has no further effect. */
export type Disposable = {
	dispose(): void;
};

/**
Creates a disposable from a function, which runs at most once.
@param release - frees the resource.
@returns the disposable.
*/
export function toDisposable(release: () => void): Disposable {
	let isDisposed = false;
	return {
		dispose() {
			if (!isDisposed) {
				isDisposed = true;
				release();
			}
		},
	};
}

/** Owns disposables and disposes them in reverse order of registration. */
export class DisposableStore implements Disposable {
	static create(): DisposableStore {
		return new DisposableStore();
	}

	private readonly items = new Set<Disposable>();
	private isDisposed = false;

	/**
	Takes ownership of an item; one that is added after the store was disposed is disposed immediately.
	@param item - the item to own.
	@returns the item.
	*/
	add<T extends Disposable>(item: T): T {
		if (this.isDisposed) {
			item.dispose();
		} else {
			this.items.add(item);
		}

		return item;
	}

	/**
	Disposes one item now and no longer owns it.
	@param item - an owned item.
	*/
	release(item: Disposable): void {
		this.items.delete(item);
		item.dispose();
	}

	/** Disposes all items; what one of them throws is reported. */
	dispose(): void {
		this.isDisposed = true;
		const items = [...this.items].toReversed();
		this.items.clear();
		for (const item of items) {
			guard('disposal', () => {
				item.dispose();
			});
		}
	}
}

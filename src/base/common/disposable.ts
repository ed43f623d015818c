/** Ownership: whoever makes a resource registers it with an owner at once. */

/** Something that holds a resource until disposed; disposing twice is harmless. */
export type Disposable = {
	dispose(): void;
};

/**
Makes a disposable of a function that runs at most once.
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

/** Owns disposables and frees them in reverse order of registration. */
export class DisposableStore implements Disposable {
	static create(): DisposableStore {
		return new DisposableStore();
	}

	private readonly items = new Set<Disposable>();
	private isDisposed = false;

	/**
	Takes ownership; an item added after disposal is freed at once.
	@param item - what to own.
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
	Frees one item now and gives it up.
	@param item - an owned item.
	*/
	release(item: Disposable): void {
		this.items.delete(item);
		item.dispose();
	}

	dispose(): void {
		this.isDisposed = true;
		const items = [...this.items].toReversed();
		this.items.clear();
		for (const item of items) {
			item.dispose();
		}
	}
}

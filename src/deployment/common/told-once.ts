/** Whose strange words were told already: a server that repeats them in each answer costs one log line. */

/** Names that are remembered; beyond them the list is begun anew. */
const mostRemembered = 1000;

/** Remembers whom was told of. */
export class ToldOnce {
	static create(): ToldOnce {
		return new ToldOnce();
	}

	private readonly told = new Set<string>();

	/**
	Tells whether this is the first time for a name, and remembers it.
	@param name - of a server.
	*/
	isFirst(name: string): boolean {
		if (this.told.has(name)) {
			return false;
		}

		if (this.told.size >= mostRemembered) {
			this.told.clear();
		}

		this.told.add(name);
		return true;
	}

	/**
	A server is gone.
	@param name - its name.
	*/
	forget(name: string): void {
		this.told.delete(name);
	}
}

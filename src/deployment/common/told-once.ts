/** Limits log lines to one per server: a server that repeats malformed values in each response costs only one line. */

/** Maximum number of names that are remembered; beyond it all are cleared. */
const mostRemembered = 1000;

/** Remembers the servers for which a line was logged. */
export class ToldOnce {
	static create(): ToldOnce {
		return new ToldOnce();
	}

	private readonly told = new Set<string>();

	/**
	Returns whether this is the first call for a name, and remembers the name.
	@param name - name of a server.
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
	Removes a server that is gone.
	@param name - its name.
	*/
	forget(name: string): void {
		this.told.delete(name);
	}
}

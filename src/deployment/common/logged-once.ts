/** Limits log lines to one per server: a server that repeats malformed values in each response costs only one line. */

/** Maximum number of names that are remembered; beyond it all are cleared. */
const maxRemembered = 1000;

/** Remembers the servers for which a line was logged. */
export class LoggedOnce {
	static create(): LoggedOnce {
		return new LoggedOnce();
	}

	private readonly logged = new Set<string>();

	/**
	Returns whether this is the first call for a name, and remembers the name.
	@param name - name of a server.
	*/
	isFirst(name: string): boolean {
		if (this.logged.has(name)) {
			return false;
		}

		if (this.logged.size >= maxRemembered) {
			this.logged.clear();
		}

		this.logged.add(name);
		return true;
	}

	/**
	Removes a server that is gone.
	@param name - its name.
	*/
	forget(name: string): void {
		this.logged.delete(name);
	}
}

/** The requests that a host is serving, by ids that are unique on this host. */

/**
Maximum length of a caller's ID that is also the ID on this host. Messages between hosts carry IDs derived from it, with up to 128
characters, and a host closes the link on which it receives a longer one.
*/
const maxOwnIdLength = 100;

/** Keeps the ids of open requests, by which messages are matched to their request. */
export class OpenRequests {
	static create(): OpenRequests {
		return new OpenRequests();
	}

	private readonly ids = new Set<string>();
	private serial = 0;

	get size(): number {
		return this.ids.size;
	}

	add(requestId: string): void {
		this.ids.add(requestId);
	}

	delete(requestId: string): void {
		this.ids.delete(requestId);
	}

	/**
	Returns the id of a request on this host: the caller's, made unique if it is in use by another request, or a serial id if it is
	empty or too long.
	@param callerRequestId - the caller's id.
	*/
	uniqueIdFor(callerRequestId: string): string {
		const ownId = callerRequestId.length > maxOwnIdLength ? '' : callerRequestId;
		let uniqueId = ownId;
		while (uniqueId === '' || this.ids.has(uniqueId)) {
			this.serial++;
			uniqueId = `${ownId}~${this.serial}`;
		}

		return uniqueId;
	}
}

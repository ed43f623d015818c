/**
Paces the requests that a host sends to its peers for an update. Every peer that has the update announces it at once, and all replies
share this host's link. One peer is asked at a time, with a longer timeout before each next one, so that a link that is too
busy for the replies receives fewer of them.
*/

/** Initial timeout of a request: many times what a reply of typical size takes on a slow link. */
const initialTimeoutMs = 400;
/** Upper bound of the timeout: a silent peer is considered lost after 1.6 s. */
const maxTimeoutMs = 1600;

/** Tracks the requests for one kind of update. */
export class PeerRequestPacer {
	static create(): PeerRequestPacer {
		return new PeerRequestPacer();
	}

	private pending: {readonly hostId: string; readonly atMs: number} | undefined;
	private timeoutMs = initialTimeoutMs;

	/**
	Checks whether a request may be sent to a peer.
	@param nowMs - the current time.
	*/
	maySend(nowMs: number): boolean {
		return this.pending === undefined || nowMs - this.pending.atMs >= this.timeoutMs;
	}

	/**
	Records that a request was sent. If the peer that was asked before has not replied, the timeout doubles.
	@param hostId - the peer.
	@param nowMs - the current time.
	*/
	recordRequest(hostId: string, nowMs: number): void {
		this.timeoutMs = this.pending === undefined ? initialTimeoutMs : Math.min(maxTimeoutMs, this.timeoutMs * 2);
		this.pending = {hostId, atMs: nowMs};
	}

	/**
	Records a reply. Only a reply from the peer that was asked last completes the request: a late one from another peer says nothing about it.
	@param hostId - the peer.
	@param nowMs - the current time.
	@returns the time since the request in milliseconds; `undefined` if another peer was asked since.
	*/
	recordReply(hostId: string, nowMs: number): number | undefined {
		if (this.pending?.hostId !== hostId) {
			return undefined;
		}

		const durationMs = nowMs - this.pending.atMs;
		this.pending = undefined;
		return durationMs;
	}
}

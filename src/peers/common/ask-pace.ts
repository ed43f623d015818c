/**
Paces the requests that a host sends to its peers for an update. Every peer that has the update announces it at once, and all replies
share this host's link. One peer is asked at a time, with a longer timeout before each next one, so that a link that is too
busy for the replies receives fewer of them.
*/

/** Initial timeout of a request: many times what a reply of typical size takes on a slow link. */
const firstWaitMs = 400;
/** Upper bound of the timeout: a silent peer is considered lost after 1.6 s. */
const longestWaitMs = 1600;

/** Tracks the requests for one kind of update. */
export class AskPace {
	static create(): AskPace {
		return new AskPace();
	}

	private asked: {readonly hostId: string; readonly atMs: number} | undefined;
	private waitMs = firstWaitMs;

	/**
	Checks whether a request may be sent to a peer.
	@param nowMs - the current time.
	*/
	mayAsk(nowMs: number): boolean {
		return this.asked === undefined || nowMs - this.asked.atMs >= this.waitMs;
	}

	/**
	Records that a request was sent. If the peer that was asked before has not replied, the timeout doubles.
	@param hostId - the peer.
	@param nowMs - the current time.
	*/
	ask(hostId: string, nowMs: number): void {
		this.waitMs = this.asked === undefined ? firstWaitMs : Math.min(longestWaitMs, this.waitMs * 2);
		this.asked = {hostId, atMs: nowMs};
	}

	/**
	Records a reply. Only a reply from the peer that was asked last completes the request: a late one from another peer says nothing about it.
	@param hostId - the peer.
	@param nowMs - the current time.
	@returns the time since the request in milliseconds; `undefined` if another peer was asked since.
	*/
	answered(hostId: string, nowMs: number): number | undefined {
		if (this.asked?.hostId !== hostId) {
			return undefined;
		}

		const tookMs = nowMs - this.asked.atMs;
		this.asked = undefined;
		return tookMs;
	}
}

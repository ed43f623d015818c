/**
When a host asks a peer for news, and when another. Every peer that has them says so at once, and each answer is taken
from the same link: one is asked at a time, and the next one later each time, so that a link that is too full for the
answers gets fewer of them.
*/

/** A peer that was asked is given this long at first: many times what an answer of usual size takes on a thin link. */
const firstWaitMs = 400;
/** Longest time a peer is given: a silent one is lost after 1.6 s. */
const longestWaitMs = 1600;

/** Follows what was asked for one kind of news. */
export class AskPace {
	static create(): AskPace {
		return new AskPace();
	}

	private asked: {readonly hostId: string; readonly atMs: number} | undefined;
	private waitMs = firstWaitMs;

	/**
	Tells whether a peer may be asked.
	@param nowMs - the time.
	*/
	mayAsk(nowMs: number): boolean {
		return this.asked === undefined || nowMs - this.asked.atMs >= this.waitMs;
	}

	/**
	A peer was asked; the one asked before did not answer.
	@param hostId - the peer.
	@param nowMs - the time.
	*/
	ask(hostId: string, nowMs: number): void {
		this.waitMs = this.asked === undefined ? firstWaitMs : Math.min(longestWaitMs, this.waitMs * 2);
		this.asked = {hostId, atMs: nowMs};
	}

	/**
	A peer answered. Only the one that was asked last ends the waiting: the late answer of another says nothing of it.
	@param hostId - the peer.
	@param nowMs - the time.
	@returns how long after it was asked; nothing where another was asked since.
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

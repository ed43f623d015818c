/**
Whether a peer needs a beat on a connection: where nothing else has told it that this host lives, where what this host
has in force has changed, or where it was last told a while ago. Every message counts as a sign of life, and hosts under
load say something to each other several times a second; beats beside that cost each of them the most.
*/

/** A sign of life is due after this long. */
export const beatMs = 500;
/** What is in force is told again after this long: a peer that asked for it and got no answer asks at the next beat. */
export const tellAgainMs = 1000;

/** What was last said to a peer on one connection. */
export class BeatNeed {
	static create(): BeatNeed {
		return new BeatNeed();
	}

	private spokeMs = -Infinity;
	private toldState = '';
	private toldMs = -Infinity;

	/** Something was sent. */
	spoke(nowMs: number): void {
		this.spokeMs = nowMs;
	}

	/**
	A beat was sent.
	@param state - what it told, as a text to compare.
	@param nowMs - the time.
	*/
	told(state: string, nowMs: number): void {
		this.spoke(nowMs);
		this.toldState = state;
		this.toldMs = nowMs;
	}

	/**
	Tells whether a beat is needed.
	@param state - what it would tell.
	@param nowMs - the time.
	*/
	isNeeded(state: string, nowMs: number): boolean {
		return state !== this.toldState || nowMs - this.spokeMs >= beatMs || nowMs - this.toldMs >= tellAgainMs;
	}
}

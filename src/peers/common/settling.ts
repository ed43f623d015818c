/**
Whether a host that has just started has met its peers, so that it names the same host as they do for work that one host
does for all. Until then it knows a part of them: where 18 hosts started at once, each took itself for the one that
batches, for three seconds; their calls of one piece each took the upstreams' whole time, and what came after was late.
*/

/** With no peer that has settled itself, nothing new for this long says that all have met: addresses are told every half a second. */
const quietMs = 700;
/** After this long a host goes by what it knows: peers may be told of that no longer live. */
const longestMs = 2500;

/** What a host sees of its peers. */
export type PeersSeen = {
	/** Peers that are connected and have told what they know. */
	readonly peers: number;
	/** Addresses that peers told of where nobody is connected. */
	readonly unmet: number;
	/** Whether a connected peer has settled: then it has told of all there are. */
	readonly hasSettledPeer: boolean;
};

/** Follows one host from its start on. */
export class Settling {
	/**
	Begins to follow.
	@param hasSeeds - whether the host knows an address where a peer may listen; without any it has none to meet.
	@param nowMs - the time of its start.
	*/
	static create(hasSeeds: boolean, nowMs: number): Settling {
		return new Settling(!hasSeeds, nowMs);
	}

	private newsMs: number;
	private seen = '';

	private constructor(private isOver: boolean, private readonly startMs: number) {
		this.newsMs = startMs;
	}

	/** Whether the host has settled; it stays so. */
	get isSettled(): boolean {
		return this.isOver;
	}

	/**
	Looks at the peers.
	@param seen - what the host sees of them now.
	@param nowMs - the time.
	@returns whether the host has settled by this.
	*/
	look({peers, unmet, hasSettledPeer}: PeersSeen, nowMs: number): boolean {
		if (this.isOver) {
			return false;
		}

		const seen = `${peers} ${unmet}`;
		this.newsMs = seen === this.seen ? this.newsMs : nowMs;
		this.seen = seen;
		const hasMetAll = peers > 0 && unmet === 0 && (hasSettledPeer || nowMs - this.newsMs >= quietMs);
		this.isOver = hasMetAll || nowMs - this.startMs >= longestMs;
		return this.isOver;
	}
}

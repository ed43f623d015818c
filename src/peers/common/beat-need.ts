/**
Whether a peer needs a beat on a connection: where nothing else has told it that this host lives, where what this host
has in force has changed, or where it was last told a while ago. Every message counts as a sign of life, and hosts under
load say something to each other several times a second; beats beside that were most of what they said.
*/
import {isHighCapacity} from '../../routing/common/host-capacity.js';

/** A sign of life is due after this long, where one of the two does work for the other. */
export const beatMs = 500;
/** The same between two hosts that do none for each other; only their number counts then. */
const rareBeatMs = 2000;
/** What is in force is told again after this many signs of life: a peer that asked for it and got no answer asks at the next beat. */
const signsPerTelling = 2;
/** A connection without any message for this many times the time that was told is dead: three beats, one of them lost. */
const silentBeats = 3.2;

/**
Tells how often two hosts need signs of life from each other. Hosts with little room batch, read and gather for nobody:
between two of them a loss may be noticed late. At 68 hosts, 53 of them thin, each thin one hears 56 signs a second
where it would hear 134.
@param rooms - of the two for shared work.
@param mostRoom - of the roomiest host there is.
*/
export function beatIntervalMs(rooms: readonly [number, number], mostRoom: number): number {
	return rooms.some(room => isHighCapacity(room, mostRoom)) ? beatMs : rareBeatMs;
}

/**
Tells how long a connection may be silent before it is dead.
@param intervalMs - how often the other side says something, as it told; absent where it does not tell.
*/
export function longestSilenceMs(intervalMs: number | undefined): number {
	return silentBeats * (intervalMs ?? beatMs);
}

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
	@param intervalMs - how often the peer needs a sign of life.
	@param nowMs - the time.
	*/
	isNeeded(state: string, intervalMs: number, nowMs: number): boolean {
		return state !== this.toldState || nowMs - this.spokeMs >= intervalMs || nowMs - this.toldMs >= signsPerTelling * intervalMs;
	}
}

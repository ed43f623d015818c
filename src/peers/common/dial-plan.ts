/**
Which of the addresses that a host knows it dials, and when. One connection between two hosts carries all they say; a
second one doubles the handshakes of a start and the beats ever after. With 18 hosts of an eighth of a core that
started at once, two connections a pair took 3.4 s until all had met; of that time a host worked for itself alone.
*/
import {hashText} from '../../base/common/hash.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';

/** The side of a pair that does not dial first gives the other this long: a start takes a thin host about a second. */
const yieldMs = 1500;

/** An address, and since when nobody who listens there has been met. */
type Known = {readonly isSeed: boolean; unmetSinceMs: number};

/** Follows the addresses of one host. */
export class DialPlan {
	/**
	Makes a plan without addresses.
	@param own - where the host itself listens; it is never dialled.
	*/
	static create(own: string): DialPlan {
		return new DialPlan(own);
	}

	private readonly known = new Map<string, Known>();

	private constructor(private readonly own: string) {}

	/** All addresses; the host's own is none. */
	get all(): string[] {
		return [...this.known.keys()];
	}

	/** Addresses of seeds; the host's own is none. */
	get seeds(): string[] {
		return [...this.known].filter(([, {isSeed}]) => isSeed).map(([endpoint]) => endpoint);
	}

	/**
	Takes in an address; one that no connection can be made to is passed over, whoever told it.
	@param endpoint - where a peer may listen.
	@param isSeed - whether it is one of the few through which hosts find each other.
	@param nowMs - the time.
	@returns whether it is news.
	*/
	add(endpoint: string, isSeed: boolean, nowMs: number): boolean {
		const known = this.known.get(endpoint);
		const isNews = endpoint !== this.own && (!known || (isSeed && !known.isSeed)) && parseEndpoint(endpoint) !== undefined;
		if (isNews) {
			this.known.set(endpoint, {isSeed, unmetSinceMs: known?.unmetSinceMs ?? nowMs});
		}

		return isNews;
	}

	/**
	Tells whether an address is a seed.
	@param endpoint - the address.
	*/
	isSeed(endpoint: string): boolean {
		return this.known.get(endpoint)?.isSeed === true;
	}

	/**
	An address is forgotten until it is added again.
	@param endpoint - the address.
	*/
	remove(endpoint: string): void {
		this.known.delete(endpoint);
	}

	/**
	Gives the addresses to dial now. A seed is dialled at once, as is every address of which this host is the first of
	the pair to dial; the others only where the peer has not come by itself.
	@param isMet - tells whether the host that listens at an address is connected, whoever dialled.
	@param nowMs - the time.
	*/
	due(isMet: (endpoint: string) => boolean, nowMs: number): string[] {
		const due: string[] = [];
		for (const [endpoint, known] of this.known) {
			if (isMet(endpoint)) {
				known.unmetSinceMs = nowMs;
			} else if (known.isSeed || this.isFirst(endpoint) || nowMs - known.unmetSinceMs >= yieldMs) {
				due.push(endpoint);
			}
		}

		return due;
	}

	/** Whether this host is the first of the pair to dial; each host is so in about half of its pairs. */
	private isFirst(endpoint: string): boolean {
		const [low, high] = [this.own, endpoint].toSorted();
		return (hashText(`${low}\n${high}`) % 2 === 0 ? low : high) === this.own;
	}
}

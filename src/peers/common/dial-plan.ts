/**
Decides which of the addresses that a host knows it dials, and when. One connection between two hosts carries all their messages; a
second one doubles the handshakes at startup and the heartbeats from then on. With 18 hosts of an eighth of a core that
started at once, two connections per pair took 3.4 s until all hosts were connected; during that time each host worked on its own.
*/
import {hashText} from '../../base/common/hash.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';

/** How long the side of a pair that does not dial first waits for the other: a low-capacity host takes about a second to start. */
const secondDialDelayMs = 1500;

/** An address, and the time since which the host that listens there has not been connected. */
type KnownAddress = {readonly isSeed: boolean; disconnectedSinceMs: number};

/** Tracks the addresses that one host may dial. */
export class DialPlan {
	/**
	Creates a plan without addresses.
	@param ownEndpoint - where the host itself listens; it is never dialed.
	*/
	static create(ownEndpoint: string): DialPlan {
		return new DialPlan(ownEndpoint);
	}

	private readonly addresses = new Map<string, KnownAddress>();

	private constructor(private readonly ownEndpoint: string) {}

	/** All known addresses, without the host's own. */
	get all(): string[] {
		return [...this.addresses.keys()];
	}

	/** Addresses of the seeds, without the host's own. */
	get seeds(): string[] {
		return [...this.addresses].filter(([, {isSeed}]) => isSeed).map(([endpoint]) => endpoint);
	}

	/**
	Adds an address; a malformed address is ignored, whoever reported it.
	@param endpoint - where a peer may listen.
	@param isSeed - whether it is one of the few through which hosts discover each other.
	@param nowMs - the current time.
	@returns whether the address is new, or was not known as a seed.
	*/
	add(endpoint: string, isSeed: boolean, nowMs: number): boolean {
		const known = this.addresses.get(endpoint);
		const isNew = endpoint !== this.ownEndpoint && (!known || (isSeed && !known.isSeed)) && parseEndpoint(endpoint) !== undefined;
		if (isNew) {
			this.addresses.set(endpoint, {isSeed, disconnectedSinceMs: known?.disconnectedSinceMs ?? nowMs});
		}

		return isNew;
	}

	/**
	Checks whether an address is a seed.
	@param endpoint - the address.
	*/
	isSeed(endpoint: string): boolean {
		return this.addresses.get(endpoint)?.isSeed === true;
	}

	/**
	Removes an address until it is added again.
	@param endpoint - the address.
	*/
	remove(endpoint: string): void {
		this.addresses.delete(endpoint);
	}

	/**
	Returns the addresses to dial now. A seed is dialed at once, as is every address for which this host is the first of
	the pair to dial; the others only if the peer has not connected by itself.
	@param isConnected - whether the host that listens at an address is connected, whichever side dialed.
	@param nowMs - the current time.
	*/
	due(isConnected: (endpoint: string) => boolean, nowMs: number): string[] {
		const due: string[] = [];
		for (const [endpoint, known] of this.addresses) {
			if (isConnected(endpoint)) {
				known.disconnectedSinceMs = nowMs;
			} else if (known.isSeed || this.dialsFirst(endpoint) || nowMs - known.disconnectedSinceMs >= secondDialDelayMs) {
				due.push(endpoint);
			}
		}

		return due;
	}

	/** Whether this host is the first of the pair to dial; each host is the first in about half of its pairs. */
	private dialsFirst(endpoint: string): boolean {
		const [low, high] = [this.ownEndpoint, endpoint].toSorted();
		return (hashText(`${low}\n${high}`) % 2 === 0 ? low : high) === this.ownEndpoint;
	}
}

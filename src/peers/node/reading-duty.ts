/**
Elects the hosts that read the platform's store for all. Each call to the store has a price, and many hosts that read the same feeds
read the same bytes: above a few hosts, three of them read and notify the others at once. A host relies on that only
while two of them had a response recently; otherwise it reads for itself, as all hosts do in a small deployment.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import {roomiestHosts} from '../../routing/common/host-room.js';
import {rendezvousOrder} from '../../routing/common/rendezvous.js';
import type {PeerMesh} from './peer-mesh.js';

/** With fewer hosts than this all of them read, because sharing would save little. */
const fewestHosts = 8;
/** Number of hosts that read: two may be lost at once. */
const readerCount = 3;
/** Number of readers that must have had a fresh response for another host to be on standby. */
const fewestFreshReaders = 2;
/** A response is fresh for this share of the time within which updates must be acted on. */
const freshShare = 0.6;
/** The store may hold a shared reader's call for this share of the time for which its responses are fresh, so that the next one arrives in time. */
const holdShare = 0.5;
/** Maximum hold of a call, and the hold where every host reads: a connection that was lost silently must be noticed before that matters. */
const usualHoldMs = 2000;
/** A host that had to read continues for this long, so that a slow store does not make it switch at each call. */
const readOnMs = 5000;
const dutyKey = 'readers of the store';

export const readingDutyToken: InjectionToken<ReadingDuty> = Symbol('ReaderElection');

/** Dependencies of `ReaderElection`. */
export type ReadingDutyOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work, in cores. */
	readonly room: number;
	readonly mesh: Pick<PeerMesh, 'liveRooms' | 'storeAgesMs'>;
	/** Time within which updates from the store must be acted on. */
	readonly newsWithinMs: number;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Decides whether this host reads the store. */
export class ReadingDuty {
	static create(options: ReadingDutyOptions): ReadingDuty {
		return new ReadingDuty(options);
	}

	/** The last decision; logged when it changes. */
	private isResting = false;
	/** Whether others have read for this host since it started. */
	private hasRested = false;
	private readOnUntilMs = 0;

	private constructor(private readonly options: ReadingDutyOptions) {}

	/** How long the store may hold a call before it responds. */
	get holdMs(): number {
		return this.isShared ? Math.min(usualHoldMs, this.freshMs * holdShare) : usualHoldMs;
	}

	/** Whether others read for this host now. */
	mayRest(): boolean {
		const mayRest = this.decide();
		this.hasRested ||= mayRest;
		if (mayRest !== this.isResting) {
			this.isResting = mayRest;
			this.options.log.info(mayRest ? 'Other hosts read the store for this one.' : 'This host reads the store itself.', {
				storeAgesMs: [...this.options.mesh.storeAgesMs.values()].map(ageMs => Math.round(ageMs)).join(' '),
			});
		}

		return mayRest;
	}

	private decide(): boolean {
		if (!this.isShared || this.isReader) {
			return false;
		}

		const {mesh, clock} = this.options;
		const nowMs = clock.nowMs();
		const freshReaders = [...mesh.storeAgesMs.values()].filter(ageMs => ageMs <= this.freshMs).length;
		if (freshReaders < fewestFreshReaders) {
			// A host that has just started reads only until it knows its peers, because what it reads fills its link.
			this.readOnUntilMs = this.hasRested ? nowMs + readOnMs : nowMs;
			return false;
		}

		return nowMs >= this.readOnUntilMs;
	}

	/** How long a response of the store is fresh. */
	private get freshMs(): number {
		return this.options.newsWithinMs * freshShare;
	}

	/** Whether there are enough hosts for some of them to read for all. */
	private get isShared(): boolean {
		return this.options.mesh.liveRooms.size + 1 >= fewestHosts;
	}

	/** Whether this host is among those that read for all; every host that sees the same peers elects the same readers. */
	private get isReader(): boolean {
		const {hostId, room, mesh} = this.options;
		const rooms = new Map([...mesh.liveRooms, [hostId, room]]);
		return rendezvousOrder(dutyKey, roomiestHosts(rooms), host => host).slice(0, readerCount).includes(hostId);
	}
}

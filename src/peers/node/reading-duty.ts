/**
Who reads the platform's store for whom. Each call to it has a price, and many hosts that read the same feeds
read the same bytes: above a few hosts, three of them read and tell the rest at once. A host trusts that only
while two of them had an answer a moment ago; otherwise it reads for itself, as all do in a small deployment.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
import {rendezvousOrder} from '../../routing/common/rendezvous.js';
import type {PeerMesh} from './peer-mesh.js';

/** With fewer hosts than this all read: sharing would save little there. */
const fewestHosts = 8;
/** Hosts that read: two may be lost at once. */
const readerCount = 3;
/** Readers that must have had a fresh answer for another host to rest. */
const fewestFreshReaders = 2;
/** An answer is fresh for this part of the time in which news must be acted on. */
const freshShare = 0.6;
/** The store may hold a shared reader's call for this part of the time its answers are fresh, so that the next is there in time. */
const holdShare = 0.5;
/** Longest hold of a call where every host reads: a silent cut must be noticed before it counts. */
const usualHoldMs = 2000;
/** A host that had to read goes on for this long: a slow store must not make it change its mind at each call. */
const readOnMs = 5000;
const dutyKey = 'readers of the store';

export const readingDutyToken: InjectionToken<ReadingDuty> = Symbol('ReadingDuty');

/** What the duty is made of. */
export type ReadingDutyOptions = {
	readonly hostId: string;
	/** This host's room for shared work. */
	readonly room: number;
	readonly mesh: Pick<PeerMesh, 'liveRooms' | 'storeAgesMs'>;
	/** Time within which what the store tells must be acted on. */
	readonly newsWithinMs: number;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Decides whether this host reads. */
export class ReadingDuty {
	static create(options: ReadingDutyOptions): ReadingDuty {
		return new ReadingDuty(options);
	}

	/** What was last decided; logged when it changes. */
	private isResting = false;
	/** Whether others have read for this host since it started. */
	private hasRested = false;
	private readOnUntilMs = 0;

	private constructor(private readonly options: ReadingDutyOptions) {}

	/** How long the store may hold a call. */
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
			// A host that has just started reads only until it knows its peers; what it reads fills its link.
			this.readOnUntilMs = this.hasRested ? nowMs + readOnMs : nowMs;
			return false;
		}

		return nowMs >= this.readOnUntilMs;
	}

	/** For how long an answer of the store is fresh. */
	private get freshMs(): number {
		return this.options.newsWithinMs * freshShare;
	}

	/** Whether there are so many hosts that some read for all. */
	private get isShared(): boolean {
		return this.options.mesh.liveRooms.size + 1 >= fewestHosts;
	}

	/** Whether this host is among those that read for all; every host that sees the same peers names the same ones. */
	private get isReader(): boolean {
		const {hostId, room, mesh} = this.options;
		const rooms = new Map([...mesh.liveRooms, [hostId, room]]);
		return rendezvousOrder(dutyKey, highCapacityHosts(rooms), host => host).slice(0, readerCount).includes(hostId);
	}
}

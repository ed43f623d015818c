/**
Elects the hosts that read the platform's store for all. Each call to the store has a cost, and many hosts that read the same feeds
read the same bytes: in all but small deployments, three hosts read and notify the others immediately. A host relies on them only
while two of them had a response recently; otherwise it reads for itself, as all hosts do in a small deployment.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import type {Logger} from '../../base/common/logger.js';
import {highCapacityHosts} from '../../routing/common/host-capacity.js';
import {rendezvousOrder} from '../../routing/common/rendezvous.js';
import type {PeerMesh} from './peer-mesh.js';

/** With fewer hosts than this all of them read, because sharing would save little. */
const minHostsForSharing = 8;
/** Number of hosts that read: two may be lost at once. */
const readerCount = 3;
/** Number of readers that must have had a fresh response for another host to be on standby. */
const minFreshReaders = 2;
/** A response is fresh for this share of the time within which updates must be acted on. */
const freshTimeShare = 0.6;
/** The store may hold the call of a host that reads for others for this share of the time for which its responses are fresh, so that the next one arrives in time. */
const holdTimeShare = 0.5;
/** Maximum hold of a call, and the hold where every host reads: a connection that was lost silently must be noticed before the loss matters. */
const maxHoldMs = 2000;
/** A host that had to read continues for this long, so that a slow store does not make it switch at each call. */
const minReadingMs = 5000;
const readerElectionKey = 'readers of the store';

export const readerElectionToken: InjectionToken<ReaderElection> = Symbol('ReaderElection');

/** Dependencies of `ReaderElection`. */
export type ReaderElectionOptions = {
	readonly hostId: string;
	/** This host's capacity for shared work, in cores. */
	readonly capacity: number;
	readonly mesh: Pick<PeerMesh, 'liveCapacities' | 'storeAgesMs'>;
	/** Time within which updates from the store must be acted on. */
	readonly actWithinMs: number;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Decides whether this host reads the store. */
export class ReaderElection {
	static create(options: ReaderElectionOptions): ReaderElection {
		return new ReaderElection(options);
	}

	/** The last decision; logged when it changes. */
	private isOnStandby = false;
	/** Whether others have read for this host since it started. */
	private hasBeenOnStandby = false;
	private readUntilMs = 0;

	private constructor(private readonly options: ReaderElectionOptions) {}

	/** How long the store may hold a call before it responds. */
	get holdMs(): number {
		return this.isReadingShared ? Math.min(maxHoldMs, this.freshMs * holdTimeShare) : maxHoldMs;
	}

	/** Whether others read for this host now. */
	mayStandBy(): boolean {
		const mayStandBy = this.decide();
		this.hasBeenOnStandby ||= mayStandBy;
		if (mayStandBy !== this.isOnStandby) {
			this.isOnStandby = mayStandBy;
			this.options.log.info(mayStandBy ? 'Other hosts read the store for this one.' : 'This host reads the store itself.', {
				storeAgesMs: [...this.options.mesh.storeAgesMs.values()].map(ageMs => Math.round(ageMs)).join(' '),
			});
		}

		return mayStandBy;
	}

	private decide(): boolean {
		if (!this.isReadingShared || this.isReader) {
			return false;
		}

		const {mesh, clock} = this.options;
		const nowMs = clock.nowMs();
		const freshReaders = [...mesh.storeAgesMs.values()].filter(ageMs => ageMs <= this.freshMs).length;
		if (freshReaders < minFreshReaders) {
			// A host that has just started reads only until it knows its peers, because what it reads fills its link.
			this.readUntilMs = this.hasBeenOnStandby ? nowMs + minReadingMs : nowMs;
			return false;
		}

		return nowMs >= this.readUntilMs;
	}

	/** How long a response of the store is fresh. */
	private get freshMs(): number {
		return this.options.actWithinMs * freshTimeShare;
	}

	/** Whether there are enough hosts for some of them to read for all. */
	private get isReadingShared(): boolean {
		return this.options.mesh.liveCapacities.size + 1 >= minHostsForSharing;
	}

	/** Whether this host is among those that read for all; every host that sees the same peers elects the same readers. */
	private get isReader(): boolean {
		const {hostId, capacity, mesh} = this.options;
		const capacities = new Map([...mesh.liveCapacities, [hostId, capacity]]);
		return rendezvousOrder(readerElectionKey, highCapacityHosts(capacities), host => host).slice(0, readerCount).includes(hostId);
	}
}

/** The status that an entry reports about itself and the fleet. */
import type {MemberState} from '../../membership/common/member-table.js';
import type {HostRevision} from '../../settings/common/revision-tracker.js';
import type {UpstreamLoad} from '../../wire/common/messages.js';

/** One upstream as this entry sees it. */
export type UpstreamStatus = {
	readonly upstreamId: string;
	readonly pool: string;
	readonly hall: string;
	readonly hostId: string;
	readonly incarnation: string;
	readonly state: MemberState;
	readonly isEjected: boolean;
	readonly inFlight: number;
	/** Response time relative to that of the same stages on other upstreams; 1 is typical. */
	readonly slowness?: number;
	readonly load?: UpstreamLoad;
};

/** One entry, and the hosts and upstreams as it sees them. */
export type EntryStatus = {
	readonly hostId: string;
	readonly hall: string;
	readonly incarnation: string;
	readonly phase: string;
	readonly notReadyReason?: string;
	readonly settingsRevision: number;
	readonly requestsInFlight: number;
	readonly droppedMessages: number;
	/** Epoch of the placement lease, if this entry holds it. */
	readonly leaseEpoch?: number;
	readonly hosts: readonly HostRevision[];
	readonly upstreams: readonly UpstreamStatus[];
};

/** What an entry tells of the fleet. */
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
	/** Answer time against what the same stages take elsewhere; 1 is usual. */
	readonly slowness?: number;
	readonly load?: UpstreamLoad;
};

/** One entry and what it sees. */
export type EntryStatus = {
	readonly hostId: string;
	readonly hall: string;
	readonly incarnation: string;
	readonly phase: string;
	readonly notReadyReason?: string;
	readonly settingsRevision: number;
	readonly requestsInFlight: number;
	readonly droppedMessages: number;
	/** Placement lease, where this entry holds it. */
	readonly leaseEpoch?: number;
	readonly hosts: readonly HostRevision[];
	readonly upstreams: readonly UpstreamStatus[];
};

/** Tracks the settings revision in force on each host, as last reported to this host. */
import type {Identity} from '../../wire/common/messages.js';

/** The revision that a host last reported. */
export type HostRevision = {
	readonly hostId: string;
	readonly role: Identity['role'];
	readonly hall: string;
	readonly revision: number;
	readonly heardMs: number;
};

/** Holds the last reported revision of each host. */
export class RevisionTracker {
	static create(): RevisionTracker {
		return new RevisionTracker();
	}

	private readonly hosts = new Map<string, HostRevision>();

	/**
	Records the revision that a host reported.
	@param identity - identity of the host.
	@param revision - the revision in force on it.
	@param nowMs - the current time in milliseconds.
	*/
	recordRevision(identity: Identity, revision: number, nowMs: number): void {
		const {hostId, role, hall} = identity;
		this.hosts.set(hostId, {
			hostId, role, hall, revision, heardMs: nowMs,
		});
	}

	/** Removes a host whose connection was closed. */
	removeHost(hostId: string): void {
		this.hosts.delete(hostId);
	}

	/** @returns the hosts that reported a revision, ordered by host id. */
	all(): HostRevision[] {
		return [...this.hosts.values()].toSorted((a, b) => a.hostId.localeCompare(b.hostId));
	}
}

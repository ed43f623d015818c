/** Which revision each host has in force, as far as it was heard here. */
import type {Identity} from '../../wire/common/messages.js';

/** One host on the board. */
export type HostRevision = {
	readonly hostId: string;
	readonly role: Identity['role'];
	readonly hall: string;
	readonly revision: number;
	readonly heardMs: number;
};

/** Keeps the last revision heard of each host. */
export class RevisionTracker {
	static create(): RevisionTracker {
		return new RevisionTracker();
	}

	private readonly hosts = new Map<string, HostRevision>();

	/**
	A host told its revision.
	@param identity - the host.
	@param revision - what it has in force.
	@param nowMs - the time.
	*/
	recordRevision(identity: Identity, revision: number, nowMs: number): void {
		const {hostId, role, hall} = identity;
		this.hosts.set(hostId, {
			hostId, role, hall, revision, heardMs: nowMs,
		});
	}

	/** A host is gone. */
	removeHost(hostId: string): void {
		this.hosts.delete(hostId);
	}

	/** @returns all hosts heard. */
	all(): HostRevision[] {
		return [...this.hosts.values()].toSorted((a, b) => a.hostId.localeCompare(b.hostId));
	}
}

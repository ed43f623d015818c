/**
Selects the upstreams that an entry connects to if there are too many to connect to all. Entries take slices of a
common order, so that every upstream is in about the same number of slices.
*/
import {hashText} from '../../base/common/hash.js';

/** A host with a stable id. */
export type HostIdentity = {readonly hostId: string};

/**
Selects an entry's slice of a pool.
@param pool - all hosts of the pool.
@param position - the index of the entry among all entries, from 0.
@param size - the number of hosts to select; a pool that is not larger is returned completely.
@returns the slice. The entries of one round share an order and take slices that do not overlap. Each round has its own
order, given by a hash, so that adding or removing a host changes few other assignments.
*/
export function subsetOf<T extends HostIdentity>(pool: readonly T[], position: number, size: number): T[] {
	if (pool.length <= size) {
		return [...pool];
	}

	const sliceCount = Math.ceil(pool.length / size);
	const round = Math.floor(position / sliceCount);
	const ordered = pool
		.map(host => ({host, key: hashText(host.hostId, round)}))
		.toSorted((a, b) => a.key - b.key || (a.host.hostId < b.host.hostId ? -1 : 1));
	const start = (position % sliceCount) * size;
	// The last slice wraps around to the start, so that every entry has the same number of hosts.
	return Array.from({length: size}, (_, offset) => ordered[(start + offset) % ordered.length].host);
}

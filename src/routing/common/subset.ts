/**
Which upstreams an entry connects to, where there are too many for all: slices of a
common order, so that each upstream is in as many entries' slices as any other.
*/
import {hashText} from '../../base/common/hash.js';

/** Something with a stable name. */
export type Named = {readonly hostId: string};

/**
Takes an entry's slice of a pool.
@param pool - all hosts of the pool.
@param position - the entry's place among all entries, from 0.
@param size - hosts wanted; a smaller pool is taken whole.
@returns the slice. Entries in one round share a common order and take slices that do
not overlap; each round has an order of its own, by hash, so that a host that comes or
goes moves few others.
*/
export function subsetOf<T extends Named>(pool: readonly T[], position: number, size: number): T[] {
	if (pool.length <= size) {
		return [...pool];
	}

	const slices = Math.ceil(pool.length / size);
	const round = Math.floor(position / slices);
	const ordered = pool
		.map(host => ({host, key: hashText(host.hostId, round)}))
		.toSorted((a, b) => a.key - b.key || (a.host.hostId < b.host.hostId ? -1 : 1));
	const start = (position % slices) * size;
	// The last slice is filled up from the front, so that no entry has fewer.
	return Array.from({length: size}, (_, offset) => ordered[(start + offset) % ordered.length].host);
}

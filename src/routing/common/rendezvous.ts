/** Rendezvous hashing: all hosts compute the same order of nodes for a key, and removing a node moves only the keys assigned to it. */
import {hashText} from '../../base/common/hash.js';

/**
Orders nodes by their preference for a key.
@param key - the key to assign.
@param places - the nodes that it may be assigned to.
@param nameOf - returns the name of a node, which must be the same on every host.
@returns the nodes, most preferred first.
*/
export function rendezvousOrder<T>(key: string, places: readonly T[], nameOf: (place: T) => string): T[] {
	return places
		.map(place => ({place, weight: weightOf(key, nameOf(place))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({place}) => place);
}

/**
Finds the most preferred node for a key.
@param key - the key to assign.
@param places - the names of the nodes, which must be the same on every host.
@returns the node, or undefined if there are no nodes.
*/
export function rendezvousOwner(key: string, places: readonly string[]): string | undefined {
	let owner: string | undefined;
	let best = -1;
	for (const place of places) {
		const weight = weightOf(key, place);
		if (weight > best) {
			best = weight;
			owner = place;
		}
	}

	return owner;
}

/**
Computes the position of one node in the order for a key.
@param key - the key to assign.
@param place - the name of the node.
@param places - the names of all nodes.
@returns the position; 0 for the most preferred node.
*/
export function rendezvousRank(key: string, place: string, places: readonly string[]): number {
	const own = weightOf(key, place);
	return places.filter(other => weightOf(key, other) > own).length;
}

function weightOf(key: string, place: string): number {
	return hashText(`${key}\n${place}`);
}

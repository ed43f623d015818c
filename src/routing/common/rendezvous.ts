/** Rendezvous hashing: every host gives a key the same order of places, and a place that leaves moves only its own keys. */
import {hashText} from '../../base/common/hash.js';

/**
Orders places for a key.
@param key - what is placed.
@param places - where it may go.
@param nameOf - names a place the same on every host.
@returns the places, the first choice first.
*/
export function rendezvousOrder<T>(key: string, places: readonly T[], nameOf: (place: T) => string): T[] {
	return places
		.map(place => ({place, weight: weightOf(key, nameOf(place))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({place}) => place);
}

/**
Gives the first choice of a key.
@param key - what is placed.
@param places - names of places, the same on every host.
@returns the place, or nothing where there are none.
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
Gives the position of one place in the order for a key; the first choice has 0.
@param key - what is placed.
@param place - the place.
@param places - names of all places.
*/
export function rendezvousRank(key: string, place: string, places: readonly string[]): number {
	const own = weightOf(key, place);
	return places.filter(other => weightOf(key, other) > own).length;
}

function weightOf(key: string, place: string): number {
	return hashText(`${key}\n${place}`);
}

/** Encodes a list as its difference from another one: the runs of the other list that are kept, and the new items between them, in order. */
import {z} from 'zod';

/** Consecutive items of the old list, by position. */
const runSchema = z.object({from: z.number().int().nonnegative(), count: z.number().int().positive()});
type Run = z.infer<typeof runSchema>;

/** One part of the new list. */
type ListPart<T> = Run | {items: T[]};
export type ListPatch<T> = Array<ListPart<T>>;

/**
Creates the schema of a patch.
@param item - schema of the list's items.
*/
export function listPatchSchema<T extends z.ZodType>(item: T) {
	return z.array(z.union([runSchema, z.object({items: z.array(item)})]));
}

/**
Makes the difference between two lists. Items count as kept only if they are the same object.
@param before - the list that the receiver has.
@param after - the list that the receiver is to have.
*/
export function makeListPatch<T>(before: readonly T[], after: readonly T[]): ListPatch<T> {
	const positions = new Map(before.map((item, position) => [item, position]));
	const parts: ListPatch<T> = [];
	for (const item of after) {
		const last = parts.at(-1);
		const position = positions.get(item);
		if (position === undefined) {
			if (last && 'items' in last) {
				last.items.push(item);
			} else {
				parts.push({items: [item]});
			}
		} else if (last && 'count' in last && last.from + last.count === position) {
			last.count++;
		} else {
			parts.push({from: position, count: 1});
		}
	}

	return parts;
}

/**
Applies a patch to a list; items that are kept are the same objects.
@param before - the list that the patch was made from.
@param patch - the difference.
@returns the new list, or undefined if the patch refers to items that the old list does not have.
*/
export function applyListPatch<T>(before: readonly T[], patch: ListPatch<T>): T[] | undefined {
	const isInRange = patch.every(part => 'items' in part || part.from + part.count <= before.length);
	return isInRange
		? patch.flatMap(part => 'items' in part ? part.items : before.slice(part.from, part.from + part.count))
		: undefined;
}

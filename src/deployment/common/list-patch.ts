/** A list told as its difference from another: which runs of the other stay, and what is new between them, in order. */
import {z} from 'zod';

/** Items of the list before, by position. */
const runSchema = z.object({from: z.number().int().nonnegative(), count: z.number().int().positive()});
type Run = z.infer<typeof runSchema>;

/** One part of the list after. */
type ListPart<T> = Run | {items: T[]};
export type ListPatch<T> = Array<ListPart<T>>;

/**
Makes the schema of a patch.
@param item - of what the list holds.
*/
export function listPatchSchema<T extends z.ZodType>(item: T) {
	return z.array(z.union([runSchema, z.object({items: z.array(item)})]));
}

/**
Tells the difference between two lists. Only the very same objects count as what stays.
@param before - the list that the receiver has.
@param after - the list that it shall have.
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
Makes the list after from the one before; what stays is the same object.
@param before - the list that the patch was made from.
@param patch - the difference.
@returns nothing where the patch names items that the list does not have.
*/
export function applyListPatch<T>(before: readonly T[], patch: ListPatch<T>): T[] | undefined {
	const isFitting = patch.every(part => 'items' in part || part.from + part.count <= before.length);
	return isFitting
		? patch.flatMap(part => 'items' in part ? part.items : before.slice(part.from, part.from + part.count))
		: undefined;
}

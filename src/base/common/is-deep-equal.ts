/** Compares values as JSON would tell them apart. */

/**
Tells whether two values hold the same, whatever the order of their fields.
@param left - made of plain objects, lists and simple values.
@param right - the same.
*/
export function isDeepEqual(left: unknown, right: unknown): boolean {
	if (Object.is(left, right)) {
		return true;
	}

	if (!isComposite(left) || !isComposite(right) || Array.isArray(left) !== Array.isArray(right)) {
		return false;
	}

	const keys = Object.keys(left);
	return keys.length === Object.keys(right).length && keys.every(key => Object.hasOwn(right, key) && isDeepEqual(left[key], right[key]));
}

function isComposite(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

/** Structural equality of plain objects, arrays and primitives. */

/**
Returns whether two values are structurally equal, regardless of the order of their fields.
@param left - a value of plain objects, arrays and primitives.
@param right - the value to compare with, of the same kinds.
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

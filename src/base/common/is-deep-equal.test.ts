import fc from 'fast-check';
import t from 'tap';
import {isDeepEqual} from './is-deep-equal.js';

t.test('values are equal if they differ at most in the order of their fields', async t => {
	t.equal(isDeepEqual({a: 1, b: [1, {c: 'x'}]}, {b: [1, {c: 'x'}], a: 1}), true);
	t.equal(isDeepEqual({a: 1}, {a: 1, b: undefined}), false);
	t.equal(isDeepEqual({a: 1}, {b: 1}), false);
	t.equal(isDeepEqual([], {}), false);
	t.equal(isDeepEqual([1, 2], [2, 1]), false);
	t.equal(isDeepEqual(undefined, {}), false);
	fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (left, right) => {
		t.equal(isDeepEqual(left, structuredClone(left)), true);
		if (JSON.stringify(left) === JSON.stringify(right)) {
			t.equal(isDeepEqual(left, right), true);
		}
	}), {seed: 1, numRuns: 200});
});

import fc from 'fast-check';
import t from 'tap';
import {isAlike} from './is-alike.js';

t.test('values are alike where JSON tells no difference but the order of fields', async t => {
	t.equal(isAlike({a: 1, b: [1, {c: 'x'}]}, {b: [1, {c: 'x'}], a: 1}), true);
	t.equal(isAlike({a: 1}, {a: 1, b: undefined}), false);
	t.equal(isAlike({a: 1}, {b: 1}), false);
	t.equal(isAlike([], {}), false);
	t.equal(isAlike([1, 2], [2, 1]), false);
	t.equal(isAlike(undefined, {}), false);
	fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (left, right) => {
		t.equal(isAlike(left, structuredClone(left)), true);
		if (JSON.stringify(left) === JSON.stringify(right)) {
			t.equal(isAlike(left, right), true);
		}
	}), {seed: 1, numRuns: 200});
});

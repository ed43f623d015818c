import t from 'tap';
import {sharedPartKeys} from './prompt-parts.js';

const partsOf = (...ids: string[]) => ids.map(id => ({id}));

t.test('the parts of a prompt but the last are shared, and named alike in upper and lower case', async t => {
	t.same(sharedPartKeys([]), []);
	t.same(sharedPartKeys(partsOf('ab')), []);
	t.same(sharedPartKeys(partsOf('5C1e', '91bd', '5c1E', 'e4')), ['5c1e', '91bd']);
});

t.test('keys are short and few, whatever a caller sends', async t => {
	const [long, odd] = sharedPartKeys(partsOf('a'.repeat(8000), 'no hex, and a\nline break', 'x'));
	t.match(long, /^x[\da-f]{16}$/v);
	t.match(odd, /^x[\da-f]{16}$/v);
	t.not(long, odd);
	t.equal(sharedPartKeys(partsOf(...Array.from({length: 10_000}, (_, index) => index.toString(16)))).length, 64);
});

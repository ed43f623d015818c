import t from 'tap';
import {sharedPartKeys} from './prompt-parts.js';

const partsOf = (...ids: string[]) => ids.map(id => ({id}));

t.test('the parts of a prompt but the last are shared, and named alike in upper and lower case', async t => {
	t.same(sharedPartKeys([]), []);
	t.same(sharedPartKeys(partsOf('ab')), []);
	t.same(sharedPartKeys(partsOf('5C1e', '91bd', '5c1E', 'e4')), ['5c1e', '91bd']);
});

t.test('keys are short, whatever a caller sends', async t => {
	const [long, odd] = sharedPartKeys(partsOf('a'.repeat(8000), 'no hex, and a\nline break', 'x'));
	t.match(long, /^x[\da-f]{16}$/v);
	t.match(odd, /^x[\da-f]{16}$/v);
	t.not(long, odd);
});

// Guards against parts that crash server after server because they are not among the first ones of their prompts.
t.test('each part of a prompt but the last has a key, however many there are', async t => {
	for (const count of [2, 64, 65, 70, 1000, 10_000]) {
		const ids = Array.from({length: count}, (_, index) => index.toString(16));
		t.same(sharedPartKeys(partsOf(...ids)), ids.slice(0, -1), `${count} parts`);
	}
});

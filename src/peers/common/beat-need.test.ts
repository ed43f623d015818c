import t from 'tap';
import {beatMs, BeatNeed, tellAgainMs} from './beat-need.js';

t.test('a beat is needed after a silence, not beside other messages', async t => {
	const need = BeatNeed.create();
	t.ok(need.isNeeded('a', 0), 'nothing was said yet');
	need.told('a', 0);
	t.notOk(need.isNeeded('a', beatMs - 1));
	t.ok(need.isNeeded('a', beatMs));
	need.spoke(beatMs - 1);
	t.notOk(need.isNeeded('a', tellAgainMs - 2));
});

t.test('news are told at once, whatever was said before', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(100);
	t.ok(need.isNeeded('b', 100));
});

t.test('what is in force is told again however much else is said', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(tellAgainMs - 1);
	t.notOk(need.isNeeded('a', tellAgainMs - 1));
	t.ok(need.isNeeded('a', tellAgainMs));
});

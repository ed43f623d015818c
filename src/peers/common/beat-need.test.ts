import t from 'tap';
import {
	beatIntervalMs, beatMs, BeatNeed, longestSilenceMs,
} from './beat-need.js';

const tellAgainMs = 2 * beatMs;

t.test('a beat is needed after a silence, not beside other messages', async t => {
	const need = BeatNeed.create();
	t.ok(need.isNeeded('a', beatMs, 0), 'nothing was said yet');
	need.told('a', 0);
	t.notOk(need.isNeeded('a', beatMs, beatMs - 1));
	t.ok(need.isNeeded('a', beatMs, beatMs));
	need.spoke(beatMs - 1);
	t.notOk(need.isNeeded('a', beatMs, tellAgainMs - 2));
});

t.test('news are told at once, whatever was said before', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(100);
	t.ok(need.isNeeded('b', beatMs, 100));
});

t.test('what is in force is told again however much else is said', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(tellAgainMs - 1);
	t.notOk(need.isNeeded('a', beatMs, tellAgainMs - 1));
	t.ok(need.isNeeded('a', beatMs, tellAgainMs));
});

t.test('two thin hosts seldom need a sign of life from each other, and are given as much more time', async t => {
	t.equal(beatIntervalMs([0.2, 1.35], 1.35), beatMs);
	t.equal(beatIntervalMs([1.35, 0.2], 1.35), beatMs);
	t.equal(beatIntervalMs([0.2, 0.2], 0.2), beatMs, 'alike hosts all do work for each other');
	t.equal(beatIntervalMs([0.2, 0.2], 1.35), 2000);
	t.equal(longestSilenceMs(2000), 6400);
	t.equal(longestSilenceMs(undefined), 1600, 'a host that does not tell says something every half a second');
});

/**
Pattern: a fleet of some roomy hosts and many thin ones. What a thin host hears for liveness grows with the roomy ones.
*/
t.test('signs of life a second to each thin host, by the size of the fleet', async t => {
	const signs = (roomy: number, thin: number) =>
		(roomy * 1000 / beatIntervalMs([0.2, 1.35], 1.35)) + ((thin - 1) * 1000 / beatIntervalMs([0.2, 0.2], 1.35));
	t.equal(signs(15, 53), 56);
	t.equal(signs(0, 68) > signs(15, 53), false);
});

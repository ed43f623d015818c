import t from 'tap';
import {
	beatIntervalMs, beatMs, BeatNeed, longestSilenceMs,
} from './beat-need.js';

const tellAgainMs = 2 * beatMs;

t.test('a heartbeat is due after a silence, not in addition to other messages', async t => {
	const need = BeatNeed.create();
	t.ok(need.isNeeded('a', beatMs, 0), 'nothing was sent yet');
	need.told('a', 0);
	t.notOk(need.isNeeded('a', beatMs, beatMs - 1));
	t.ok(need.isNeeded('a', beatMs, beatMs));
	need.spoke(beatMs - 1);
	t.notOk(need.isNeeded('a', beatMs, tellAgainMs - 2));
});

t.test('a changed state is sent at once, whatever was sent before', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(100);
	t.ok(need.isNeeded('b', beatMs, 100));
});

t.test('the state in force is sent again however many other messages are sent', async t => {
	const need = BeatNeed.create();
	need.told('a', 0);
	need.spoke(tellAgainMs - 1);
	t.notOk(need.isNeeded('a', beatMs, tellAgainMs - 1));
	t.ok(need.isNeeded('a', beatMs, tellAgainMs));
});

t.test('two low-capacity hosts need fewer signs of life from each other, and may be silent for longer in proportion', async t => {
	t.equal(beatIntervalMs([0.2, 1.35], 1.35), beatMs);
	t.equal(beatIntervalMs([1.35, 0.2], 1.35), beatMs);
	t.equal(beatIntervalMs([0.2, 0.2], 0.2), beatMs, 'hosts of equal capacity all do work for each other');
	t.equal(beatIntervalMs([0.2, 0.2], 1.35), 2000);
	t.equal(longestSilenceMs(2000), 6400);
	t.equal(longestSilenceMs(undefined), 1600, 'a host that announces no interval sends something every half a second');
});

/**
Models a fleet of some high-capacity hosts and many low-capacity ones. The signs of life that a low-capacity host receives grow with the number of
high-capacity ones.
*/
t.test('signs of life a second to each low-capacity host, by the size of the fleet', async t => {
	const signs = (roomy: number, thin: number) =>
		(roomy * 1000 / beatIntervalMs([0.2, 1.35], 1.35)) + ((thin - 1) * 1000 / beatIntervalMs([0.2, 0.2], 1.35));
	t.equal(signs(15, 53), 56);
	t.equal(signs(0, 68) > signs(15, 53), false);
});

import t from 'tap';
import {ManualClock} from './clock.js';
import {TimeLimit} from './time-limit.js';

t.test('a call is aborted when its time is over, not before', async t => {
	const clock = ManualClock.create();
	const limit = TimeLimit.create(clock, 100, new AbortController().signal);
	clock.advance(99);
	t.equal(limit.signal.aborted, false);
	clock.advance(1);
	t.equal(limit.signal.aborted, true);
});

t.test('a call is aborted when its owner stops, and so is a call that begins afterwards', async t => {
	const clock = ManualClock.create();
	const stop = new AbortController();
	const limit = TimeLimit.create(clock, 100, stop.signal);
	stop.abort();
	t.equal(limit.signal.aborted, true);
	t.equal(TimeLimit.create(clock, 100, stop.signal).signal.aborted, true);
});

t.test('a call that has ended is not aborted', async t => {
	const clock = ManualClock.create();
	const stop = new AbortController();
	const limit = TimeLimit.create(clock, 100, stop.signal);
	limit.dispose();
	clock.advance(200);
	stop.abort();
	t.equal(limit.signal.aborted, false);
});

t.test('extending a limit gives a call more time, never less', async t => {
	const clock = ManualClock.create();
	const limit = TimeLimit.create(clock, 100, new AbortController().signal);
	limit.extend(10);
	clock.advance(99);
	t.equal(limit.signal.aborted, false, 'an extension does not shorten the initial limit');
	limit.extend(50);
	clock.advance(49);
	t.equal(limit.signal.aborted, false);
	clock.advance(1);
	t.equal(limit.signal.aborted, true);
});

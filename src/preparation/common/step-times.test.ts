import t from 'tap';
import {StepTimes} from './step-times.js';

t.test('the usual time of a pool follows what its steps take; one that gave way for long moves it little', async t => {
	const times = StepTimes.create();
	t.equal(times.usualMs('p'), undefined);
	for (let index = 0; index < 30; index++) {
		times.record('p', 300);
	}

	t.equal(times.usualMs('p'), 300);
	times.record('p', 30_000);
	t.equal(times.usualMs('p'), 360);
	for (let index = 0; index < 30; index++) {
		times.record('p', 700);
	}

	t.ok(times.usualMs('p')! > 650);
	t.equal(times.usualMs('q'), undefined, 'each pool for itself');
});

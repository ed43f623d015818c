import t from 'tap';
import {StepTimes} from './step-times.js';

t.test('the typical duration of a pool\'s steps follows their actual duration, and one outlier changes it little', async t => {
	const times = StepTimes.create();
	t.equal(times.typicalMs('p'), undefined);
	for (let index = 0; index < 30; index++) {
		times.record('p', 300);
	}

	t.equal(times.typicalMs('p'), 300);
	times.record('p', 30_000);
	t.equal(times.typicalMs('p'), 360);
	for (let index = 0; index < 30; index++) {
		times.record('p', 700);
	}

	t.ok(times.typicalMs('p')! > 650);
	t.equal(times.typicalMs('q'), undefined, 'each pool has its own value');
});

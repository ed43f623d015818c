import t from 'tap';
import {FirstTryEstimator} from './first-try-estimator.js';

t.test('a caller with less remaining time than others of its route is taken for a returning one', async t => {
	const estimator = FirstTryEstimator.create();
	t.equal(estimator.sinceFirstTryMs('r', 6000, 6000, 0), 0);
	t.equal(estimator.sinceFirstTryMs('r', 6000, 5200, 10), 800);
	t.equal(estimator.sinceFirstTryMs('r', 6000, 6100, 20), 0, 'more time than the route allows gives no negative result');
	t.equal(estimator.sinceFirstTryMs('r', 6000, undefined, 30), 0, 'no remaining time was stated');
});

t.test('callers that always wait for less than their route allows are not taken for returning ones', async t => {
	const tries = FirstTryEstimator.create();
	for (let index = 0; index < 30; index++) {
		tries.sinceFirstTryMs('r', 9000, 6000, index);
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 6000, 100), 0);
	t.equal(tries.sinceFirstTryMs('r', 9000, 5000, 100), 1000);
	t.equal(tries.sinceFirstTryMs('other', 9000, 5000, 100), 4000, 'routes are independent of each other');
	for (let index = 0; index < 60; index++) {
		tries.sinceFirstTryMs('r', 9000, 3000, 12_000 + (index * 300));
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 3000, 32_000), 0, 'a change of the limit takes effect within two windows');
});

/*
Guards against first tries being taken for returning callers. Callers of one route had different time limits, spread evenly over
15% of the longest, and none was returning. The difference to the longest remaining time was taken for time that had passed. With
a target of 1,600 ms and normal load, half of all first tries counted as first sent at least 300 ms ago, and a tenth at least 700 ms
ago. Their steps were treated as late and queued behind others, or abandoned.
*/
t.test('callers with different limits are not taken for returning ones, except those with far less time than any other', async t => {
	const tries = FirstTryEstimator.create();
	const sinceMs = [];
	for (let index = 0; index < 60; index++) {
		sinceMs.push(tries.sinceFirstTryMs('r', 10_000, 8500 + ((index * 7919) % 1500), index * 100));
	}

	t.ok(sinceMs.slice(20).filter(each => each === 0).length >= 34, `${sinceMs.join(' ')}`);
	const backMs = tries.sinceFirstTryMs('r', 10_000, 6500, 6100);
	t.ok(backMs >= 2000 && backMs <= 3500, `${backMs}`);
});

t.test('after an outage in which a third of the callers return, first tries are still recognized', async t => {
	const tries = FirstTryEstimator.create();
	for (let index = 0; index < 60; index++) {
		tries.sinceFirstTryMs('r', 10_000, index % 3 === 0 ? 7000 - (index * 10) : 10_000, index * 100);
	}

	t.equal(tries.sinceFirstTryMs('r', 10_000, 10_000, 6100), 0);
	t.equal(tries.sinceFirstTryMs('r', 10_000, 8000, 6100), 2000);
});

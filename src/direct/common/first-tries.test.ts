import t from 'tap';
import {FirstTries} from './first-tries.js';

t.test('a caller that has less time left than others of its route has asked before', async t => {
	const tries = FirstTries.create();
	t.equal(tries.sinceFirstTryMs('r', 6000, 6000, 0), 0);
	t.equal(tries.sinceFirstTryMs('r', 6000, 5200, 10), 800);
	t.equal(tries.sinceFirstTryMs('r', 6000, 6100, 20), 0, 'more than the route allows is no debt');
	t.equal(tries.sinceFirstTryMs('r', 6000, undefined, 30), 0, 'nothing said, nothing known');
});

t.test('callers that always wait less than their route allows are not taken for returning ones', async t => {
	const tries = FirstTries.create();
	for (let index = 0; index < 30; index++) {
		tries.sinceFirstTryMs('r', 9000, 6000, index);
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 6000, 100), 0);
	t.equal(tries.sinceFirstTryMs('r', 9000, 5000, 100), 1000);
	t.equal(tries.sinceFirstTryMs('other', 9000, 5000, 100), 4000, 'each route for itself');
	for (let index = 0; index < 60; index++) {
		tries.sinceFirstTryMs('r', 9000, 3000, 12_000 + (index * 300));
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 3000, 32_000), 0, 'a change is followed within two windows');
});

import t from 'tap';
import {SeededRandom} from '../../base/common/random.js';
import {FirstTryEstimator, type CallerRoute} from './first-try-estimator.js';

t.test('a caller with less remaining time than others of its route is taken for a returning one', async t => {
	const estimator = FirstTryEstimator.create();
	t.equal(estimator.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 6000}, 6000, 0), 0);
	t.equal(estimator.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 6000}, 5200, 10), 800);
	t.equal(estimator.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 6000}, 6100, 20), 0, 'more time than the route allows gives no negative result');
	t.equal(estimator.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 6000}, undefined, 30), 0, 'no remaining time was stated');
});

t.test('callers that always wait for less than their route allows are not taken for returning ones', async t => {
	const tries = FirstTryEstimator.create();
	for (let index = 0; index < 30; index++) {
		tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 6000, index);
	}

	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 6000, 100), 0);
	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 5000, 100), 1000);
	t.equal(tries.sinceFirstTryMs({name: 'other', kind: 'stream', timeoutMs: 9000}, 5000, 100), 4000, 'routes are independent of each other');
	for (let index = 0; index < 60; index++) {
		tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 3000, 12_000 + (index * 300));
	}

	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 3000, 32_000), 0, 'a change of the limit takes effect within two windows');
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
		sinceMs.push(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 10_000}, 8500 + ((index * 7919) % 1500), index * 100));
	}

	t.equal(sinceMs.slice(20).filter(each => each > 0).length, 0, `${sinceMs.join(' ')}`);
	const backMs = tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 10_000}, 6500, 6100);
	t.ok(backMs >= 2000 && backMs <= 3500, `${backMs}`);
});

t.test('after an outage in which a third of the callers return, first tries are still recognized', async t => {
	const tries = FirstTryEstimator.create();
	for (let index = 0; index < 60; index++) {
		tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 10_000}, index % 3 === 0 ? 7000 - (index * 10) : 10_000, index * 100);
	}

	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 10_000}, 10_000, 6100), 0);
	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 10_000}, 8000, 6100), 2000);
});

/**
Draws the limit of a caller: limits are spread evenly over 15% of the longest.
@returns the limit, as a share of the route's time limit.
*/
function drawLimitShare(random: SeededRandom): number {
	return 0.85 + (0.15 * random.next());
}

const seeds = [1, 2, 3];
const rareRoutes = Array.from({length: 8}, (_, index): CallerRoute => ({name: `rare${index}`, kind: 'stream', timeoutMs: 6000 + (index * 2000)}));

/*
Guards against first tries being taken for returning callers on routes with few samples. Each route here receives one request in
8 s, so it never has 5 samples, and its own time limit was used: a first try counted as up to 15% of the limit old.
*/
t.test('on a route with few requests, the limits of callers of other routes of its kind are used', async t => {
	for (const seed of seeds) {
		const random = SeededRandom.create(seed);
		const tries = FirstTryEstimator.create();
		const sinceMs = Array.from({length: 400}, (_, index) => {
			const route = rareRoutes[index % rareRoutes.length];
			return tries.sinceFirstTryMs(route, route.timeoutMs * drawLimitShare(random), index * 1000);
		});
		const lateCount = sinceMs.slice(20).filter(each => each > 0).length;
		t.ok(lateCount <= 19, `seed ${seed}: ${lateCount} of 380 first tries taken for returning callers, at most 5% allowed`);
		const backMs = tries.sinceFirstTryMs(rareRoutes[0], 3000, 400_000);
		t.ok(backMs >= 2000 && backMs <= 2700, `seed ${seed}: a caller with half of the limit left: ${backMs} ms`);
	}
});

// Guards against callers that return being missed where callers state the whole limit, and against samples of another kind being used.
t.test('on a route with few requests, its own limit is used where callers of its kind state the whole limit, or are few', async t => {
	const tries = FirstTryEstimator.create();
	for (const [index, route] of [...rareRoutes, ...rareRoutes].entries()) {
		tries.sinceFirstTryMs(route, route.timeoutMs, index * 500);
		tries.sinceFirstTryMs({...route, name: `once${index}`, kind: 'once'}, route.timeoutMs * (0.85 + (index * 0.009)), index * 500);
	}

	t.equal(tries.sinceFirstTryMs({name: 'new', kind: 'stream', timeoutMs: 20_000}, 18_000, 8000), 2000);
	t.equal(tries.sinceFirstTryMs({name: 'new', kind: 'repeatable', timeoutMs: 20_000}, 18_000, 8000), 2000);
	t.equal(tries.sinceFirstTryMs({name: 'new', kind: 'once', timeoutMs: 20_000}, 18_000, 8000), 0);
});

// Guards against the callers with the shortest limits being taken for returning ones: this was so for the lowest tenth of all first tries.
t.test('where limits differ, hardly any first try is taken for a returning caller', async t => {
	for (const intervalMs of [100, 500, 1500]) {
		for (const seed of seeds) {
			const random = SeededRandom.create(seed);
			const tries = FirstTryEstimator.create();
			const route: CallerRoute = {name: 'r', kind: 'stream', timeoutMs: 20_000};
			const sinceMs = Array.from({length: 1000}, (_, index) => {
				const other = rareRoutes[index % rareRoutes.length];
				tries.sinceFirstTryMs(other, other.timeoutMs * drawLimitShare(random), index * intervalMs);
				return tries.sinceFirstTryMs(route, route.timeoutMs * drawLimitShare(random), index * intervalMs);
			});
			const lateCount = sinceMs.slice(20).filter(each => each > 0).length;
			t.ok(lateCount <= 20, `a request every ${intervalMs} ms, seed ${seed}: ${lateCount} of 980, at most 2% allowed`);
		}
	}
});

// Guards against a spread that is widened by returning callers so far that none of them is recognized, or so little that first tries are taken for them.
t.test('where limits differ and a third of the callers return, both are told apart', async t => {
	for (const seed of seeds) {
		const random = SeededRandom.create(seed);
		const tries = FirstTryEstimator.create();
		const route: CallerRoute = {name: 'r', kind: 'stream', timeoutMs: 20_000};
		let lateCount = 0;
		for (let index = 0; index < 1000; index++) {
			const limitMs = route.timeoutMs * drawLimitShare(random);
			const isBack = index % 3 === 0;
			const passedShare = isBack ? 0.1 + (random.next() * ((1 / 3) - 0.1)) : 0;
			const sinceMs = tries.sinceFirstTryMs(route, limitMs * (1 - passedShare), index * 100);
			lateCount += !isBack && index >= 20 && sinceMs > 0 ? 1 : 0;
		}

		t.ok(lateCount <= 6, `seed ${seed}: ${lateCount} of 653 first tries taken for returning callers, at most 1% allowed`);
		for (const limitShare of [0.85, 0.9, 0.95, 1]) {
			const sinceMs = tries.sinceFirstTryMs(route, route.timeoutMs * limitShare * 2 / 3, 100_000);
			t.ok(sinceMs >= 3000, `seed ${seed}: returned after a third of ${limitShare} of the limit: ${sinceMs} ms`);
		}
	}
});

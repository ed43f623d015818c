import t from 'tap';
import {ReportedWaits} from './reported-waits.js';

t.test('a pool whose queue has emptied is reported once', async t => {
	const waits = ReportedWaits.create();
	const pools = new Map([['p', {waitMs: (rank: number) => rank * 10.4}]]);
	t.same(waits.updates(pools), [{pool: 'p', waitMsByRank: [0, 10, 21, 31, 42, 52]}]);
	pools.set('p', {waitMs: () => 0});
	t.same(waits.updates(pools), [{pool: 'p', waitMsByRank: [0, 0, 0, 0, 0, 0]}]);
	t.same(waits.updates(pools), []);
});

t.test('a reported wait is valid for a limited time, and higher ranks wait as long as the last one reported', async t => {
	const waits = ReportedWaits.create();
	t.equal(waits.waitMs('p', 0, 0), 0);
	waits.record({pool: 'p', waitMsByRank: [1, 2, 3, 4, 5, 6]}, 1000);
	t.equal(waits.waitMs('p', 9, 1499), 6);
	t.equal(waits.waitMs('p', 9, 1500), 0);
});

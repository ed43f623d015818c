import t from 'tap';
import {WindowedBudget} from './windowed-budget.js';

t.test('repeats are limited to a share of first sends plus a part of the slack in any window', async t => {
	let hosts = 5;
	const budget = WindowedBudget.create({ratio: 0.2, slack: 50, windowMs: 10_000}, {partAt: () => 0.85 * 50 / hosts, fromMs: 0});
	const withdrawAll = (nowMs: number) => {
		let drawn = 0;
		while (budget.tryWithdraw(nowMs)) {
			drawn++;
		}

		return drawn;
	};

	t.equal(withdrawAll(0), 8, 'the slack of one of five hosts, less the margin');
	budget.countFirstSends(1000, 100);
	t.equal(withdrawAll(1000), 17, 'plus a fifth of the first sends');
	t.equal(withdrawAll(9000), 0);
	hosts = 1;
	t.equal(withdrawAll(9000), 0, 'the only host left, but the others may have used their parts of the slack');
	t.equal(withdrawAll(21_000), 42, 'the entire slack after a window without other hosts');
});

t.test('hosts that left within the window still count, since they may have used their part', async t => {
	let hosts = 4;
	const budget = WindowedBudget.create({ratio: 0, slack: 40, windowMs: 10_000}, {partAt: () => 0.85 * 40 / hosts, fromMs: 0});
	budget.countFirstSends(0);
	hosts = 1;
	let paid = 0;
	while (budget.tryWithdraw(5000)) {
		paid++;
	}

	t.equal(paid, 8, 'a quarter of the slack, less the margin');
	t.ok(budget.tryWithdraw(20_000), 'the entire slack after a window without other hosts');
});

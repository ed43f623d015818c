import t from 'tap';
import {WindowedBudget} from './windowed-budget.js';

t.test('repeats stay within a share of first sends and of the slack, in any window', async t => {
	let hosts = 5;
	const budget = WindowedBudget.create({ratio: 0.2, slack: 50, windowMs: 10_000}, () => hosts);
	const draw = (nowMs: number) => {
		let drawn = 0;
		while (budget.tryWithdraw(nowMs)) {
			drawn++;
		}

		return drawn;
	};

	t.equal(draw(0), 8, 'the slack of one in five hosts, with a margin');
	budget.countFirst(1000, 100);
	t.equal(draw(1000), 17, 'a fifth of the first sends besides');
	t.equal(draw(9000), 0);
	hosts = 1;
	t.ok(draw(9000) > 0, 'alone it has all of the slack');
	t.ok(draw(21_000) > 0, 'a window later it is there again');
});

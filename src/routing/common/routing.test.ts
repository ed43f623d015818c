import t from 'tap';
import {SeededRandom} from '../../base/common/random.js';
import {makeCandidateSet, type Candidate, type ChoiceNeed} from './chooser.js';
import {OutlierDetector, medianSlownessOf} from './outlier-detector.js';
import {PrefixIndex} from './prefix-index.js';
import {RetryBudget} from './retry-budget.js';
import {ScoreChooser} from './score-chooser.js';
import {UpstreamStats} from './upstream-stats.js';
import {WorkspaceLimiter} from './workspace-limiter.js';

const candidatesOf = (count: number): Candidate[] => Array.from({length: count}, (_, number) => ({
	upstreamId: `u${number}`, hall: 'a', stats: UpstreamStats.create(), joinedMs: -100_000,
}));
const need: ChoiceNeed = {
	hall: 'a', model: 'm', prefixHash: 0, expectedMs: 100, slots: 4,
};

t.test('the chooser prefers the least busy upstream, the fastest one, and the one that has the model loaded', async t => {
	const chooser = ScoreChooser.create(SeededRandom.create(1), PrefixIndex.create());
	const choose = (candidates: Candidate[]) => chooser.choose(makeCandidateSet(candidates), need, 1000).chosen.upstreamId;
	const busy = candidatesOf(3);
	busy[0].stats.inFlight = 6;
	busy[2].stats.inFlight = 6;
	t.equal(choose(busy), 'u1');
	const slow = candidatesOf(3);
	slow[0].stats.observeEnd(500, 100, false);
	slow[1].stats.observeEnd(500, 100, false);
	t.equal(choose(slow), 'u2');
	const loaded = candidatesOf(2);
	const load = {
		running: 0, queued: 0, slots: 4, serviceMs: 100,
	};
	loaded[0].stats.observeLoad({...load, models: [{model: 'other', version: 'v1', adapters: []}]}, 1000);
	loaded[1].stats.observeLoad({...load, running: 4, models: [{model: 'm', version: 'v1', adapters: []}]}, 1000);
	t.equal(choose(loaded), 'u1');
});

t.test('an old report loses weight, the entry\'s own calls do not', async t => {
	const stats = UpstreamStats.create();
	stats.observeLoad({
		running: 8, queued: 8, slots: 8, serviceMs: 10, models: [],
	}, 0);
	t.equal(stats.outstanding(0), 16);
	t.ok(stats.outstanding(10_000) < 0.1);
	stats.inFlight = 3;
	t.ok(stats.outstanding(10_000) >= 3);
});

t.test('outliers are ejected for a time, up to the maximum share of the pool', async t => {
	const candidates = candidatesOf(6);
	const outliers = OutlierDetector.create();
	for (const candidate of candidates.slice(0, 4)) {
		for (let failure = 0; failure < 3; failure++) {
			candidate.stats.observeEnd(10, 10, true);
		}

		outliers.observe(candidate, candidates, medianSlownessOf(candidates), 0);
	}

	t.equal(outliers.withoutEjected(candidates, 1).length, 4, 'two of six are ejected, although four failed');
	t.equal(outliers.withoutEjected(candidates, 60_000).length, 6, 'ejections end');
	t.equal(OutlierDetector.create().withoutEjected([], 0).length, 0);
});

t.test('retries are limited to a share of first attempts, with a floor for workspaces with few requests', async t => {
	const budget = RetryBudget.create(0);
	const withdrawAll = (nowMs: number) => {
		let count = 0;
		while (budget.tryWithdraw(nowMs)) {
			count++;
		}

		return count;
	};

	t.equal(withdrawAll(0), 5);
	for (let attempt = 0; attempt < 100; attempt++) {
		budget.deposit(0.1);
	}

	t.ok(Math.abs(withdrawAll(0) - 10) <= 1);
	t.equal(withdrawAll(3000), 3, 'one per second');
	t.equal(RetryBudget.create(0, 0).tryWithdraw(60_000), false, 'hedges have no floor');
});

t.test('a workspace is kept within its limits, and refusals give a retry delay', async t => {
	const limiter = WorkspaceLimiter.create(0);
	const limits = {maxInFlight: 2, requestsPerSecond: 10, burst: 3};
	t.equal(limiter.tryAdmit(limits, 0).ok, true);
	t.equal(limiter.tryAdmit(limits, 0).ok, true);
	t.match(limiter.tryAdmit(limits, 0), {ok: false, error: {code: 'tooManyInFlight'}});
	limiter.release();
	limiter.release();
	t.equal(limiter.tryAdmit(limits, 0).ok, true);
	t.match(limiter.tryAdmit(limits, 0), {ok: false, error: {code: 'rateExceeded', retryAfterMs: 100}});
	t.equal(limiter.tryAdmit(limits, 101).ok, true);
});

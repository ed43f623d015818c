import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {ServerRefusals} from './server-refusals.js';

const server = {serverId: 's', pool: 'p'};
const makeRefusals = (hostCount = 1) => ServerRefusals.create(silentLoggers.for('test'), () => hostCount);

/** Sends a call whenever the upstream is not avoided, and returns the send times. */
function simulate(refusals: ServerRefusals, isRefused: (index: number) => boolean, fromMs: number, toMs: number): number[] {
	const sentMs: number[] = [];
	for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
		if (refusals.isAvoided('s', nowMs)) {
			continue;
		}

		refusals.sent('s', nowMs);
		if (isRefused(sentMs.length)) {
			refusals.refused(server, nowMs + 1);
		} else {
			refusals.accepted('s');
		}

		sentMs.push(nowMs);
	}

	return sentMs;
}

t.test('an upstream that refuses all calls is tried once per second after the first second', async t => {
	const sentMs = simulate(makeRefusals(), () => true, 0, 10_000);
	const later = sentMs.filter(atMs => atMs > 1000).length;
	t.ok(later <= 10, `${later} in 9 s`);
	t.ok(later >= 8, 'the refusing upstream is still tried');
});

t.test('with many hosts each host tries an upstream less often, but within four seconds', async t => {
	const sentMs = simulate(makeRefusals(31), () => true, 0, 41_000).filter(atMs => atMs > 1000);
	t.ok(sentMs.length >= 10 && sentMs.length <= 13, `${sentMs.length} in 40 s`);
	t.ok(simulate(makeRefusals(3), () => true, 0, 10_000).length > 8, 'with few hosts each tries it once per second');
});

t.test('the avoidance time grows with the refused share', async t => {
	const [oneInTen, half, all] = [10, 2, 1].map(each => simulate(makeRefusals(), index => index % each === 0, 0, 10_000).length);
	t.ok(oneInTen > 300, `${oneInTen} of 1000 with one in ten refused`);
	t.ok(half < oneInTen / 4, `${half} with half refused`);
	t.ok(all < half, `${all} with all refused`);
});

t.test('an upstream that accepts work again gets its full share immediately, and its refusals are forgotten soon', async t => {
	const refusals = makeRefusals();
	simulate(refusals, () => true, 0, 5000);
	const sentMs = simulate(refusals, () => false, 5000, 7000);
	t.ok(sentMs[0] <= 6000);
	t.equal(sentMs.length, ((7000 - sentMs[0]) / 10), 'no call is held back after the first accepted one');
	refusals.refused(server, 7000);
	t.ok(refusals.retryInMs('s', 7000) < 200);
});

t.test('only one trial call is sent until it is answered or times out', async t => {
	const refusals = makeRefusals();
	refusals.refused(server, 0);
	const openMs = refusals.retryInMs('s', 0);
	t.notOk(refusals.isAvoided('s', openMs));
	refusals.sent('s', openMs);
	t.ok(refusals.isAvoided('s', openMs + 10));
	t.notOk(refusals.isAvoided('s', openMs + 500));
	refusals.forget('s');
	t.equal(refusals.retryInMs('s', openMs), 0);
});

/**
What a host remembers for a time is as old as the world says after a sleep: the clock that all of it is asked with counts the time slept.
Each part here is asked just before a sleep and just after waking, without a timer having run.
*/
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {ServerRests} from '../../deployment/common/server-rests.js';
import {ServerLimits} from '../../deployment/common/server-limits.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {FirstTries} from '../../direct/common/first-tries.js';
import {FleetMemory} from '../../peers/common/fleet-memory.js';
import {EndRecord} from '../../quarantine/common/end-record.js';
import {boundOfCold} from './rate-bound.js';
import {directWork, SendBounds} from './send-bounds.js';
import {SendShare} from './send-share.js';
import {ServerSigns} from './server-signs.js';
import {WindowedBudget} from './windowed-budget.js';

t.test('a budget of repeats: what was sent before a sleep longer than its window allows and costs nothing more', async t => {
	const clock = ManualClock.create();
	const budget = WindowedBudget.create({ratio: 0.2, slack: 2, windowMs: 10_000}, () => 1);
	budget.countFirst(clock.nowMs(), 1000);
	t.ok(budget.tryWithdraw(clock.nowMs(), 100));
	t.notOk(budget.tryWithdraw(clock.nowMs(), 100));
	clock.suspend(11_000);
	t.notOk(budget.tryWithdraw(clock.nowMs(), 100), 'the first sends are as old as the repeats');
	t.ok(budget.tryWithdraw(clock.nowMs(), 1));
});

t.test('an upstream that was left alone is not for longer than it was meant', async t => {
	const clock = ManualClock.create();
	const signs = ServerSigns.create();
	signs.unreachable(clock.nowMs(), 400, 4000);
	t.ok(signs.isAvoided(clock.nowMs()));
	clock.suspend(500);
	t.notOk(signs.isAvoided(clock.nowMs()));
});

t.test('a bar of a content ends while the host sleeps', async t => {
	const clock = ManualClock.create();
	const record = EndRecord.create(1);
	const contentId = 'c'.repeat(32);
	record.merge({contentId, ends: [{serverId: 'a', ageMs: 0}], cleared: []}, clock.nowMs());
	const untilMs = record.barredUntilMs(contentId, clock.nowMs());
	t.ok(untilMs > clock.nowMs());
	clock.suspend(untilMs - clock.nowMs());
	t.ok(record.barredUntilMs(contentId, clock.nowMs()) <= clock.nowMs());
});

t.test('a server that was cold is warm once it has had the time', async t => {
	const clock = ManualClock.create();
	const registry = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
	registry.replaceAll({
		revision: 1, servers: [{
			serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false, coldLeftMs: 3000, revision: 1,
		}],
	}, clock.nowMs());
	t.equal(registry.coldLeftMs('s', clock.nowMs()), 3000);
	clock.suspend(2000);
	t.equal(registry.coldLeftMs('s', clock.nowMs()), 1000);
	clock.suspend(2000);
	t.equal(registry.coldLeftMs('s', clock.nowMs()), 0);
});

t.test('sends to a cold upstream are as long ago as the world says', async t => {
	const clock = ManualClock.create();
	const share = SendShare.create(() => ({own: 'a', hosts: ['a'], isSettled: true}));
	const bound = boundOfCold(4, {excess: 1.5, tolerance: 5});
	const left = () => share.left('s', bound, {isSoleSender: false}, clock.nowMs());
	while (left() > 0) {
		share.sent('s', clock.nowMs());
	}

	clock.suspend(999);
	t.equal(left(), 0);
	clock.suspend(1);
	t.equal(left(), 5);
});

t.test('hosts that were met are remembered through a sleep, and forgotten after a very long one', async t => {
	const clock = ManualClock.create();
	const memory = FleetMemory.create('10.0.0.1:1', clock.nowMs());
	memory.seen(['10.0.0.2:1'], clock.nowMs());
	clock.suspend(60_000);
	t.same(memory.view([], clock.nowMs()).hosts, ['10.0.0.1:1', '10.0.0.2:1']);
	clock.suspend(600_000);
	t.same(memory.view([], clock.nowMs()).hosts, ['10.0.0.1:1']);
});

t.test('limits of callers that were seen before a long sleep say nothing of those after it', async t => {
	const clock = ManualClock.create();
	const tries = FirstTries.create();
	for (let index = 0; index < 10; index++) {
		tries.sinceFirstTryMs('r', 9000, 9000, clock.nowMs());
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 4000, clock.nowMs()), 5000);
	clock.suspend(30_000);
	for (let index = 0; index < 10; index++) {
		tries.sinceFirstTryMs('r', 9000, 4000, clock.nowMs());
	}

	t.equal(tries.sinceFirstTryMs('r', 9000, 4000, clock.nowMs()), 0);
});

t.test('a limit that was named before a sleep is looked at once more, and an end that fell into the sleep has taken effect', async t => {
	const clock = ManualClock.create();
	const limits = ServerLimits.create({random: SeededRandom.create(1), log: silentLoggers.for('test'), metrics: noMetrics});
	const server = {serverId: 's', pool: 'p', hall: 'a'};
	const bounds = SendBounds.create({
		registry: {coldLeftMs: () => 0, takesNew: () => true, onDidChange: () => ({dispose: () => undefined})},
		limits,
		rests: {leftMs: () => 0, forget: () => undefined},
		share: SendShare.create(() => ({own: 'a', hosts: ['a', 'b'], isSettled: false})),
		cold: undefined,
		bearsPerS: () => 0,
	});
	limits.answered(server, {kind: 'named', perS: 1}, clock.nowMs(), clock.nowMs());
	t.notOk(bounds.mayGet(server, directWork, clock.nowMs()));
	clock.suspend(20_000);
	t.ok(bounds.mayGet(server, directWork, clock.nowMs()));
	limits.answered(server, {kind: 'none'}, clock.nowMs(), clock.nowMs());
	clock.suspend(10_000);
	t.equal(limits.limitOf('s', clock.nowMs()), undefined);
});

t.test('a rest that was asked for before a sleep goes on while the host sleeps, and is over on waking if its time is', async t => {
	const clock = ManualClock.create();
	const rests = ServerRests.create({log: silentLoggers.for('test'), metrics: noMetrics});
	rests.answered({serverId: 's', pool: 'p'}, {kind: 'asked', forMs: 3000}, clock.nowMs());
	clock.suspend(2000);
	t.equal(rests.leftMs('s', clock.nowMs()), 1000);
	clock.suspend(2000);
	t.equal(rests.leftMs('s', clock.nowMs()), 0);
});

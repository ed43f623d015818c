/**
Guards against state that expires too late because the machine was suspended. The clock that is used for all timed state includes the time
of a suspend. Each component is queried just before a suspend and just after the resume, without a timer having run.
*/
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {ServerBackoffs} from '../../deployment/common/server-backoffs.js';
import {ServerLimits} from '../../deployment/common/server-limits.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {FirstTryEstimator} from '../../direct/common/first-try-estimator.js';
import {FleetTracker} from '../../peers/common/fleet-tracker.js';
import {CrashRecord} from '../../quarantine/common/crash-record.js';
import {coldUpstreamBound} from './rate-bound.js';
import {directWork, SendBounds} from './send-bounds.js';
import {SendShare} from './send-share.js';
import {ServerLiveness} from './server-liveness.js';
import {WindowedBudget} from './windowed-budget.js';

t.test('a retry budget ignores first sends and repeats from before a suspend that is longer than its window', async t => {
	const clock = ManualClock.create();
	const budget = WindowedBudget.create({ratio: 0.2, slack: 2, windowMs: 10_000}, {partAt: () => 0.85 * 2, fromMs: -Infinity});
	budget.countFirstSends(clock.nowMs(), 1000);
	t.ok(budget.tryWithdraw(clock.nowMs(), 100));
	t.notOk(budget.tryWithdraw(clock.nowMs(), 100));
	clock.suspend(11_000);
	t.notOk(budget.tryWithdraw(clock.nowMs(), 100), 'the first sends have expired like the repeats');
	t.ok(budget.tryWithdraw(clock.nowMs(), 1));
});

t.test('the avoidance of an upstream is not prolonged by a suspend', async t => {
	const clock = ManualClock.create();
	const liveness = ServerLiveness.create();
	liveness.connectionFailed(clock.nowMs(), 400, 4000);
	t.ok(liveness.isAvoided(clock.nowMs()));
	clock.suspend(500);
	t.notOk(liveness.isAvoided(clock.nowMs()));
});

t.test('a quarantine of a content expires during a suspend', async t => {
	const clock = ManualClock.create();
	const record = CrashRecord.create(1);
	const contentId = 'c'.repeat(32);
	record.merge({contentId, ends: [{serverId: 'a', ageMs: 0}], cleared: []}, clock.nowMs());
	const untilMs = record.barredUntilMs(contentId, clock.nowMs());
	t.ok(untilMs > clock.nowMs());
	clock.suspend(untilMs - clock.nowMs());
	t.ok(record.barredUntilMs(contentId, clock.nowMs()) <= clock.nowMs());
});

t.test('a cold server warms up during a suspend', async t => {
	const clock = ManualClock.create();
	const registry = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
	registry.replaceAll({
		revision: 1, servers: [{
			serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false, coldLeftMs: 3000, revision: 1,
		}],
	}, clock.nowMs());
	t.equal(registry.remainingColdMs('s', clock.nowMs()), 3000);
	clock.suspend(2000);
	t.equal(registry.remainingColdMs('s', clock.nowMs()), 1000);
	clock.suspend(2000);
	t.equal(registry.remainingColdMs('s', clock.nowMs()), 0);
});

t.test('sends to a cold upstream expire during a suspend', async t => {
	const clock = ManualClock.create();
	const share = SendShare.create(() => ({
		ownName: 'a', hosts: ['a'], isSettled: true, unseenSeedCount: 0,
	}));
	const bound = coldUpstreamBound(4, {excess: 1.5, tolerance: 5});
	const left = () => share.remaining('s', bound, {isSoleSender: false}, clock.nowMs());
	while (left() > 0) {
		share.sent('s', clock.nowMs());
	}

	clock.suspend(999);
	t.equal(left(), 0);
	clock.suspend(1);
	t.equal(left(), 5);
});

t.test('known hosts are remembered through a suspend, and forgotten after a very long one', async t => {
	const clock = ManualClock.create();
	const memory = FleetTracker.create('10.0.0.1:1', clock.nowMs());
	memory.recordSeen(['10.0.0.2:1'], clock.nowMs());
	clock.suspend(60_000);
	t.same(memory.view([], clock.nowMs()).hosts, ['10.0.0.1:1', '10.0.0.2:1']);
	clock.suspend(600_000);
	t.same(memory.view([], clock.nowMs()).hosts, ['10.0.0.1:1']);
});

t.test('time limits of callers from before a long suspend are not compared with those after it', async t => {
	const clock = ManualClock.create();
	const tries = FirstTryEstimator.create();
	for (let index = 0; index < 10; index++) {
		tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 9000, clock.nowMs());
	}

	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 4000, clock.nowMs()), 5000);
	clock.suspend(30_000);
	for (let index = 0; index < 10; index++) {
		tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 4000, clock.nowMs());
	}

	t.equal(tries.sinceFirstTryMs({name: 'r', kind: 'stream', timeoutMs: 9000}, 4000, clock.nowMs()), 0);
});

t.test('a limit announced before a suspend is tried again, and a limit whose end fell into the suspend no longer applies', async t => {
	const clock = ManualClock.create();
	const limits = ServerLimits.create({random: SeededRandom.create(1), log: silentLoggers.for('test'), metrics: noMetrics});
	const server = {serverId: 's', pool: 'p', hall: 'a'};
	const bounds = SendBounds.create({
		registry: {remainingColdMs: () => 0, acceptsNewWork: () => true, onDidChange: () => ({dispose: () => undefined})},
		limits,
		backoffs: {remainingMs: () => 0, forget: () => undefined},
		share: SendShare.create(() => ({
			ownName: 'a', hosts: ['a', 'b'], isSettled: false, unseenSeedCount: 0,
		})),
		cold: undefined,
		toleratedPerS: () => 0,
	});
	limits.handleResponse(server, {kind: 'named', perS: 1}, clock.nowMs(), clock.nowMs());
	t.notOk(bounds.maySend(server, directWork, clock.nowMs()));
	clock.suspend(20_000);
	t.ok(bounds.maySend(server, directWork, clock.nowMs()));
	limits.handleResponse(server, {kind: 'none'}, clock.nowMs(), clock.nowMs());
	clock.suspend(10_000);
	t.equal(limits.limitOf('s', clock.nowMs()), undefined);
});

t.test('a backoff continues during a suspend, and is over on resume if its time has passed', async t => {
	const clock = ManualClock.create();
	const backoffs = ServerBackoffs.create({log: silentLoggers.for('test'), metrics: noMetrics});
	backoffs.handleResponse({serverId: 's', pool: 'p'}, {kind: 'asked', forMs: 3000}, clock.nowMs());
	clock.suspend(2000);
	t.equal(backoffs.remainingMs('s', clock.nowMs()), 1000);
	clock.suspend(2000);
	t.equal(backoffs.remainingMs('s', clock.nowMs()), 0);
});

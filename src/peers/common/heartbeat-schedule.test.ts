import t from 'tap';
import {
	heartbeatIntervalMs, defaultHeartbeatIntervalMs, HeartbeatSchedule, maxSilenceMs,
} from './heartbeat-schedule.js';

const stateRefreshMs = 2 * defaultHeartbeatIntervalMs;

t.test('a heartbeat is due after a silence, not in addition to other messages', async t => {
	const schedule = HeartbeatSchedule.create();
	t.ok(schedule.isNeeded('a', defaultHeartbeatIntervalMs, 0), 'nothing was sent yet');
	schedule.recordHeartbeat('a', 0);
	t.notOk(schedule.isNeeded('a', defaultHeartbeatIntervalMs, defaultHeartbeatIntervalMs - 1));
	t.ok(schedule.isNeeded('a', defaultHeartbeatIntervalMs, defaultHeartbeatIntervalMs));
	schedule.recordSend(defaultHeartbeatIntervalMs - 1);
	t.notOk(schedule.isNeeded('a', defaultHeartbeatIntervalMs, stateRefreshMs - 2));
});

t.test('a changed state is sent at once, whatever was sent before', async t => {
	const schedule = HeartbeatSchedule.create();
	schedule.recordHeartbeat('a', 0);
	schedule.recordSend(100);
	t.ok(schedule.isNeeded('b', defaultHeartbeatIntervalMs, 100));
});

t.test('the state in force is sent again however many other messages are sent', async t => {
	const schedule = HeartbeatSchedule.create();
	schedule.recordHeartbeat('a', 0);
	schedule.recordSend(stateRefreshMs - 1);
	t.notOk(schedule.isNeeded('a', defaultHeartbeatIntervalMs, stateRefreshMs - 1));
	t.ok(schedule.isNeeded('a', defaultHeartbeatIntervalMs, stateRefreshMs));
});

t.test('two low-capacity hosts need fewer signs of life from each other, and may be silent for longer in proportion', async t => {
	t.equal(heartbeatIntervalMs([0.2, 1.35], 1.35), defaultHeartbeatIntervalMs);
	t.equal(heartbeatIntervalMs([1.35, 0.2], 1.35), defaultHeartbeatIntervalMs);
	t.equal(heartbeatIntervalMs([0.2, 0.2], 0.2), defaultHeartbeatIntervalMs, 'hosts of equal capacity all do work for each other');
	t.equal(heartbeatIntervalMs([0.2, 0.2], 1.35), 2000);
	t.equal(maxSilenceMs(2000), 6400);
	t.equal(maxSilenceMs(undefined), 1600, 'a host that announces no interval sends something every half a second');
});

/**
Models a fleet of some high-capacity hosts and many low-capacity ones. The signs of life that a low-capacity host receives grow with the number of
high-capacity ones.
*/
t.test('the number of signs of life that a low-capacity host receives grows with the number of high-capacity hosts', async t => {
	const heartbeatsPerSecond = (highCapacityCount: number, lowCapacityCount: number) =>
		(highCapacityCount * 1000 / heartbeatIntervalMs([0.2, 1.35], 1.35)) + ((lowCapacityCount - 1) * 1000 / heartbeatIntervalMs([0.2, 0.2], 1.35));
	t.equal(heartbeatsPerSecond(15, 53), 56);
	t.equal(heartbeatsPerSecond(0, 68) > heartbeatsPerSecond(15, 53), false);
});

import t from 'tap';
import {noMetrics} from '../../base/common/metrics.js';
import type {LimitReading} from './server-limits.js';
import {ServerNotices, emptyNotice, type LoadReading} from './server-notices.js';
import type {BackoffReading} from './server-backoffs.js';
import type {UpstreamServer} from './upstream-server.js';

const server: UpstreamServer = {
	serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
};

t.test('each part of a notice is passed to the component that acts on it, with the server that the call was intended for', async t => {
	const limits: LimitReading[] = [];
	const backoffs: BackoffReading[] = [];
	const leaving: string[] = [];
	const counted: string[] = [];
	const notices = ServerNotices.create({
		limits: {
			handleResponse(_, reading) {
				limits.push(reading);
			},
		},
		leaving: {
			handleServerReport({serverId}) {
				leaving.push(serverId);
			},
		},
		backoffs: {
			handleResponse(_, reading) {
				backoffs.push(reading);
			},
		},
		metrics: {
			...noMetrics,
			increment(name) {
				counted.push(name);
			},
		},
	});
	notices.handleResponse(server, {limit: {kind: 'named', perS: 2}, isLeaving: true, backoff: {kind: 'asked', forMs: 300}}, 1, 2);
	t.same([limits, backoffs, leaving, counted], [[{kind: 'named', perS: 2}], [{kind: 'asked', forMs: 300}], ['s'], ['leaving.said']]);
	notices.handleResponse(server, emptyNotice, 3, 4);
	t.same([leaving, counted], [['s'], ['leaving.said']], 'an empty notice reports nothing');
});

// Guards against reported loads that never reach the component that acts on them.
t.test('a reported load is passed on, and a notice without one reports nothing', async t => {
	const loads: Array<[string, LoadReading, number]> = [];
	const ignore = () => undefined;
	const notices = ServerNotices.create({
		limits: {handleResponse: ignore},
		leaving: {handleServerReport: ignore},
		backoffs: {handleResponse: ignore},
		loads: {
			handleResponse({serverId}, reading, nowMs) {
				loads.push([serverId, reading, nowMs]);
			},
		},
		metrics: noMetrics,
	});
	const load: LoadReading = {
		kind: 'reported', running: 1, waiting: 0, slots: 2, slowness: 1.5,
	};
	notices.handleResponse(server, {...emptyNotice, load}, 1, 2);
	notices.handleResponse(server, emptyNotice, 3, 4);
	t.same(loads, [['s', load, 2]]);
});

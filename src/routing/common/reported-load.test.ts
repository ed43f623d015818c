import t from 'tap';
import {silentLoggers, type LogFields} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import type {LoadReading} from '../../deployment/common/server-notices.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {ReportedLoads} from './reported-load.js';

const reading = (slowness?: number): LoadReading => ({
	kind: 'reported', running: 1, waiting: 2, slots: 3, ...(slowness !== undefined && {slowness}),
});
const silent = silentLoggers.for('test');

/** Creates the loads of listed servers and records the log lines. */
function makeLoads(serverIds: readonly string[] = ['s1', 's2']) {
	const lines: Array<{readonly sentence: string; readonly fields?: LogFields}> = [];
	const log = (sentence: string, fields?: LogFields) => {
		lines.push({sentence, fields});
	};

	const registry = ServerRegistry.create({log: silent, leavingWithinMs: 2000});
	registry.replaceAll({
		revision: 1,
		servers: serverIds.map(serverId => ({
			serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'x', slots: 1, isLeaving: false, revision: 1,
		})),
	}, 0);
	const loads = ReportedLoads.create({registry, log: {...silent, info: log, warn: log}, metrics: noMetrics});
	return {loads, registry, lines};
}

// Guards against old figures: speeds change many times a second, and a server that gets no work because of its figure reports no other one.
t.test('a figure counts for 300 ms and then fades to the usual speed', async t => {
	const {loads} = makeLoads();
	t.equal(loads.slownessAt('s1', 0), undefined);
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(3), 1000);
	t.same([1000, 1300, 1450, 1599].map(nowMs => loads.slownessAt('s1', nowMs)?.toFixed(2)), ['3.00', '3.00', '2.00', '1.01']);
	t.equal(loads.slownessAt('s1', 1600), undefined);
	t.same(loads.figureAt('s1', 2000), {slowness: 1, ageMs: 1000, changedMs: 1000}, 'the age remains known');
	t.equal(loads.slownessAt('s1', 999), 3, 'a clock that is set back makes no figure older or larger');
});

// Guards against an older figure replacing a newer one: the order of responses, not of calls, is the order of the figures.
t.test('the response that arrives last has the newest figure, and one without a figure changes nothing', async t => {
	const {loads} = makeLoads();
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(3), 1000);
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(0.5), 1010);
	t.equal(loads.slownessAt('s1', 1010), 0.5);
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(), 1020);
	loads.handleResponse({serverId: 's1', pool: 'p'}, {kind: 'none'}, 1020);
	loads.handleResponse({serverId: 's1', pool: 'p'}, {kind: 'unreadable', text: 'x'}, 1020);
	t.same(loads.figureAt('s1', 1020), {slowness: 0.5, ageMs: 10, changedMs: 1010});
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(0.55), 1030);
	t.same(loads.figureAt('s1', 1030), {slowness: 0.55, ageMs: 0, changedMs: 1010}, 'about the same speed');
});

// Guards against a change for servers that report no speed: they must be treated as before.
t.test('a load without a speed has no effect', async t => {
	const {loads, lines} = makeLoads();
	loads.onDidReport(() => {
		t.fail('no event');
	});
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(), 1000);
	t.equal(loads.figureAt('s1', 1000), undefined);
	t.same(lines, []);
});

// Guards against memory that grows with the number of servers, and against figures of an earlier start.
t.test('servers that are gone are forgotten, late responses of theirs are ignored, and the number of figures is bounded', async t => {
	const {loads, registry} = makeLoads();
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(3), 1000);
	registry.handleAddressTaken('s1');
	t.equal(loads.figureAt('s1', 1000), undefined);
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(3), 1001);
	t.equal(loads.figureAt('s1', 1001), undefined);
	const many = Array.from({length: 2001}, (_, index) => `m${index}`);
	const {loads: manyLoads} = makeLoads(many);
	for (const serverId of many) {
		manyLoads.handleResponse({serverId, pool: 'p'}, reading(3), 1000);
	}

	t.equal(manyLoads.figureAt('m0', 1000), undefined);
	t.ok(manyLoads.figureAt('m2000', 1000));
});

// Guards against a server that claims to be so fast that it gets everything, or so slow that no estimate is usable.
t.test('figures are bounded', async t => {
	const {loads} = makeLoads();
	loads.handleResponse({serverId: 's1', pool: 'p'}, reading(0.01), 0);
	loads.handleResponse({serverId: 's2', pool: 'p'}, reading(9999), 0);
	t.same(['s1', 's2'].map(serverId => loads.slownessAt(serverId, 0)), [0.25, 20]);
});

// Guards against a log line for each response.
t.test('speeds are logged at intervals, and a load that can\'t be parsed once for each server', async t => {
	const {loads, lines} = makeLoads();
	for (let nowMs = 0; nowMs <= 6000; nowMs += 10) {
		loads.handleResponse({serverId: 's2', pool: 'p'}, reading(1), nowMs);
		loads.handleResponse({serverId: 's1', pool: 'p'}, reading(2.5), nowMs);
		loads.handleResponse({serverId: 's1', pool: 'p'}, {kind: 'unreadable', text: 'x'}, nowMs);
	}

	t.same(lines.map(({fields}) => fields?.reportedSpeed ?? fields?.load), ['s2:100', 'x', 's1:250 s2:100']);
});

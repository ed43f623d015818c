/**
Guards against a pool whose upstreams change their speed many times a second being scheduled by what past calls took. A call takes longer
than a speed lasts, so measured durations describe a speed that is over: fast upstreams are avoided as slow, and slow ones are preferred.

The load: a pool of six upstreams, each at its usual speed or, a third of the time, at 2.5 times its usual duration, which may change every 100 ms; a full call takes
120 ms at the usual speed. Each upstream reports its speed with each response, and releases of results are answered all the time. 90 requests of 4 pieces a second are
nine tenths of what the pool can do. The effect of a speed on a call in progress is up to the service, so both are tested: a call progresses at the speed of the moment,
or takes as long as the speed at its start implies.
*/
import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {ReportedLoads} from '../../routing/common/reported-load.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import {BatchUpstream} from './batch-upstream.js';
import type {BatchWork, PieceOutcome} from './work.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 12, callMs: 60, itemMs: 5, roomBytes: 1e9, resultTtlMs: 4000,
};
const piecesEach = 4;
const targetMs = 400;
const stepMs = 5;
const speedIntervalMs = 100;
const releaseIntervalMs = 50;
const simulatedMs = 20_000;
const slowAtMoment = 2.5;

const servers: UpstreamServer[] = Array.from({length: 6}, (_, index) => ({
	serverId: `s${index}`, instanceId: `s${index}`, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
}));

function workOf(workId: string, nowMs: number): BatchWork {
	return {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: piecesEach}, (_, piece) => piece), inputs: undefined,
		resultBytes: 10, rank: 0, dueMs: nowMs + targetMs, lateDueMs: nowMs + 1000, deadlineMs: nowMs + 1500, hall: '', crossingBytes: 0,
	};
}

type Load = {
	readonly perS: number;
	readonly isReporting: boolean;
	readonly seed: number;
	/** Whether the speed at the start of a call determines its duration, rather than the speed of each moment. */
	readonly isFixedAtStart: boolean;
	/** Probability that an upstream draws a new speed at the end of an interval. */
	readonly changeShare: number;
};

/** Simulates the load. Returns the requests done in time per second, the mean time of a request that was done, and the calls to each upstream. */
function play({perS, isReporting, seed, changeShare, isFixedAtStart}: Load) {
	const random = SeededRandom.create(seed);
	const loads = ReportedLoads.create({
		registry: {get: () => servers[0], onDidChange: () => ({dispose: () => undefined})}, log: silentLoggers.for('test'), metrics: noMetrics,
	});
	const scheduler = BatchScheduler.create({reportedOf: (serverId, nowMs) => loads.slownessAt(serverId, nowMs)});
	const slowness = servers.map(() => 1);
	const calls: Array<{readonly call: BatchCall; readonly startSlowness: number; leftMs: number}> = [];
	const callCounts = servers.map(() => 0);
	const openPieces = new Map<string, number>();
	const report = (index: number, nowMs: number) => {
		if (isReporting) {
			loads.handleResponse(servers[index], {
				kind: 'reported', running: 0, waiting: 0, slots: 1, slowness: slowness[index],
			}, nowMs);
		}
	};

	let asked = 0;
	let owed = 0;
	let inTime = 0;
	const tookMs: number[] = [];
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += stepMs) {
		for (const index of servers.keys()) {
			if (nowMs % speedIntervalMs === 0 && random.next() < changeShare) {
				slowness[index] = random.next() < 0.35 ? slowAtMoment : 1;
			}

			if (nowMs % releaseIntervalMs === 0) {
				report(index, nowMs);
			}
		}

		for (owed += perS * stepMs / 1000; owed >= 1; owed--) {
			asked++;
			openPieces.set(`w${asked}`, piecesEach);
			scheduler.add(workOf(`w${asked}`, nowMs), nowMs);
		}

		for (const running of calls.splice(0)) {
			const {call} = running;
			const index = servers.indexOf(call.server);
			running.leftMs -= stepMs / (isFixedAtStart ? running.startSlowness : slowness[index]);
			if (nowMs >= call.deadlineMs) {
				scheduler.failCall(call, 'broken', nowMs);
			} else if (running.leftMs > 0) {
				calls.push(running);
			} else {
				report(index, nowMs);
				scheduler.completeCall(call, call.pieces.map((_, piece): PieceOutcome => ({ok: true, ref: {handle: `${call.callId}-${piece}`, serverId: call.server.serverId}})), capacity, nowMs);
				for (const {work} of call.pieces) {
					const left = openPieces.get(work.workId)! - 1;
					openPieces.set(work.workId, left);
					inTime += left === 0 && nowMs <= work.dueMs ? 1 : 0;
					tookMs.push(...(left === 0 ? [nowMs - work.dueMs + targetMs] : []));
				}
			}
		}

		for (const call of scheduler.nextCalls(servers, capacity, nowMs)) {
			const index = servers.indexOf(call.server);
			callCounts[index]++;
			calls.push({call, startSlowness: slowness[index], leftMs: capacity.callMs + (call.pieces.length * capacity.itemMs)});
		}

		scheduler.failLate(servers, capacity, nowMs);
		scheduler.sweep(() => true, nowMs);
	}

	return {perS: inTime * 1000 / simulatedMs, meanMs: tookMs.reduce((sum, ms) => sum + ms, 0) / tookMs.length, callCounts};
}

/** Simulates the load with and without reports, with three seeds; returns the means. */
function compare(load: Pick<Load, 'changeShare' | 'isFixedAtStart'>) {
	const seeds = [1, 2, 3];
	const meanOf = (isReporting: boolean) => {
		const played = seeds.map(seed => play({
			...load, perS: 90, isReporting, seed,
		}));
		const mean = (value: (each: typeof played[number]) => number) => played.reduce((sum, each) => sum + value(each), 0) / seeds.length;
		return {
			perS: mean(each => each.perS),
			meanMs: mean(each => each.meanMs),
			minShare: Math.min(...played.map(({callCounts}) => Math.min(...callCounts) / Math.max(...callCounts))),
		};
	};

	const [without, reporting] = [meanOf(false), meanOf(true)];
	const describe = ({perS, meanMs}: typeof without) => `${perS.toFixed(1)} per second in time, mean ${meanMs.toFixed(0)} ms`;
	const text = `without reports ${describe(without)}; with them ${describe(reporting)}, least calls ${reporting.minShare.toFixed(2)} of the most`;
	return {without, reporting, text};
}

t.test('a pool whose upstreams report their speed does more in time, and sooner, than without reports', async t => {
	for (const changeShare of [0.25, 0.5, 1]) {
		const {without, reporting, text} = compare({changeShare, isFixedAtStart: true});
		t.ok(reporting.perS >= without.perS * 1.01, `duration fixed at the start, ${changeShare} change: ${text}`);
		t.ok(reporting.meanMs <= without.meanMs * 0.9, `${text}`);
		t.ok(reporting.minShare >= 0.5, 'no upstream is left without work');
	}

	for (const changeShare of [0.25, 0.5]) {
		const {without, reporting, text} = compare({changeShare, isFixedAtStart: false});
		t.ok(reporting.perS >= without.perS, `duration by the moment, ${changeShare} change: ${text}`);
		t.ok(reporting.meanMs <= without.meanMs * 0.95, `${text}`);
	}
});

// Guards against reports that do harm where they say little: each speed is over before most of the call is done.
t.test('reports of speeds that all change within a call do no harm', async t => {
	const {without, reporting, text} = compare({changeShare: 1, isFixedAtStart: false});
	t.ok(reporting.perS >= without.perS * 0.99, text);
	t.ok(reporting.meanMs <= without.meanMs * 1.02, text);
});

const server = servers[0];

/** Returns the next call of a pool with one upstream that reports the slowness. */
function nextCallAt(slowness: number | undefined): BatchCall {
	const scheduler = BatchScheduler.create({reportedOf: () => slowness});
	scheduler.add(workOf('w', 0), 0);
	return scheduler.nextCalls([server], capacity, 0)[0];
}

// Guards against calls to a slow upstream that time out, or teach that it is slower than it reports.
t.test('the expected duration of a call and its time-out take the report into account', async t => {
	const usual = nextCallAt(undefined);
	t.same([usual.expectedMs, usual.deadlineMs], [80, 980]);
	t.same([nextCallAt(2).expectedMs, nextCallAt(2).deadlineMs], [160, 1460]);
	t.same([nextCallAt(0.5).expectedMs, nextCallAt(0.5).deadlineMs], [40, 980], 'a fast upstream may become slower during the call');
});

// Guards against measured durations of an earlier speed outweighing a report, and against a report hiding that calls time out.
t.test('a recent report replaces the measured slowness, except after a failed call', async t => {
	const reports: number[] = [];
	const upstream = BatchUpstream.create(() => reports.at(-1));
	const call: BatchCall = {
		callId: 1, server, pieces: [], sentMs: 0, expectedMs: 100, deadlineMs: 1000,
	};
	upstream.completeCall(call, 300);
	t.ok(upstream.slownessAt(300) > 2);
	reports.push(0.5);
	t.equal(upstream.slownessAt(300), 0.5);
	t.equal(upstream.speedAt(300), 2, 'a fast upstream counts as more than one');
	upstream.failCall(call, 1000);
	t.equal(upstream.slownessAt(1000), 10);
	upstream.completeCall(call, 1100);
	t.equal(upstream.slownessAt(1100), 0.5);
});

// Guards against a slow upstream getting a call while a faster one is free.
t.test('the fastest free upstream gets the first call', async t => {
	const scheduler = BatchScheduler.create({reportedOf: serverId => ({s0: 1.2, s1: 0.8, s2: 1})[serverId]});
	scheduler.add(workOf('w', 0), 0);
	t.same(scheduler.nextCalls(servers.slice(0, 3), capacity, 0).map(call => call.server.serverId), ['s1']);
});

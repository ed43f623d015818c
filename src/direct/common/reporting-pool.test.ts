/**
Guards against callers waiting at an upstream of a plain pool that reports to be slow: measured answer times are smoothed over many calls, so
that an upstream is noticed late, and is avoided long after it is fast again.

The load: four upstreams of a pool with two slots each and 60 ms per call; one takes 2.5 times as long for 600 ms at a time, either always the same one or one after the
other. Each upstream reports its calls and its speed at the head of each response, which comes when the call is done. 80 requests a second are
seven tenths of what the pool can do.
*/
import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {clearStanding} from '../../quarantine/common/quarantine.js';
import {Attempt} from '../../request/common/attempt.js';
import {attemptStates, type StagePlan} from '../../request/common/request-plan.js';
import {EngineLoads} from '../../routing/common/engine-loads.js';
import {PrefixIndex} from '../../routing/common/prefix-index.js';
import {RepeatBudgets} from '../../routing/common/repeat-budgets.js';
import {ReportedLoads} from '../../routing/common/reported-load.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {SendBounds} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {ServerRefusals} from '../../routing/common/server-refusals.js';
import {SlackShare} from '../../routing/common/slack-share.js';
import {makeDirectPlan} from './direct-plan.js';
import {StreamContinuity} from './stream-continuity.js';
import {DirectRouter} from './direct-router.js';
import {EngineChooser} from './engine-chooser.js';
import {PoolAvailability} from './pool-availability.js';

const pool = 'plain';
const serverIds = ['s1', 's2', 's3', 's4'];
const slots = 2;
const usualMs = 60;
const slowAtMoment = 2.5;
const slowForMs = 600;
const simulatedMs = 24_000;
const stepMs = 1;

const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.repeatable, timeoutMs: 5000, targetMs: 500, rank: 0, targets: [{pool, weight: 1}],
	maxAttempts: 2, steps: [], isPublic: false, hasAffinity: false, isResumable: false,
};
const stage: StagePlan = makeDirectPlan({
	requestId: 'r',
	workspace: '',
	route,
	version: 1,
	pool,
	engineSlots: slots,
	http: {
		kind: 'http', method: 'GET', path: '/', headers: [], body: new Uint8Array(0),
	},
	promptParts: [],
	needsPreparation: false,
	remainingMs: 5000,
}, 0).stages[0];

function makeHost(random: SeededRandom) {
	const registry = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
	registry.replaceAll({
		revision: 1,
		servers: serverIds.map(serverId => ({
			serverId, instanceId: serverId, startedMs: 0, pool, address: '127.0.0.1', port: 1, hall: 'x', slots, isLeaving: false, revision: 1,
		})),
	}, 0);
	const bounds = SendBounds.create({
		registry,
		limits: {limitOf: () => undefined, forget: () => undefined},
		backoffs: {remainingMs: () => 0, forget: () => undefined},
		share: SendShare.create(() => ({
			ownName: 'a', hosts: ['a'], isSettled: true, unseenSeedCount: 0,
		})),
		cold: undefined,
		toleratedPerS: () => 0,
	});
	const loads = ReportedLoads.create({registry, log: silentLoggers.for('test'), metrics: noMetrics});
	const router = DirectRouter.create({
		continuity: StreamContinuity.create({registry, isListCurrent: () => true}),
		hall: 'x',
		registry,
		chooser: ScoreChooser.create(random, PrefixIndex.create()),
		repeats: RepeatBudgets.create({
			bounds: {ratio: 0.2, slack: 60, windowMs: 10_000},
			slack: SlackShare.create({
				viewOf: () => ({
					ownName: 'a', hosts: ['a'], isSettled: true, unseenSeedCount: 0,
				}),
				startedMs: 0,
				isFirstStart: true,
			}),
			log: silentLoggers.for('requests'),
			metrics: noMetrics,
		}),
		newDispatchId: () => 'd',
		engines: EngineChooser.create(EngineLoads.create()),
		onPromptAssigned: () => undefined,
		quarantine: {standingOf: () => clearStanding},
		availability: PoolAvailability.create({registry, bounds}),
		refusals: ServerRefusals.create(silentLoggers.for('test'), () => 1),
		loads,
	});
	return {router, loads};
}

type Call = {readonly router: DirectRouter; readonly loads: ReportedLoads; readonly attempt: Attempt; readonly sentMs: number; leftMs: number};

/** How the upstreams behave. */
type Load = {
	readonly hostCount: number;
	readonly perS: number;
	readonly isReporting: boolean;
	readonly seed: number;
	/** Ratio of actual to usual duration at an upstream. */
	readonly slownessOf: (serverId: string, nowMs: number) => number;
};

/** Simulates a load on upstreams that run a call in each slot and queue the others. */
function simulate({hostCount, perS, isReporting, seed, slownessOf}: Load) {
	const random = SeededRandom.create(seed);
	const hosts = Array.from({length: hostCount}, () => makeHost(random));
	const callsAt = new Map(serverIds.map(serverId => [serverId, [] as Call[]]));
	const tookMs: number[] = [];
	const sends = new Map(serverIds.map(serverId => [serverId, [] as number[]]));
	let asked = 0;
	let owed = 0;
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += stepMs) {
		for (const [serverId, calls] of callsAt) {
			const slowness = slownessOf(serverId, nowMs);
			for (const call of calls.slice(0, slots)) {
				call.leftMs -= stepMs / slowness;
				if (call.leftMs > 0) {
					continue;
				}

				calls.splice(calls.indexOf(call), 1);
				const {router, loads, attempt, sentMs} = call;
				if (isReporting) {
					loads.handleResponse({serverId, pool}, {
						kind: 'reported', running: Math.min(slots, calls.length), waiting: Math.max(0, calls.length - slots), slots, slowness,
					}, nowMs);
				}

				attempt.finish(attemptStates.completed, '');
				attempt.runMs = nowMs - sentMs;
				router.didEnd(stage, attempt, nowMs);
				tookMs.push(nowMs - sentMs);
			}
		}

		for (owed += perS * stepMs / 1000; owed >= 1; owed--) {
			const {router, loads} = hosts[asked % hostCount];
			asked++;
			const {upstreamId} = router.choose(stage, new Set(), 0, nowMs)!.chosen;
			const attempt = Attempt.create({
				dispatchId: `d${asked}`, upstreamId, kind: 'first', sentAtMs: nowMs, offset: 0, candidates: [],
			});
			router.didDispatch(stage, attempt, 0, nowMs);
			sends.get(upstreamId)!.push(nowMs);
			callsAt.get(upstreamId)!.push({
				router, loads, attempt, sentMs: nowMs, leftMs: usualMs,
			});
		}
	}

	tookMs.sort((left, right) => left - right);
	return {
		meanMs: tookMs.reduce((sum, ms) => sum + ms, 0) / tookMs.length, p95Ms: tookMs[Math.floor(tookMs.length * 0.95)], done: tookMs.length, sends,
	};
}

const sameOne = (serverId: string, nowMs: number) => serverId === 's1' && Math.floor(nowMs / slowForMs) % 2 === 0 ? slowAtMoment : 1;
const inTurn = (serverId: string, nowMs: number) => Math.floor(nowMs / slowForMs) % serverIds.length === serverIds.indexOf(serverId) ? slowAtMoment : 1;
const alwaysSlow = (serverId: string) => serverId === 's1' ? slowAtMoment : 1;
const seeds = [1, 2, 3];

/** Simulates a load without and with reports; returns both results and a description of them. */
function compare(load: Omit<Load, 'isReporting'>) {
	const without = simulate({...load, isReporting: false});
	const reporting = simulate({...load, isReporting: true});
	const describe = ({meanMs, p95Ms, done, sends}: typeof without) =>
		`mean ${meanMs.toFixed(1)} ms, p95 ${p95Ms} ms, ${done} done, sends ${[...sends.values()].map(({length}) => length).join(' ')}`;
	return {without, reporting, text: `${load.hostCount} hosts, seed ${load.seed}: without reports ${describe(without)}; with them ${describe(reporting)}`};
}

t.test('requests are answered sooner where one upstream after the other is slow for a time and reports it', async t => {
	for (const hostCount of [1, 3]) {
		for (const seed of seeds) {
			const {without, reporting, text} = compare({
				hostCount, perS: 80, seed, slownessOf: inTurn,
			});
			t.ok(reporting.meanMs < without.meanMs && reporting.p95Ms < without.p95Ms && reporting.done >= without.done - 2, text);
		}
	}
});

t.test('hosts that need all upstreams answer sooner where one is slow at times and reports it', async t => {
	for (const seed of seeds) {
		const {without, reporting, text} = compare({
			hostCount: 3, perS: 100, seed, slownessOf: sameOne,
		});
		t.ok(reporting.meanMs < without.meanMs && reporting.p95Ms <= without.p95Ms && reporting.done >= without.done - 2, text);
	}
});

// Guards against an upstream that gets nothing while it is fast, because it was slow when it was called last: 2 of 1915 calls without reports.
t.test('an upstream that is slow at times is used while it is fast, at little cost where the others suffice', async t => {
	for (const seed of seeds) {
		const {without, reporting, text} = compare({
			hostCount: 1, perS: 80, seed, slownessOf: sameOne,
		});
		const slowSends = reporting.sends.get('s1')!;
		const whileFast = slowSends.filter(sentMs => sameOne('s1', sentMs) === 1).length;
		t.ok(slowSends.length >= 150 && whileFast >= 0.6 * slowSends.length, `${whileFast} of ${slowSends.length} while it is fast`);
		t.ok(reporting.meanMs <= 1.04 * without.meanMs, text);
	}
});

// Guards against a slow upstream that gets nothing any more, so that nobody learns that it is fast again.
t.test('an upstream that is always slow gets less work, but some in any three seconds', async t => {
	for (const perS of [4, 20, 80]) {
		for (const seed of seeds) {
			const {sends} = simulate({
				hostCount: 1, perS, isReporting: true, seed, slownessOf: alwaysSlow,
			});
			const [slow, ...others] = [...sends.values()];
			const text = `${perS} per second, seed ${seed}: ${[...sends.values()].map(({length}) => length).join(', ')} sends`;
			t.ok(slow.length < Math.min(...others.map(({length}) => length)), text);
			const gapsMs = [0, ...slow, simulatedMs].map((sentMs, index, all) => sentMs - (all[index - 1] ?? 0));
			t.ok(Math.max(...gapsMs) <= 3000, `longest time without a send: ${Math.max(...gapsMs)} ms`);
		}
	}
});

// Guards against an upstream that was very slow once being avoided after it has recovered.
t.test('an upstream that was slow gets its part again within two seconds', async t => {
	const recoveredMs = 9000;
	for (const seed of seeds) {
		const {sends} = simulate({
			hostCount: 1, perS: 80, isReporting: true, seed, slownessOf: (serverId, nowMs) => serverId === 's1' && nowMs < recoveredMs ? 10 : 1,
		});
		const counts = [...sends.values()].map(times => times.filter(sentMs => sentMs >= recoveredMs + 2000 && sentMs < recoveredMs + 5000).length);
		t.ok(counts[0] >= 0.7 * 60, `${counts.join(', ')} sends in three seconds`);
	}
});

/**
Guards against callers being refused because upstreams of their pool refuse requests immediately (one of four, or half), while
the others have capacity for ten times the load.

Each host detects by itself which upstreams refuse, and has a share of the retry budget: the more hosts share the requests, the
larger the part of the requests that is spent on detection.
*/
import t, {type Test} from 'tap';
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
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {RepeatBudgets} from '../../routing/common/repeat-budgets.js';
import {SendBounds} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {ServerRefusals} from '../../routing/common/server-refusals.js';
import {refusalReasons} from '../../wire/common/messages.js';
import {SlackShare} from '../../routing/common/slack-share.js';
import {makeDirectPlan} from './direct-plan.js';
import {StreamContinuity} from './stream-continuity.js';
import {DirectRouter} from './direct-router.js';
import {EngineChooser} from './engine-chooser.js';
import {PoolAvailability} from './pool-availability.js';

const pool = 'plain';
const serverIds = ['s1', 's2', 's3', 's4'];
const requestsPerS = 60;
const responseMs = 60;
const simulatedMs = 9000;
const maxTries = 3;
/** Minimum share of callers that must be served while other upstreams have capacity. */
const minServedShare = 0.99;

const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.repeatable, timeoutMs: 5000, targetMs: 500, rank: 0, targets: [{pool, weight: 1}],
	maxAttempts: 2, steps: [], isPublic: false, hasAffinity: false, isResumable: false,
};

function makeRouter(hostCount: number, random: SeededRandom): DirectRouter {
	const hosts = Array.from({length: hostCount}, (_, index) => `h${index}`);
	const registry = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
	registry.replaceAll({
		revision: 1,
		servers: serverIds.map(serverId => ({
			serverId, instanceId: serverId, startedMs: 0, pool, address: '127.0.0.1', port: 1, hall: 'x', slots: 8, isLeaving: false, revision: 1,
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
	return DirectRouter.create({
		continuity: StreamContinuity.create({registry, isListCurrent: () => true}),
		hall: 'x',
		registry,
		chooser: ScoreChooser.create(random, PrefixIndex.create()),
		repeats: RepeatBudgets.create({
			bounds: {ratio: 0.2, slack: 60, windowMs: 10_000},
			slack: SlackShare.create({
				viewOf: () => ({
					ownName: 'h0', hosts, isSettled: true, unseenSeedCount: 0,
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
		refusals: ServerRefusals.create(silentLoggers.for('test'), () => hostCount),
	});
}

const stage: StagePlan = makeDirectPlan({
	requestId: 'r',
	workspace: '',
	route,
	version: 1,
	pool,
	engineSlots: 8,
	http: {
		kind: 'http', method: 'GET', path: '/', headers: [], body: new Uint8Array(0),
	},
	promptParts: [],
	needsPreparation: false,
	remainingMs: 5000,
}, 0).stages[0];

/** An attempt that is running on an upstream. */
type RunningAttempt = {readonly router: DirectRouter; readonly attempt: Attempt; readonly untilMs: number};

/** A simulated load, in which the first servers of the pool refuse a share of their requests. */
type Load = {readonly hostCount: number; readonly refusingCount: number; readonly refusedShare: number; readonly seed: number};

/** Simulates a constant load on all hosts; returns the share of callers that are served. */
function simulate({hostCount, refusingCount, refusedShare, seed}: Load): number {
	const refusing = new Set(serverIds.slice(0, refusingCount));
	const random = SeededRandom.create(seed);
	const routers = Array.from({length: hostCount}, () => makeRouter(hostCount, random));
	const running: RunningAttempt[] = [];
	let servedCount = 0;
	let requestCount = 0;
	let refusalCredit = 0;
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += 1000 / requestsPerS) {
		while (running.length > 0 && running[0].untilMs <= nowMs) {
			const {router, attempt, untilMs} = running.shift()!;
			attempt.finish(attemptStates.completed, '');
			attempt.runMs = responseMs;
			router.didEnd(stage, attempt, untilMs);
		}

		const router = routers[requestCount % hostCount];
		requestCount++;
		const tried = new Set<string>();
		for (let tries = 0; tries < maxTries; tries++) {
			if (tries > 0 && !router.mayRetry(stage, nowMs)) {
				break;
			}

			const {upstreamId} = router.choose(stage, tried, 0, nowMs)!.chosen;
			tried.add(upstreamId);
			const attempt = Attempt.create({
				dispatchId: `d${requestCount}-${tries}`, upstreamId, kind: tries === 0 ? 'first' : 'retry', sentAtMs: nowMs, offset: 0, candidates: [],
			});
			router.didDispatch(stage, attempt, 0, nowMs);
			const mayRefuse = refusing.has(upstreamId);
			refusalCredit += mayRefuse ? refusedShare : 0;
			if (refusalCredit < 1 || !mayRefuse) {
				servedCount++;
				running.push({router, attempt, untilMs: nowMs + responseMs});
				break;
			}

			refusalCredit--;
			attempt.finish(attemptStates.notRun, refusalReasons.queueFull);
			router.didEnd(stage, attempt, nowMs + 1);
		}
	}

	return servedCount / requestCount;
}

function checkServed(t: Test, hostCount: number, refusingCount: number, shares: readonly number[] = [1, 0.5, 0.1]): void {
	for (const refusedShare of shares) {
		for (const seed of [1, 2, 3]) {
			const share = simulate({
				hostCount, refusingCount, refusedShare, seed,
			});
			t.ok(share >= minServedShare, `${hostCount} hosts, ${refusedShare} refused by ${refusingCount}, seed ${seed}: ${share.toFixed(3)} served`);
		}
	}
}

t.test('callers of few hosts are served despite upstreams that refuse', async t => {
	for (const refusingCount of [1, 2]) {
		checkServed(t, 1, refusingCount);
		checkServed(t, 3, refusingCount);
	}
});

t.test('callers of many hosts are served despite an upstream that refuses', async t => {
	checkServed(t, 31, 1);
});

t.test('callers of many hosts are served where half of their pool refuses', async t => {
	checkServed(t, 31, 2, [1]);
});

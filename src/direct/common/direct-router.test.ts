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
import type {ColdBounds} from '../../routing/common/rate-bound.js';
import {RepeatBudgets} from '../../routing/common/repeat-budgets.js';
import {SendBounds} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {ServerRefusals} from '../../routing/common/server-refusals.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {refusalReasons} from '../../wire/common/messages.js';
import {SlackShare} from '../../routing/common/slack-share.js';
import {makeDirectPlan} from './direct-plan.js';
import {StreamContinuity} from './stream-continuity.js';
import {DirectRouter} from './direct-router.js';
import {EngineChooser} from './engine-chooser.js';
import {PoolAvailability} from './pool-availability.js';

const pool = 'engines';
const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.stream, timeoutMs: 5000, targetMs: 1000, rank: 0, targets: [{pool, weight: 1}],
	maxAttempts: 2, steps: [], isPublic: false, hasAffinity: true, isResumable: true,
};
const registry = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
registry.replaceAll({
	revision: 1,
	servers: ['e1', 'e2'].map(serverId => ({
		serverId, instanceId: serverId, startedMs: 0, pool, address: '127.0.0.1', port: 1, hall: 'x', slots: 64, isLeaving: false, revision: 1,
	})),
}, 0);

function makeRouter(servers = registry, cold?: ColdBounds): DirectRouter {
	return DirectRouter.create({
		continuity: StreamContinuity.create({registry, isListCurrent: () => true}),
		hall: 'x',
		registry: servers,
		chooser: ScoreChooser.create(SeededRandom.create(1), PrefixIndex.create()),
		repeats: RepeatBudgets.create({
			bounds: {ratio: 0.2, slack: 50, windowMs: 10_000},
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
		refusals: ServerRefusals.create(silentLoggers.for('test'), () => 1),
		availability: PoolAvailability.create({
			registry: servers,
			bounds: SendBounds.create({
				registry: servers,
				limits: {limitOf: () => undefined, forget: () => undefined},
				backoffs: {remainingMs: () => 0, forget: () => undefined},
				share: SendShare.create(() => ({
					ownName: 'a', hosts: ['a'], isSettled: true, unseenSeedCount: 0,
				})),
				cold,
				toleratedPerS: () => 4,
			}),
		}),
	});
}

function stageOf(name: string, tokens: number): StagePlan {
	const plan = makeDirectPlan({
		requestId: name,
		workspace: '',
		route,
		version: 1,
		pool,
		engineSlots: 64,
		http: {
			kind: 'http', method: 'POST', path: '/', headers: [], body: new Uint8Array(0),
		},
		promptParts: [{id: name, tokens}],
		needsPreparation: false,
		remainingMs: 5000,
	}, 0);
	return plan.stages[0];
}

/** Sends one prompt at a time. The head of each response arrives immediately, the first token once the prompt is prefilled, and the end much later. */
function simulate(router: DirectRouter, count: number, msPerToken: number): void {
	for (let index = 0; index < count; index++) {
		const sentAtMs = index * 5000;
		const stage = stageOf(`p${index}`, 1000);
		const {upstreamId} = router.choose(stage, new Set(), 0, sentAtMs)!.chosen;
		const attempt = Attempt.create({
			dispatchId: `d${index}`, upstreamId, kind: 'first', sentAtMs, offset: 0, candidates: [],
		});
		router.didDispatch(stage, attempt, 0, sentAtMs);
		attempt.queueMs = 3;
		router.didBegin(stage, attempt, sentAtMs + 30 + (1000 * msPerToken));
		attempt.finish(attemptStates.completed, '');
		attempt.runMs = 4000;
		router.didEnd(stage, attempt, sentAtMs + 4000);
	}
}

t.test('the time to the first token is estimated from first tokens, not from heads or ends', async t => {
	for (const msPerToken of [0.01, 0.05]) {
		const router = makeRouter();
		simulate(router, 30, msPerToken);
		const {firstTokenMs} = router.predictRun(stageOf('new', 4000), 200_000);
		const expectedMs = 30 + (4000 * msPerToken);
		t.ok(Math.abs(firstTokenMs - expectedMs) < expectedMs * 0.25, `${firstTokenMs} of ${expectedMs}`);
	}
});

t.test('a crashed server receives nothing while others can, even before its entry is removed', async t => {
	const router = makeRouter();
	router.serverCrashed('e1', 1000);
	const chosenAt = (nowMs: number, excluded: string[] = []) => router.choose(stageOf('same', 1000), new Set(excluded), 0, nowMs)!.chosen.upstreamId;
	t.same([1000, 2000, 4900].map(nowMs => chosenAt(nowMs)), ['e2', 'e2', 'e2']);
	t.equal(chosenAt(2000, ['e2']), 'e1', 'the crashed server is used where there is no other');
	router.recordActivity('e1', 'd', 2000);
	t.equal(chosenAt(2000, ['e2']), 'e1');
});

/*
Guards against work being sent repeatedly to the only warm server although it has crashed or is silent, while cold servers that
could take some of it are idle.
*/
t.test('a cold server is preferred to a suspect warm one, and a healthy warm one to both', async t => {
	const servers = ServerRegistry.create({log: silentLoggers.for('test'), leavingWithinMs: 2000});
	servers.replaceAll({
		revision: 1,
		servers: ['warm', 'cold'].map(serverId => ({
			serverId, instanceId: serverId, startedMs: 0, pool, address: '127.0.0.1', port: 1, hall: 'x', slots: 64, isLeaving: false, revision: 1, ...(serverId === 'cold' && {coldLeftMs: 60_000}),
		})),
	}, 0);
	const router = makeRouter(servers, {excess: 1, tolerance: 0});
	const choose = (nowMs: number, excluded: readonly string[] = []) => router.choose(stageOf('p', 1000), new Set(excluded), 0, nowMs)?.chosen.upstreamId;
	t.equal(choose(0), 'warm');
	t.equal(choose(0, ['warm']), 'cold');
	router.serverCrashed('warm', 1000);
	t.equal(choose(1000), 'cold');
});

/** Sends one request to the chosen server, which refuses or completes it; returns the server's id. */
function sendOne(router: DirectRouter, isRefused: (serverId: string) => boolean, nowMs: number, excluded: ReadonlySet<string> = new Set()): string {
	const stage = {...stageOf('one', 1), prompt: undefined};
	const {upstreamId} = router.choose(stage, excluded, 0, nowMs)!.chosen;
	const attempt = Attempt.create({
		dispatchId: `d${nowMs}`, upstreamId, kind: 'first', sentAtMs: nowMs, offset: 0, candidates: [],
	});
	router.didDispatch(stage, attempt, 0, nowMs);
	const hasRefused = isRefused(upstreamId);
	attempt.finish(hasRefused ? attemptStates.notRun : attemptStates.completed, hasRefused ? refusalReasons.queueFull : '');
	attempt.runMs = hasRefused ? 0 : 60;
	router.didEnd(stage, attempt, nowMs + 1);
	return upstreamId;
}

/*
Guards against an upstream being chosen repeatedly because it refuses immediately and so appears idle: callers were refused while
others of its pool were free.
*/
t.test('an upstream that refuses work is avoided until it accepts work again', async t => {
	const router = makeRouter();
	const times = Array.from({length: 500}, (_, index) => index * 20);
	const refused = times.filter(nowMs => sendOne(router, serverId => serverId === 'e1', nowMs) === 'e1');
	t.ok(refused.length <= 14, `${refused.length} of 500 sends in ten seconds`);
	t.equal(router.retryAfterMs(stageOf('one', 1), 10_000), undefined, 'another upstream accepts work');
	sendOne(router, () => true, 10_500, new Set(['e1']));
	sendOne(router, () => true, 10_501, new Set(['e2']));
	const comeBackMs = router.retryAfterMs(stageOf('one', 1), 10_502) ?? 0;
	t.ok(comeBackMs > 0 && comeBackMs <= 1000, `${comeBackMs} ms until one of them is tried again`);
	const later = times.slice(0, 100).map(nowMs => sendOne(router, () => false, 20_000 + nowMs));
	t.ok(later.includes('e1'), 'the server that refused work is used again');
});

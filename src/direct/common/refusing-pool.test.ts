/**
Pattern: a black hole in a pool. One upstream of four refuses each request at once, while the others have room for ten times what is asked.

Each host learns by itself who refuses, and has a part of the budget of repeats: the more hosts share the requests, the more of these are used up on finding out.
*/
import t, {type Test} from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {SeededRandom} from '../../base/common/random.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {clearStanding} from '../../quarantine/common/quarantine.js';
import {Attempt} from '../../request/common/attempt.js';
import {attemptStates, type StagePlan} from '../../request/common/request-plan.js';
import {EngineLoads} from '../../routing/common/engine-loads.js';
import {PrefixIndex} from '../../routing/common/prefix-index.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {SendBounds} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {ServerRefusals} from '../../routing/common/server-refusals.js';
import {refusalReasons} from '../../wire/common/messages.js';
import {makeDirectPlan} from './direct-plan.js';
import {DirectRouter} from './direct-router.js';
import {EngineChooser} from './engine-chooser.js';
import {PoolAvailability} from './pool-availability.js';

const pool = 'plain';
const serverIds = ['s1', 's2', 's3', 's4'];
const askedPerS = 60;
const answerMs = 60;
const playMs = 9000;
const mostTries = 3;
/** Part of the callers that is served where other upstreams have room. */
const servedShare = 0.99;

const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.repeatable, timeoutMs: 5000, targetMs: 500, rank: 0, targets: [{pool, weight: 1}],
	maxAttempts: 2, steps: [], isPublic: false, hasAffinity: false, isResumable: false,
};

function makeRouter(hostCount: number, random: SeededRandom): DirectRouter {
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
		rests: {remainingMs: () => 0, forget: () => undefined},
		share: SendShare.create(() => ({own: 'a', hosts: ['a'], isSettled: true})),
		cold: undefined,
		bearsPerS: () => 0,
	});
	return DirectRouter.create({
		hall: 'x',
		registry,
		chooser: ScoreChooser.create(random, PrefixIndex.create()),
		bounds: {ratio: 0.2, slack: 60, windowMs: 10_000},
		hostCount: () => hostCount,
		newDispatchId: () => 'd',
		engines: EngineChooser.create(EngineLoads.create()),
		assigned: () => undefined,
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

/** An attempt at work on an upstream that takes it. */
type AtWork = {readonly router: DirectRouter; readonly attempt: Attempt; readonly untilMs: number};

/** What is played: the first servers of the pool refuse a part of their requests. */
type Play = {readonly hostCount: number; readonly refusingCount: number; readonly refusedShare: number; readonly seed: number};

/** Plays a steady load on all hosts; tells what part of the callers is served. */
function play({hostCount, refusingCount, refusedShare, seed}: Play): number {
	const refusing = new Set(serverIds.slice(0, refusingCount));
	const random = SeededRandom.create(seed);
	const routers = Array.from({length: hostCount}, () => makeRouter(hostCount, random));
	const atWork: AtWork[] = [];
	let served = 0;
	let asked = 0;
	let refusedPart = 0;
	for (let nowMs = 0; nowMs < playMs; nowMs += 1000 / askedPerS) {
		while (atWork.length > 0 && atWork[0].untilMs <= nowMs) {
			const {router, attempt, untilMs} = atWork.shift()!;
			attempt.finish(attemptStates.completed, '');
			attempt.runMs = answerMs;
			router.didEnd(stage, attempt, untilMs);
		}

		const router = routers[asked % hostCount];
		asked++;
		const tried = new Set<string>();
		for (let tries = 0; tries < mostTries; tries++) {
			if (tries > 0 && !router.mayRetry(stage, nowMs)) {
				break;
			}

			const {upstreamId} = router.choose(stage, tried, 0, nowMs)!.chosen;
			tried.add(upstreamId);
			const attempt = Attempt.create({
				dispatchId: `d${asked}-${tries}`, upstreamId, kind: tries === 0 ? 'first' : 'retry', sentAtMs: nowMs, offset: 0, candidates: [],
			});
			router.didDispatch(stage, attempt, 0, nowMs);
			const mayRefuse = refusing.has(upstreamId);
			refusedPart += mayRefuse ? refusedShare : 0;
			if (refusedPart < 1 || !mayRefuse) {
				served++;
				atWork.push({router, attempt, untilMs: nowMs + answerMs});
				break;
			}

			refusedPart--;
			attempt.finish(attemptStates.notRun, refusalReasons.queueFull);
			router.didEnd(stage, attempt, nowMs + 1);
		}
	}

	return served / asked;
}

function isServed(t: Test, hostCount: number, refusingCount: number, shares: readonly number[] = [1, 0.5, 0.1]): void {
	for (const refusedShare of shares) {
		for (const seed of [1, 2, 3]) {
			const share = play({
				hostCount, refusingCount, refusedShare, seed,
			});
			t.ok(share >= servedShare, `${hostCount} hosts, ${refusedShare} refused by ${refusingCount}, seed ${seed}: ${share.toFixed(3)} served`);
		}
	}
}

t.test('callers of few hosts are served beside an upstream that refuses', async t => {
	for (const refusingCount of [1, 2]) {
		isServed(t, 1, refusingCount);
		isServed(t, 3, refusingCount);
	}
});

t.test('callers of many hosts are served beside an upstream that refuses', async t => {
	isServed(t, 31, 1);
});

t.test('callers of many hosts are served where half of their pool refuses', async t => {
	isServed(t, 31, 2, [1]);
});

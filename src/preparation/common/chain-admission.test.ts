import t from 'tap';
import {routeKinds, type Deployment, type Route} from '../../deployment/common/declaration.js';
import {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {
	decideChain, poolAsksOf, type ChainRequest, type ChainTimes,
} from './chain-admission.js';
import type {Quote} from './quotes.js';

/** The first and the third pool of the example load in docs/design/hard-load.md, and one that is not scheduled. */
const pools = [
	{name: 'front', batchSize: 12, itemMs: 14}, {name: 'deep', batchSize: 54, itemMs: 3.21}, {name: 'plain', batchSize: 10, itemMs: 10},
].map(({name, batchSize, itemMs}) => ({
	name, maxConnections: 1, batch: {
		slots: 1, batchSize, itemMs, callMs: 200, roomBytes: 1, resultTtlMs: 1,
	},
}));
const query: Route = {
	name: 'query', hostName: 'h', pathPrefix: '/', kind: routeKinds.stream, timeoutMs: 6000, targetMs: 1500, rank: 2, targets: [{pool: 'model', weight: 1}],
	maxAttempts: 1, steps: [{pool: 'front', after: [], resultBytes: 10}, {pool: 'deep', after: [0], resultBytes: 20}], isPublic: false, hasAffinity: false, isResumable: false,
};
const deployment: Deployment = {
	version: 1, routes: [query], pools, limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};
const scheduled = new Set(['front', 'deep']);
const request: ChainRequest = {
	index: DeploymentIndex.create(deployment), route: query, pieceCounts: [1, 10], rank: 2, firstTokenMs: 100,
};
const times: ChainTimes = {
	elapsedMs: 0, sinceFirstTryMs: 0, limitMs: 6000, jitter: 0,
};
const noWaits = {waitMs: () => 0};
const quote = (aheadMs: number, lateAheadMs: number | undefined): Quote => ({aheadMs, callMs: 300, lateAheadMs});
const quotes = (front: Quote, deep: Quote) => new Map([['front', front], ['deep', deep]]);
const idle = quote(0, 0);

/*
Load: requests with several steps in one pool, beside steps in a pool that is not scheduled. Guards against work that is not reserved,
or reserved twice, so that other requests are quoted a wait that is too short or too long.
*/
t.test('one ask for each scheduled pool holds all steps of the request there', async t => {
	const route = {
		...query, steps: [
			{pool: 'front', after: [], resultBytes: 1},
			{pool: 'front', after: [], resultBytes: 2},
			{pool: 'plain', after: [1], resultBytes: 3},
			{pool: 'deep', after: [2], resultBytes: 4},
			{pool: 'deep', after: [3], resultBytes: 5},
		],
	};
	const identity = {requestId: 'r', workspace: 'w'};
	t.same(poolAsksOf({...request, route, pieceCounts: [2, 1, 1, 10, 0]}, identity, scheduled), [
		{
			pool: 'front', requestId: 'r', rank: 2, workspace: 'w', readyInMs: 0,
			steps: [{stepKey: 'query#0', pieces: 2, resultBytes: 1}, {stepKey: 'query#1', pieces: 1, resultBytes: 2}],
		},
		{
			pool: 'deep', requestId: 'r', rank: 2, workspace: 'w', readyInMs: 284 + 250, steps: [{stepKey: 'query#3', pieces: 10, resultBytes: 4}],
		},
	], 'half-full calls of 284 ms and 250 ms come before the second pool; a step without pieces is left out');
	t.same(poolAsksOf({...request, route, pieceCounts: [0, 0, 1, 0, 0]}, identity, scheduled), [], 'no step in a scheduled pool has pieces');
});

/*
Load: a queue of the same length before both pools of a chain. Guards against refusing requests that fit, which happens if waits
of successive pools are added although their queues drain at the same time.
*/
t.test('a request whose pools have long queues at the same time is admitted if it fits', async t => {
	const decision = decideChain(request, times, quotes(quote(700, 900), quote(1100, 1400)), noWaits);
	t.same(decision, {type: 'inTime', predictedMs: 1100 + 300 + 100, startMs: 700});
});

/*
Load: work that is admitted but still in the first pool fills the last one. Guards against beginning the first step for a request
whose last pool has no room in time.
*/
t.test('a free first pool does not admit a request whose last pool is full', async t => {
	t.match(decideChain(request, times, quotes(idle, quote(1101, undefined)), noWaits), {
		type: 'refused', reason: 'noCapacity', pool: 'deep', predictedMs: 1501, latePredictedMs: undefined, retryAfterMs: 2000,
	}, 'a third of the 6000 ms of the caller');
});

/*
Load: a burst of twice the capacity after which the pools have spare capacity again. Guards against late work for which no caller
waits, and against refusing requests that can be served late.
*/
t.test('a request that misses its target is admitted late only if it ends a full call before its caller leaves', async t => {
	// Callers of streams leave after three times the target, 4500 ms; the longest full call takes 373.34 ms.
	const fits = quotes(idle, quote(1300, 4500 - 374 - 400));
	t.same(decideChain(request, times, fits, noWaits), {
		type: 'late', predictedMs: 1700, latePredictedMs: 4126, startMs: 0,
	});
	const tooLong = quotes(idle, quote(1300, 4500 - 373 - 400));
	t.match(decideChain(request, times, tooLong, noWaits), {
		type: 'refused', reason: 'overTarget', pool: 'deep', latePredictedMs: 4127,
	});
	t.match(decideChain({...request, route: {...query, kind: routeKinds.repeatable}}, times, tooLong, noWaits), {type: 'late'}, 'callers of other routes wait until their limit');
	t.match(decideChain(request, {...times, limitMs: 4400}, fits, noWaits), {type: 'refused'}, 'the caller has less time than three targets');
	t.match(decideChain(request, {...times, elapsedMs: 1}, fits, noWaits), {type: 'refused'}, 'time that has passed since the receipt counts');
});

/*
Load: a crowd that takes all of one pool of a chain while the others have room. Guards against late work that would only lengthen the
queue of the full pool.
*/
t.test('a request is not admitted late if one pool of its chain has no spare capacity', async t => {
	t.match(decideChain(request, times, quotes(quote(200, undefined), quote(1300, 1500)), noWaits), {
		type: 'refused', reason: 'noCapacity', pool: 'front',
	}, 'the pool without capacity is reported although the other one has the longer queue');
});

/*
Load: callers that come back after a refusal. Guards against counting a returning caller as in time, which would take the place of
a request that still is.
*/
t.test('the target counts from the caller\'s first attempt', async t => {
	t.match(decideChain(request, {...times, sinceFirstTryMs: 700}, quotes(idle, idle), noWaits), {type: 'inTime'}, '700 ms of 800 ms');
	t.match(decideChain(request, {...times, sinceFirstTryMs: 801}, quotes(idle, idle), noWaits), {type: 'late'});
});

/*
Load: a burst whose refused callers come back. Guards against callers that return before there is room, and against a delay so long that
they do not return at all.
*/
t.test('refused callers are asked to retry once the excess has drained, within their remaining time', async t => {
	const retryAfterMs = (lateAheadMs: number, changes: Partial<ChainTimes> = {}) => {
		const decision = decideChain(request, {...times, ...changes}, quotes(idle, quote(1300, lateAheadMs)), noWaits);
		return decision.type === 'refused' ? Math.round(decision.retryAfterMs) : undefined;
	};

	t.equal(retryAfterMs(3800), 600, 'at least 600 ms: late service is possible again after 73 ms');
	t.equal(retryAfterMs(4527), 696, 'the 200 ms over the target drain at the spare rate, 1300 / 4527 of the full one');
	t.equal(retryAfterMs(4527, {jitter: 0.99}), 765, 'little jitter');
	t.equal(retryAfterMs(3800, {limitMs: 1500}), 500, 'a third of the remaining time is the stronger bound');
	t.equal(retryAfterMs(3800, {limitMs: 1500, elapsedMs: 300}), 400);
});

/*
Load: a crowded pool that a request does not use, and a chain that leads through a pool that is not scheduled. Guards against waits that
the request does not have, or that are left out.
*/
t.test('steps without pieces take no time, and waits for pools that are not scheduled are added', async t => {
	t.match(decideChain({...request, pieceCounts: [0, 10]}, times, quotes(quote(9000, undefined), idle), noWaits), {type: 'inTime', predictedMs: 400, startMs: 0});
	const route = {...query, steps: [{pool: 'plain', after: [], resultBytes: 1}, query.steps[1]]};
	t.match(decideChain({...request, route}, times, new Map([['deep', quote(500, 500)]]), {waitMs: () => 400}), {
		type: 'inTime', predictedMs: 400 + 250 + 300 + 100, startMs: 400,
	});
});

/*
Load: idle pools. Guards against steps that are predicted to run at once because the steps that they read are declared after them.
*/
t.test('steps may be declared before those whose results they read', async t => {
	const route = {...query, steps: [{pool: 'deep', after: [1], resultBytes: 1}, {pool: 'front', after: [], resultBytes: 1}]};
	t.match(decideChain({...request, route, pieceCounts: [10, 1]}, times, quotes(idle, idle), noWaits), {type: 'inTime', predictedMs: 700});
	t.same(poolAsksOf({...request, route, pieceCounts: [10, 1]}, {requestId: 'r', workspace: ''}, scheduled).map(({pool, readyInMs}) => [pool, readyInMs]), [['front', 0], ['deep', 284]]);
});

/**
Guards against refusing work that a slow pool could do. With all workers of a pool three times slower than declared, 705
requests were refused on admission within 15 seconds, although all four workers were idle and nothing was queued.

The load: requests of two steps, with 2 pieces and 1 piece, arrive at a steady rate at a pool of three workers. The declared
times are 20 ms for a call and 2 ms for each piece, but calls may take longer; the target is 500 ms, the limit
3 s. In the first test the requested rate is half of what the workers can really do with each step in a call of its own.
*/
import t from 'tap';
import {routeKinds, type BatchCapacity, type Route} from '../../deployment/common/declaration.js';
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {admit} from './admission.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import type {BatchWork, PieceOutcome} from './work.js';

const capacity: BatchCapacity = {
	slots: 1, batchSize: 4, callMs: 20, itemMs: 2, roomBytes: 1e9, resultTtlMs: 4000,
};
const limitMs = 3000;
const stepMs = 1;
const piecesOf = [2, 1];
const route: Route = {
	name: 'r', hostName: 'h', pathPrefix: '/', kind: routeKinds.stream, timeoutMs: 5000, targetMs: 500, rank: 0, targets: [{pool: 'p', weight: 1}],
	maxAttempts: 2, steps: [{pool: 'p', after: [], resultBytes: 10}, {pool: 'p', after: [0], resultBytes: 10}], isPublic: false, hasAffinity: true, isResumable: true,
};
const index = {pool: () => ({batch: capacity})} as unknown as DeploymentIndex;

const servers: UpstreamServer[] = Array.from({length: 3}, (_, number) => ({
	serverId: `s${number}`, instanceId: `s${number}`, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
}));

const declaredMs = (pieces: number) => capacity.callMs + (pieces * capacity.itemMs);
/** Declared duration of the steps of one request, each in a call of its own. */
const requestMs = piecesOf.reduce((sum, pieces) => sum + declaredMs(pieces), 0);

function workOf(workId: string, step: number, receivedMs: number): BatchWork {
	return {
		workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step, pieces: Array.from({length: piecesOf[step]}, (_, piece) => piece), inputs: step > 0 ? ['x'] : undefined,
		resultBytes: 10, rank: 0, dueMs: receivedMs + route.targetMs, lateDueMs: receivedMs + limitMs - declaredMs(1), deadlineMs: receivedMs + limitMs, hall: '', crossingBytes: 0,
	};
}

type Load = {
	/** Requests per second at a time. */
	readonly perS: number | ((nowMs: number) => number);
	/** Ratio of actual to declared call duration of each worker. */
	readonly slowness: readonly number[];
	readonly untilMs: number;
};

/** Simulates a load. Returns the outcomes of the requests, and the number of calls to each worker. */
function play({perS, slowness, untilMs}: Load) {
	const scheduler = BatchScheduler.create();
	const open = new Map<string, {readonly receivedMs: number; left: number}>();
	const calls: BatchCall[] = [];
	const callCounts = servers.map(() => 0);
	const refusedMs: number[] = [];
	let asked = 0;
	let served = 0;
	let owed = 0;
	const take = (call: BatchCall, nowMs: number) => {
		scheduler.completeCall(call, call.pieces.map((_, piece): PieceOutcome => ({ok: true, ref: {handle: `${call.callId}-${piece}`, serverId: call.server.serverId}})), capacity, nowMs);
		for (const {work} of call.pieces) {
			const request = open.get(work.workId)!;
			request.left--;
			if (request.left === 0 && work.step === 0) {
				request.left = piecesOf[1];
				scheduler.add(workOf(work.workId, 1, request.receivedMs), nowMs);
			} else if (request.left === 0) {
				served++;
			}
		}
	};

	for (let nowMs = 0; nowMs < untilMs + limitMs; nowMs += stepMs) {
		const now = typeof perS === 'number' ? perS : perS(nowMs);
		owed += nowMs < untilMs ? now * stepMs / 1000 : 0;
		for (; owed >= 1; owed--) {
			const workId = `r${asked}`;
			asked++;
			const admission = admit({
				index, route, pieceCounts: piecesOf, rank: 0, firstTokenMs: 20, sinceFirstTryMs: 0, jitter: 0,
			}, {waitMs: (_, rank) => scheduler.waitMs(servers, capacity, rank, nowMs)});
			if (admission.isAdmitted) {
				open.set(workId, {receivedMs: nowMs, left: piecesOf[0]});
				scheduler.add(workOf(workId, 0, nowMs), nowMs);
			} else {
				refusedMs.push(nowMs);
			}
		}

		for (const call of calls.splice(0)) {
			const number = servers.indexOf(call.server);
			if (nowMs >= call.deadlineMs) {
				scheduler.failCall(call, 'broken', nowMs);
			} else if (nowMs >= call.sentMs + (declaredMs(call.pieces.length) * slowness[number])) {
				take(call, nowMs);
			} else {
				calls.push(call);
			}
		}

		for (const call of scheduler.nextCalls(servers, capacity, nowMs)) {
			callCounts[servers.indexOf(call.server)]++;
			calls.push(call);
		}

		scheduler.failLate(servers, capacity, nowMs);
		scheduler.sweep(() => true, nowMs);
	}

	return {
		asked, served, refusedMs, callCounts,
	};
}

t.test('a pool whose workers are all slower than declared serves as much as they can really do', async t => {
	for (const factor of [1, 1.5, 2, 3, 10]) {
		// Three workers, busy half of the time.
		const perS = 1000 * servers.length / (2 * requestMs * factor);
		const {asked, served} = play({perS, slowness: [factor, factor, factor], untilMs: 10_000});
		t.ok(served >= 0.97 * asked, `${served} of ${asked} at ${factor} times the declared time`);
	}

	for (const factor of [3, 10]) {
		const {asked, served} = play({perS: 1, slowness: [factor, factor, factor], untilMs: 20_000});
		t.ok(served >= 0.97 * asked, `${served} of ${asked} at ${factor} times the declared time, one per second`);
	}
});

t.test('one slow worker among fast ones gets work only if the others can\'t take everything', async t => {
	const quarter = 1000 * servers.length / (4 * requestMs);
	const little = play({perS: quarter, slowness: [1, 1, 5], untilMs: 10_000});
	t.equal(little.served, little.asked);
	t.ok(little.callCounts[2] <= 0.1 * little.callCounts[0], `${little.callCounts.join(', ')} calls`);
	const much = play({perS: 5 * quarter, slowness: [1, 1, 5], untilMs: 10_000});
	t.ok(much.callCounts[2] > 10, `${much.callCounts.join(', ')} calls`);
	t.ok(much.served >= 0.9 * much.asked, `${much.served} of ${much.asked}`);
});

t.test('requests are refused on admission if the queue is really too long, with slow and with fast workers', async t => {
	for (const factor of [1, 3]) {
		const perS = 4 * 1000 * servers.length * capacity.batchSize / ((piecesOf[0] + piecesOf[1]) * declaredMs(capacity.batchSize) * factor);
		const {asked, served, refusedMs} = play({perS, slowness: [factor, factor, factor], untilMs: 10_000});
		t.ok(refusedMs.length >= asked / 2, `${refusedMs.length} of ${asked} refused`);
		t.ok(refusedMs[0] <= 2000, `the first after ${refusedMs[0]} ms`);
		t.ok(served >= 0.9 * (asked - refusedMs.length), `${served} of ${asked - refusedMs.length} admitted`);
	}
});

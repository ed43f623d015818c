/**
Guards against a pool under overload that has no order, that misjudges its own capacity, or whose space for results stalls it.
In a deployment with bursts of queries of twice the capacity, drafts beside them earned half of their worth, since a rank was worth
250 ms of due time whatever the backlog.

The loads are those of docs/design/hard-load.md: a crowd of low rank beside a few urgent requests; a burst of twice the capacity;
items that take 0.3 of the declared time; results that fill the space. As in the `Preparer`, a step is due when a half-full call must
begin, so it is in time if it is done within the duration of such a call after that.
*/
import t from 'tap';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {BatchCall} from './batch-call.js';
import {BatchScheduler} from './batch-scheduler.js';
import {ItemTimes} from './item-times.js';
import {pieceFailures, type BatchWork, type PieceOutcome} from './work.js';

/** Steps of one kind that arrive at a steady rate. */
type Kind = {
	readonly name: string;
	readonly rank: number;
	readonly perS: (nowMs: number) => number;
	readonly pieces: number;
	/** Time from submission until a step is due. */
	readonly dueInMs: number;
	/** Time from submission until a step is of no use. */
	readonly lateDueInMs: number;
	readonly resultBytes?: number;
	/** Ratio of actual to declared time of its items. */
	readonly itemFactor?: number;
	/** Time from the end of a step until its results are released. */
	readonly releaseAfterMs?: number;
};
type Load = {readonly kinds: readonly Kind[]; readonly capacity: BatchCapacity; readonly upstreams: number; readonly untilMs: number; readonly isScheduled?: boolean};
type Step = {readonly kind: Kind; readonly submittedMs: number; left: number; doneMs?: number; failedMs?: number};

const stepMs = 5;
const pool1: BatchCapacity = {
	slots: 1, batchSize: 12, callMs: 200, itemMs: 14, roomBytes: 1e9, resultTtlMs: 8000,
};
const pool3: BatchCapacity = {
	slots: 1, batchSize: 54, callMs: 200, itemMs: 3.21, roomBytes: 1e9, resultTtlMs: 8000,
};

/** Simulates a load without a network. */
function play({kinds, capacity, upstreams, untilMs, isScheduled = true}: Load) {
	const itemTimes = ItemTimes.create();
	const scheduler = BatchScheduler.create({scheduled: {isScheduled: () => isScheduled, itemDurations: itemTimes}});
	const servers: UpstreamServer[] = Array.from({length: upstreams}, (_, index) => ({
		serverId: `s${index}`, instanceId: `s${index}`, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
	}));
	const steps = new Map<string, Step>();
	const works = new Map<string, BatchWork>();
	const calls: BatchCall[] = [];
	const usedBytes = new Map(servers.map(({serverId}) => [serverId, 0]));
	const handlesOf = new Map<string, Array<{readonly serverId: string; readonly handle: string}>>();
	const releases: Array<{readonly atMs: number; readonly workId: string}> = [];
	const owed = kinds.map(() => 0);
	/** Actual upstream time of useful pieces, by the time at which their calls began. */
	const useful: Array<{readonly sentMs: number; readonly serverMs: number}> = [];
	let uselessCount = 0;
	let refusedCount = 0;
	const itemMs = ({stepKey}: BatchWork) => capacity.itemMs * (kinds.find(({name}) => name === stepKey)?.itemFactor ?? 1);
	const tookMs = (call: BatchCall) => call.pieces.reduce((sum, {work}) => sum + itemMs(work), capacity.callMs);

	const complete = (call: BatchCall, nowMs: number) => {
		const {serverId} = call.server;
		const outcomes = call.pieces.map(({work}, index): PieceOutcome => {
			if (usedBytes.get(serverId)! + work.resultBytes > capacity.roomBytes) {
				refusedCount++;
				return {ok: false, reason: pieceFailures.noRoom};
			}

			usedBytes.set(serverId, usedBytes.get(serverId)! + work.resultBytes);
			const handle = `${call.callId}-${index}`;
			handlesOf.set(work.workId, [...(handlesOf.get(work.workId) ?? []), {serverId, handle}]);
			return {ok: true, ref: {handle, serverId}};
		});
		scheduler.completeCall(call, outcomes, capacity, nowMs);
		for (const [index, {work}] of call.pieces.entries()) {
			const step = steps.get(work.workId)!;
			if (!outcomes[index].ok) {
				continue;
			}

			step.left--;
			if (call.sentMs > work.lateDueMs || step.failedMs !== undefined) {
				uselessCount++;
			} else {
				useful.push({sentMs: call.sentMs, serverMs: (capacity.callMs / capacity.batchSize) + itemMs(work)});
			}

			if (step.left === 0) {
				step.doneMs = nowMs;
				releases.push({atMs: nowMs + (step.kind.releaseAfterMs ?? 0), workId: work.workId});
			}
		}
	};

	const release = (nowMs: number) => {
		for (const each of releases.splice(0)) {
			if (nowMs < each.atMs) {
				releases.push(each);
				continue;
			}

			for (const {serverId, handle} of handlesOf.get(each.workId) ?? []) {
				usedBytes.set(serverId, usedBytes.get(serverId)! - works.get(each.workId)!.resultBytes);
				scheduler.freeResults(serverId, [handle], nowMs);
			}

			handlesOf.delete(each.workId);
		}
	};

	for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
		for (const [index, kind] of kinds.entries()) {
			owed[index] += kind.perS(nowMs) * stepMs / 1000;
			for (; owed[index] >= 1; owed[index]--) {
				const workId = `${kind.name}-${steps.size}`;
				const work: BatchWork = {
					workId, pool: 'p', callerRequestId: workId, contentId: workId, pieceKey: 'k', step: 0, pieces: Array.from({length: kind.pieces}, (_, piece) => piece), inputs: undefined,
					resultBytes: kind.resultBytes ?? 10, rank: kind.rank, dueMs: nowMs + kind.dueInMs, lateDueMs: nowMs + kind.lateDueInMs, deadlineMs: nowMs + kind.lateDueInMs,
					hall: '', crossingBytes: 0, stepKey: kind.name, workspace: kind.name,
				};
				steps.set(workId, {kind, submittedMs: nowMs, left: kind.pieces});
				works.set(workId, work);
				scheduler.add(work, nowMs);
			}
		}

		for (const call of calls.splice(0)) {
			if (nowMs < call.sentMs + tookMs(call)) {
				calls.push(call);
			} else {
				complete(call, nowMs);
			}
		}

		release(nowMs);
		calls.push(...scheduler.nextCalls(servers, capacity, nowMs));
		for (const {work} of [...scheduler.failLate(servers, capacity, nowMs), ...scheduler.sweep(() => true, nowMs)]) {
			const step = steps.get(work.workId)!;
			if (step.failedMs === undefined) {
				step.failedMs = nowMs;
				scheduler.cancel(work.workId);
				releases.push({atMs: nowMs, workId: work.workId});
			}
		}
	}

	const allowedMs = capacity.callMs + (capacity.batchSize * capacity.itemMs / 2);
	const stepsOf = (name: string, fromMs: number, toMs: number) =>
		[...steps.values()].filter(({kind, submittedMs}) => kind.name === name && submittedMs >= fromMs && submittedMs < toMs);
	return {
		scheduler, servers, itemTimes, uselessCount, refusedCount,
		inTimeShare(name: string, fromMs: number, toMs: number, extraMs = allowedMs): number {
			const submitted = stepsOf(name, fromMs, toMs);
			return submitted.filter(({kind, submittedMs, doneMs}) => (doneMs ?? Infinity) <= submittedMs + kind.dueInMs + extraMs).length / submitted.length;
		},
		servedShare(name: string, fromMs: number, toMs: number): number {
			const submitted = stepsOf(name, fromMs, toMs);
			return submitted.filter(({failedMs, doneMs}) => failedMs === undefined && doneMs !== undefined).length / submitted.length;
		},
		/** Share of the time of all upstreams that useful work took, counted with full calls. */
		usedShare(fromMs: number, toMs: number): number {
			const sumMs = useful.filter(({sentMs}) => sentMs >= fromMs && sentMs < toMs).reduce((sum, {serverMs}) => sum + serverMs, 0);
			return sumMs / (upstreams * (toMs - fromMs));
		},
	};
}

/** Shares for the messages of assertions. */
const percent = (share: number) => `${(100 * share).toFixed(1)} %`;

const burst = {fromMs: 1000, toMs: 7000};
const draft: Kind = {
	name: 'draft', rank: 1, perS: () => 16, pieces: 10, dueInMs: 700, lateDueInMs: 4000,
};
const query: Kind = {
	name: 'query', rank: 2, perS: nowMs => nowMs >= burst.fromMs && nowMs < burst.toMs ? 340 : 92, pieces: 10, dueInMs: 1900, lateDueInMs: 4500,
};

t.test('a crowd of low rank beside a few urgent steps: the urgent ones are in time and the pool does no useless work', async t => {
	const played = play({
		kinds: [draft, query], capacity: pool3, upstreams: 13, untilMs: 14_000,
	});
	const urgentShare = played.inTimeShare('draft', 0, 12_000);
	t.ok(urgentShare >= 0.99, `drafts in time: ${percent(urgentShare)}`);
	const earlyShare = played.inTimeShare('draft', 0, 12_000, 0);
	t.ok(earlyShare >= 0.99, `drafts done before they are due: ${percent(earlyShare)}`);
	const usedShare = played.usedShare(burst.fromMs + 500, burst.toMs);
	t.ok(usedShare >= 0.9, `used during the burst: ${percent(usedShare)}`);
	t.equal(played.uselessCount, 0);
	const afterShare = played.inTimeShare('query', burst.toMs + 4000, 11_900);
	t.ok(afterShare >= 0.99, `queries in time after the burst: ${percent(afterShare)}`);
});

t.test('a burst of twice the capacity: urgent steps are in time, and the pool is used for work that is of use', async t => {
	const report: Kind = {
		name: 'report', rank: 0, perS: () => 42, pieces: 3, dueInMs: 400, lateDueInMs: 3000,
	};
	// 12 upstreams do 390 pieces a second; reports ask for a third of them, the others for 1.7 times as many as there are.
	const crowd: Kind = {
		name: 'crowd', rank: 2, perS: nowMs => nowMs >= burst.fromMs && nowMs < burst.toMs ? 660 : 150, pieces: 1, dueInMs: 1900, lateDueInMs: 4500,
	};
	const played = play({
		kinds: [report, crowd], capacity: pool1, upstreams: 12, untilMs: 14_000,
	});
	const urgentShare = played.inTimeShare('report', 0, 12_000);
	t.ok(urgentShare >= 0.99, `reports in time: ${percent(urgentShare)}`);
	const usedShare = played.usedShare(burst.fromMs + 500, burst.toMs);
	t.ok(usedShare >= 0.9, `used during the burst: ${percent(usedShare)}`);
	t.equal(played.uselessCount, 0);
});

t.test('urgent steps that have no time to wait: calls are shortened for them, but not at the cost of the pool', async t => {
	const tight: Kind = {
		name: 'tight', rank: 0, perS: () => 42, pieces: 3, dueInMs: 20, lateDueInMs: 3000,
	};
	for (const [crowdPerS, minTightShare, minUsedShare] of [[150, 0.8, 0], [300, 0, 0.9]] as const) {
		const crowd: Kind = {
			name: 'crowd', rank: 2, perS: () => crowdPerS, pieces: 1, dueInMs: 900, lateDueInMs: 4500,
		};
		const played = play({
			kinds: [tight, crowd], capacity: pool1, upstreams: 12, untilMs: 10_000,
		});
		const tightShare = played.inTimeShare('tight', 0, 8000);
		t.ok(tightShare >= minTightShare, `urgent ones in time beside ${crowdPerS} others a second: ${percent(tightShare)}`);
		const crowdShare = played.inTimeShare('crowd', 0, 8000);
		t.ok(crowdShare >= 0.99, `others in time: ${percent(crowdShare)}`);
		const usedShare = played.usedShare(1500, 8000);
		t.ok(usedShare >= minUsedShare, `used: ${percent(usedShare)}`);
	}
});

t.test('items that take 0.3 of the declared time: the pool learns it and its waits and loads follow', async t => {
	const quick: Kind = {
		name: 'quick', rank: 2, perS: () => 420, pieces: 1, dueInMs: 900, lateDueInMs: 4000, itemFactor: 0.3,
	};
	const play12 = (isScheduled: boolean) => play({
		kinds: [quick], capacity: pool1, upstreams: 12, untilMs: 6000, isScheduled,
	});
	const played = play12(true);
	const inTimeShare = played.inTimeShare('quick', 0, 4500);
	t.ok(inTimeShare >= 0.99, `in time: ${percent(inTimeShare)}`);
	const {scheduler, servers, itemTimes} = played;
	const learned = itemTimes.itemMs('quick', pool1) / pool1.itemMs;
	t.ok(Math.abs(learned - 0.3) < 0.05, `learned ${learned}`);
	// What is queued now takes the learned time.
	const waiting = scheduler.waitingCount;
	const {queue} = scheduler.poolState(servers, pool1, 6000);
	const serverMs = queue.reduce((sum, load) => sum + load.serverMs, 0);
	t.ok(Math.abs(serverMs - (waiting * ((200 / 12) + (14 * learned)))) < 1e-6, `${serverMs} ms for ${waiting} pieces`);
});

t.test('results that fill the space: small results do not wait for it, and no call finds none', async t => {
	const capacity: BatchCapacity = {
		slots: 1, batchSize: 8, callMs: 200, itemMs: 21, roomBytes: 18e6, resultTtlMs: 8000,
	};
	// 12 upstreams of 18 MB hold 132 results that this host counts on; a result is held for 368 ms and 900 ms more: 104 per second.
	const report: Kind = {
		name: 'report', rank: 0, perS: nowMs => nowMs < 6000 ? 75 : 25, pieces: 2, dueInMs: 800, lateDueInMs: 3500, resultBytes: 1.5e6, releaseAfterMs: 900,
	};
	const small: Kind = {
		name: 'small', rank: 1, perS: () => 40, pieces: 1, dueInMs: 900, lateDueInMs: 6000, resultBytes: 2000, releaseAfterMs: 500,
	};
	const played = play({
		kinds: [report, small], capacity, upstreams: 12, untilMs: 10_000,
	});
	const smallShare = played.inTimeShare('small', 0, 8000);
	t.ok(smallShare >= 0.99, `small ones in time: ${percent(smallShare)}`);
	t.equal(played.refusedCount, 0);
	const afterShare = played.inTimeShare('report', 8000, 8800);
	t.ok(afterShare >= 0.99, `reports in time after the burst: ${percent(afterShare)}`);
	const servedShare = played.servedShare('report', 1000, 6000);
	// 104 of 150 results a second find space.
	t.ok(servedShare >= 0.9 * 104 / 150, `reports served: ${percent(servedShare)}`);
	const {meanHoldMs} = played.scheduler.poolState(played.servers, capacity, 10_000);
	t.ok(meanHoldMs > 1000 && meanHoldMs < 1600, `held for ${meanHoldMs} ms`);
});

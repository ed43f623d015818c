/**
Schedules the batches of one pool: pieces of all requests wait in one queue, and each upstream that becomes free takes
the most urgent ones. Takes events and the time as input and returns the calls to make; does no I/O.
*/
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {pieceHandlings} from '../../quarantine/common/quarantine.js';
import {
	fetchTimeOf, type BatchCall, type BatchPiece, type CallFailure, type FinishedPiece,
} from './batch-call.js';
import {CanceledWorks} from './canceled-works.js';
import {OverdueCalls} from './overdue-calls.js';
import {PieceQueue, type HandlingSource} from './piece-queue.js';
import {unlimitedRepeats, type PieceRepeats} from './piece-repeats.js';
import {selectPieces} from './piece-selection.js';
import {PoolEstimates} from './pool-estimates.js';
import {PoolUpstreams, type AllowanceSource, type ReportedSource} from './pool-upstreams.js';
import type {PoolState} from './quotes.js';
import {PolicySwitch, type ScheduledOptions} from './scheduling-policy.js';
import {spaceReportOf} from './space-report.js';
import {
	pieceFailures, type BatchWork, type PieceOutcome, type ResultRef,
} from './work.js';

/** Attempts at one piece before it fails. */
const maxAttempts = 4;
/** A call is overdue after this multiple of the typical duration of the pool's calls, plus a margin for the network. */
const timeoutFactor = 6;
const timeoutMarginMs = 500;

const unlimitedAllowance = {remaining: Infinity, perS: Infinity};

/** What a scheduler depends on. */
export type BatchSchedulerOptions = {
	/** Returns how the pieces of a request may be sent. */
	readonly handlingOf?: HandlingSource;
	/** Returns how much may be sent to an upstream. */
	readonly allowanceOf?: AllowanceSource;
	/** Absent for a pool that is never scheduled. */
	readonly scheduled?: ScheduledOptions;
	/** Returns how slow an upstream reports to be; absent where none reports it. */
	readonly reportedOf?: ReportedSource;
	/** Budget of pieces that are sent again. */
	readonly repeats?: PieceRepeats;
};

/** State of a pool: queued pieces, calls in progress, the longest wait, and the space used by results. */
export type BatchStatus = {readonly waiting: number; readonly calls: number; readonly oldestMs: number; readonly keptBytes: number};

/**
State of a pool at the time of a call: healthy upstreams, the data halls with upstreams that accept work, and the typical
slowness of these upstreams.
*/
type PoolConditions = {
	readonly healthy: readonly UpstreamServer[];
	readonly openHalls: ReadonlySet<string>;
	readonly typicalSlowness: number;
};

/** Queue and calls in progress of one pool. */
export class BatchScheduler {
	/**
	Creates a scheduler without work.
	@param options - sources of what the scheduler depends on; by default nothing is limited.
	*/
	static create(options: BatchSchedulerOptions = {}): BatchScheduler {
		return new BatchScheduler(options);
	}

	private readonly queue: PieceQueue;
	private readonly upstreams: PoolUpstreams;
	private readonly policies: PolicySwitch;
	private readonly estimates: PoolEstimates;
	private readonly canceled = CanceledWorks.create();
	private readonly overdue = OverdueCalls.create();
	/** Results of pieces that another call had answered before. */
	private surplus: ResultRef[] = [];
	private lastCallId = 0;
	/** Last call made before another host scheduled the pool; 0 if none did. */
	private lastCallIdBeforeOthers = 0;

	private readonly repeats: PieceRepeats;

	private constructor({handlingOf = () => pieceHandlings.none, allowanceOf = () => unlimitedAllowance, scheduled, reportedOf, repeats = unlimitedRepeats}: BatchSchedulerOptions) {
		this.queue = PieceQueue.create(handlingOf);
		this.upstreams = PoolUpstreams.create(allowanceOf, reportedOf);
		this.policies = PolicySwitch.create(scheduled);
		this.estimates = PoolEstimates.create({queue: this.queue, upstreams: this.upstreams, policies: this.policies});
		this.repeats = repeats;
	}

	/** Number of pieces that wait for an upstream. */
	get waitingCount(): number {
		return this.queue.size;
	}

	/** Number of calls in progress. */
	get callCount(): number {
		return this.openCalls.length;
	}

	/**
	Returns whether a call has neither been completed nor failed.
	@param call - the call.
	*/
	isInProgress(call: BatchCall): boolean {
		return this.openCalls.includes(call);
	}

	add(work: BatchWork, nowMs: number): void {
		if (this.queue.size === 0) {
			this.estimates.startQueue(nowMs);
		}

		for (const piece of work.pieces) {
			this.queue.add({
				work, piece, readyMs: nowMs, attempts: 0, isRepeat: work.isRepeat ?? false,
			});
		}
	}

	/**
	Drops the queued pieces of a work that is no longer needed. Calls in progress continue.
	@param workId - ID of the work.
	*/
	cancel(workId: string): void {
		this.queue.removeWork(workId);
		this.canceled.add(workId, this.openCalls);
	}

	/**
	Handles a call whose response is overdue. Its server may only be silent for a moment, so the call goes on; its pieces wait to be sent to another one as well.
	@param call - the call.
	@param nowMs - the current time.
	*/
	callOverdue(call: BatchCall, nowMs: number): void {
		this.upstreams.of(call.server).callOverdue(call, nowMs);
		this.overdue.add(call);
		for (const item of call.pieces) {
			const isNeeded = nowMs < item.work.deadlineMs && !this.overdue.isAnswered(item) && !this.canceled.has(item.work.workId);
			if (isNeeded && item.attempts < maxAttempts) {
				this.queueAgain({...item, isRepeat: true});
			}
		}
	}

	/** Overdue calls in progress of whose pieces none is needed any more: others have answered them, or their requests have ended. */
	get unneededCalls(): BatchCall[] {
		return [...this.overdue.calls].filter(({pieces}) => pieces.every(item => this.overdue.isAnswered(item) || this.canceled.has(item.work.workId)));
	}

	/** Returns results that nothing reads, because another call had answered their pieces before, and forgets them. */
	takeSurplus(): readonly ResultRef[] {
		const {surplus} = this;
		this.surplus = [];
		return surplus;
	}

	/**
	Removes everything queued, as when another host takes over batching for the pool.
	@returns the pieces, with the copies of those in progress: only a silent upstream may have these, whose later answer is surplus.
	*/
	takeWaiting(): FinishedPiece[] {
		this.lastCallIdBeforeOthers = this.lastCallId;
		const taken = this.queue.takeAll(({isRepeat}) => isRepeat ? pieceFailures.movedRepeat : pieceFailures.moved);
		for (const item of taken.filter(each => this.overdue.isInProgress(each))) {
			this.overdue.answered(item);
		}

		return taken;
	}

	/**
	Fails everything queued, as when no upstream accepts work for some time.
	@returns the pieces, without those that are in progress.
	*/
	failWaiting(): FinishedPiece[] {
		return this.withoutOpen(this.queue.takeAll(() => pieceFailures.noUpstream));
	}

	/**
	Fails late work that could not be done before its callers leave, given what is ahead of it in the queue.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	@returns the failed pieces; other pieces of the same steps may be in progress.
	*/
	failLate(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): FinishedPiece[] {
		const rates = this.estimates.queueRates(servers, capacity, nowMs);
		return rates ? this.withoutOpen(this.queue.takeUnservable(this.policies.at(nowMs).orderOf(capacity), rates, nowMs)) : [];
	}

	/**
	Takes pieces off the queue for the calls to make now.
	@param servers - upstreams of the pool that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	nextCalls(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): BatchCall[] {
		const calls: BatchCall[] = [];
		if (this.queue.size === 0) {
			return calls;
		}

		this.queue.sort(this.policies.at(nowMs).orderOf(capacity), nowMs);
		const allowed = servers.filter(server => this.upstreams.isAllowed(server, nowMs));
		const free = allowed.filter(server => this.upstreams.of(server).isFree(nowMs))
			.toSorted((left, right) => this.upstreams.of(left).slownessAt(nowMs) - this.upstreams.of(right).slownessAt(nowMs));
		const healthy = this.upstreams.healthyOf(allowed, nowMs);
		const typicalSlowness = this.upstreams.typicalSlowness(allowed, nowMs);
		const openHalls = new Set(allowed.filter(server => !this.upstreams.of(server).isAvoided(nowMs)).map(server => server.hall));
		for (const server of free) {
			if (!healthy.includes(server) && this.queue.size <= healthy.length * capacity.batchSize) {
				continue;
			}

			const call = this.startCall(server, capacity, {healthy, openHalls, typicalSlowness}, nowMs);
			if (call) {
				calls.push(call);
			}
		}

		return calls;
	}

	/**
	Returns the time after which a call that is about to be sent has certainly fetched its inputs, provided that it is then still in
	progress. That requires that its turn comes when it arrives. An upstream with one slot runs one call at a time, and this host sends
	it one at a time, but a call of the pool's former scheduler, or one of this host that timed out, may still be running there. So the
	upstream must have answered the previous call, sent since this host schedules the pool. A host that schedules the pool as well, out
	of contact with this one, shows only in inputs that are gone: the next call is not reported then.
	@param call - the call.
	@param capacity - capacity of the pool's upstreams.
	@param nowMs - the current time.
	@returns the time in milliseconds; undefined if it is not known, or if the pool is not a scheduled one.
	*/
	fetchTimeMs(call: BatchCall, capacity: BatchCapacity, nowMs: number): number | undefined {
		const isFirstInTurn = capacity.slots === 1 && this.upstreams.of(call.server).answeredCallId > this.lastCallIdBeforeOthers;
		return isFirstInTurn && this.policies.at(nowMs).reportsFetched ? fetchTimeOf(call) : undefined;
	}

	/**
	Handles the response to a call.
	@param call - the call.
	@param outcomes - one for each piece, in order.
	@param capacity - capacity of the pool's upstreams.
	@param nowMs - the current time.
	@returns the pieces that are finished; the others are queued again.
	*/
	completeCall(call: BatchCall, outcomes: readonly PieceOutcome[], capacity: BatchCapacity, nowMs: number): FinishedPiece[] {
		const state = this.upstreams.of(call.server);
		const policy = this.policies.at(nowMs);
		this.estimates.completeCall(call, outcomes, capacity, nowMs);
		state.completeCall(call, nowMs);
		state.answeredCallId = outcomes.some(outcome => !outcome.ok && outcome.reason === pieceFailures.inputsGone) ? 0 : call.callId;
		state.space.update(spaceReportOf(call, outcomes), capacity, nowMs, policy.refusedShare);
		const finished: FinishedPiece[] = [];
		for (const [index, item] of call.pieces.entries()) {
			const {work, piece, attempts} = item;
			const outcome = outcomes[index];
			if (outcome.ok) {
				state.space.add(outcome.ref.handle, work.resultBytes, call.sentMs, nowMs + capacity.resultTtlMs);
			}

			if (this.overdue.isAnswered(item)) {
				this.surplus.push(...(outcome.ok ? [outcome.ref] : []));
				continue;
			}

			const hadNoSpace = !outcome.ok && outcome.reason === pieceFailures.noRoom;
			const mayRetry = hadNoSpace || (!outcome.ok && outcome.reason === pieceFailures.failed);
			if (mayRetry && attempts < maxAttempts && !(policy.dropsCanceled && this.canceled.has(work.workId))) {
				// An attempt that found no space cost only a round trip, so it does not count.
				this.queueAgain({...item, attempts: attempts - (hadNoSpace ? 1 : 0), isRepeat: true});
			} else if (outcome.ok || !this.isOpenElsewhere(item, call)) {
				if (this.overdue.isTracked(item)) {
					this.overdue.answered(item);
					this.queue.removePiece(item);
				}

				finished.push({work, piece, outcome});
			}
		}

		this.overdue.ended(call);
		this.canceled.sweep(this.openCalls);
		return finished;
	}

	/**
	Handles a call that failed for all of its pieces.
	@param call - the call.
	@param reason - why it failed.
	@param nowMs - the current time.
	@returns the pieces that have failed for good; the others are queued again.
	*/
	failCall(call: BatchCall, reason: CallFailure, nowMs: number): FinishedPiece[] {
		this.upstreams.of(call.server).failCall(call, nowMs);
		const policy = this.policies.at(nowMs);
		const finished: FinishedPiece[] = [];
		for (const item of call.pieces) {
			if (this.overdue.isAnswered(item)) {
				continue;
			}

			// A refused call cost the upstream nothing, so it does not count as an attempt.
			const attempts = item.attempts - (reason === 'refused' ? 1 : 0);
			if (attempts >= maxAttempts || nowMs >= item.work.deadlineMs || (policy.dropsCanceled && this.canceled.has(item.work.workId))) {
				finished.push(...(this.isOpenElsewhere(item, call) ? [] : [{work: item.work, piece: item.piece, outcome: {ok: false, reason: pieceFailures.failed}} as const]));
			} else {
				this.queueAgain({...item, attempts, isRepeat: item.isRepeat === true || reason !== 'unreachable'});
			}
		}

		this.overdue.ended(call);
		this.canceled.sweep(this.openCalls);
		return finished;
	}

	/**
	Frees the space of results that are no longer needed or are lost.
	@param serverId - the upstream that stores them.
	@param handles - handles of the results.
	@param releasedMs - the current time if the results were released; absent if they are lost.
	*/
	freeResults(serverId: string, handles: readonly string[], releasedMs?: number): void {
		const results = this.upstreams.freeResults(serverId, handles, releasedMs ?? 0);
		if (releasedMs !== undefined) {
			this.estimates.resultsReleased(results);
		}
	}

	/**
	Removes queued pieces that are past their deadline or barred, and the state of servers that are gone.
	@param isKnown - whether a server is still listed.
	@param nowMs - the current time.
	@returns the pieces that have failed.
	*/
	sweep(isKnown: (serverId: string) => boolean, nowMs: number): FinishedPiece[] {
		this.upstreams.sweep(isKnown);
		return this.withoutOpen(this.queue.sweep(nowMs));
	}

	/**
	Returns the space used by results at an upstream, in bytes, as far as this host knows.
	@param serverId - the upstream.
	@param nowMs - the current time.
	*/
	usedBytesAt(serverId: string, nowMs: number): number {
		return this.upstreams.usedBytesAt(serverId, nowMs);
	}

	/**
	Returns the state of the pool for logs.
	@param nowMs - the current time.
	*/
	describe(nowMs: number): BatchStatus {
		return {
			waiting: this.queue.size, calls: this.callCount, oldestMs: Math.round(this.queue.oldestMs(nowMs)), keptBytes: this.upstreams.usedBytes(nowMs),
		};
	}

	/**
	Estimates how long work added now would wait for its turn.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param rank - rank of the work.
	@param nowMs - the current time.
	@returns the wait in milliseconds; 0 if an upstream is free and nothing that goes first is queued.
	*/
	waitMs(servers: readonly UpstreamServer[], capacity: BatchCapacity, rank: number, nowMs: number): number {
		return this.estimates.waitMs(servers, capacity, rank, nowMs);
	}

	/**
	Returns the state that quotes depend on.
	@param servers - upstreams that accept work.
	@param capacity - capacity of each upstream.
	@param nowMs - the current time.
	*/
	poolState(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): PoolState {
		return this.estimates.poolState(servers, capacity, nowMs);
	}

	/**
	Returns the typical ratio of actual to declared duration of the pool's calls.
	@param servers - upstreams that accept work.
	@param nowMs - the current time.
	*/
	typicalSlowness(servers: readonly UpstreamServer[], nowMs: number): number {
		return this.upstreams.typicalSlowness(servers, nowMs);
	}

	/** Calls in progress. An upstream may have an overdue one beside its latest. */
	private get openCalls(): BatchCall[] {
		return [...new Set([...this.upstreams.calls, ...this.overdue.calls])];
	}

	private startCall(server: UpstreamServer, capacity: BatchCapacity, conditions: PoolConditions, nowMs: number): BatchCall | undefined {
		const {pieces, isShortened} = this.takePieces(server, capacity, conditions, nowMs);
		if (pieces.length === 0) {
			return undefined;
		}

		const upstream = this.upstreams.of(server);
		const usualMs = this.policies.at(nowMs).times.expectedMs(pieces, capacity);
		const expectedMs = usualMs * upstream.expectedFactorAt(nowMs);
		this.lastCallId++;
		const call: BatchCall = {
			callId: this.lastCallId,
			server,
			pieces,
			sentMs: nowMs,
			expectedMs,
			deadlineMs: nowMs + (timeoutFactor * Math.max(expectedMs, usualMs * Math.max(1, conditions.typicalSlowness))) + timeoutMarginMs,
			slowness: upstream.slownessAt(nowMs) / conditions.typicalSlowness,
			...(isShortened && {amount: usualMs}),
		};
		this.upstreams.of(server).call = call;
		this.overdue.sent(call);
		return call;
	}

	/** Queues a piece that was sent, unless it is queued already, as one of an overdue call is. */
	private queueAgain(item: BatchPiece): void {
		if (!this.overdue.isTracked(item) || !this.queue.hasPiece(item)) {
			this.queue.add(item);
		}
	}

	/** Whether a piece of a call may still be answered by another one. */
	private isOpenElsewhere(item: BatchPiece, call: BatchCall): boolean {
		return this.overdue.isTracked(item) && (this.queue.hasPiece(item) || this.overdue.isInProgress(item, call));
	}

	/** Leaves out pieces of overdue calls: these calls may still answer them, or report their failure. */
	private withoutOpen(finished: FinishedPiece[]): FinishedPiece[] {
		return finished.filter(item => !this.overdue.isInProgress(item));
	}

	/** Leaves out pieces that would exceed the budget of repeats; they stay queued until it allows them or their time is over. */
	private affordable(items: readonly BatchPiece[], nowMs: number): readonly BatchPiece[] {
		const repeatCount = items.filter(({isRepeat}) => isRepeat).length;
		let remaining = repeatCount === 0 ? 0 : this.repeats.available(repeatCount, nowMs);
		if (remaining >= repeatCount) {
			return items;
		}

		return items.filter(({isRepeat}) => {
			remaining -= isRepeat ? 1 : 0;
			return !isRepeat || remaining >= 0;
		});
	}

	/** Takes the most urgent pieces for one call off the queue. */
	private takePieces(server: UpstreamServer, capacity: BatchCapacity, {healthy, openHalls}: PoolConditions, nowMs: number) {
		const policy = this.policies.at(nowMs);
		const {batchSize, roomBytes} = capacity;
		const freeBytes = this.upstreams.of(server).space.freeBytes(roomBytes, nowMs);
		const selected = selectPieces(this.affordable(this.queue.sendable(), nowMs), {
			batchSize, freeBytes, hall: server.hall, openHalls,
		}, nowMs);
		const others = healthy.filter(other => other !== server);
		const taken = policy.limitCall([...selected], () => ({
			times: policy.times,
			capacity,
			slowness: this.upstreams.of(server).slownessAt(nowMs),
			otherCount: this.upstreams.effectiveCount(others, capacity, nowMs),
			hasOtherFree: others.some(other => this.upstreams.hasCapacity(other, roomBytes, nowMs)),
			rest: this.queue.items.filter(item => !selected.has(item)),
		}), nowMs);
		this.queue.remove(new Set(taken));
		this.repeats.take(taken.filter(({isRepeat}) => isRepeat).length, nowMs);
		return {pieces: taken.map(item => ({...item, attempts: item.attempts + 1})), isShortened: taken.length < selected.size};
	}
}

/** Runs the batches of one pool on this host: makes the calls that the scheduler requests. */
import {setMaxListeners} from 'node:events';
import {setReplyTimer, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Outcome} from '../../base/common/outcome.js';
import {TimeLimit} from '../../base/common/time-limit.js';
import {detach, guard, reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerNotices} from '../../deployment/common/server-notices.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {CompleteResponse, ResponseFailure} from '../../deployment/node/collect-response.js';
import {ConnectionPool, type PooledConnection} from '../../deployment/node/connection-pool.js';
import type {Quarantine} from '../../quarantine/common/quarantine.js';
import type {RepeatBudgets} from '../../routing/common/repeat-budgets.js';
import type {ReportedLoads} from '../../routing/common/reported-load.js';
import type {SendBounds} from '../../routing/common/send-bounds.js';
import type {BoundedWork} from '../../routing/common/send-share.js';
import {
	fetchedPiecesOf, type BatchCall, type FetchedPieces, type FinishedPiece,
} from '../common/batch-call.js';
import {BatchScheduler} from '../common/batch-scheduler.js';
import type {BatchProtocol} from '../common/batch-protocol.js';
import type {
	AdmissionLedger, PoolAsk, Quote, RepeatedReservation,
} from '../common/quotes.js';
import {pieceRepeatsOf} from '../common/piece-repeats.js';
import type {ScheduledOptions} from '../common/scheduling-policy.js';
import type {BatchWork, ResultRef} from '../common/work.js';
import {IdentifiedCalls} from './identified-calls.js';
import {PoolLog} from './pool-log.js';
import {ResultReleases} from './result-releases.js';

/** Interval at which a queue is checked: a fraction of a call's duration. */
const pollIntervalMs = 25;
/** Maximum number of connections to one upstream: one for the call in progress, the others for releases. */
const maxConnections = 3;
/** Releases in progress at one upstream, which may be silent: a connection is left for calls. */
const maxOpenReleases = maxConnections - 1;
const releaseTimeoutMs = 1000;
/** One host batches a pool for all hosts, so the entire allowance of an upstream is available to it. */
const soleSender: BoundedWork = {isSoleSender: true};

/** Dependencies and settings. */
export type BatchPoolOptions = {
	readonly pool: string;
	readonly tracker: DeploymentTracker;
	readonly registry: ServerRegistry;
	/** Processes what servers report about themselves. */
	readonly notices: Pick<ServerNotices, 'handleResponse'>;
	readonly bounds: Pick<SendBounds, 'allowance' | 'sent'>;
	/** What the servers report about their load. */
	readonly loads: Pick<ReportedLoads, 'slownessAt'>;
	readonly protocol: BatchProtocol;
	readonly repeats: Pick<RepeatBudgets, 'countFirstSends' | 'available' | 'tryWithdraw' | 'reportSent'>;
	readonly quarantine: Pick<Quarantine, 'connectionLost' | 'handlingOf'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly onFinished: (end: FinishedPiece) => void;
	/** Called when the inputs of pieces must have been fetched by a call that is still in progress; only in scheduled pools. */
	readonly onInputsFetched: (fetched: FetchedPieces) => void;
	/** Whether the pool is a scheduled one, and the learned durations of its items. */
	readonly scheduled: ScheduledOptions;
	/** Creates the ledger of the pool's reservations. */
	readonly makeLedger: () => AdmissionLedger;
};

/** How a call is sent: on which connection, what ends it, and what is called once it was written. */
type CallSending = {readonly connection: PooledConnection; readonly callEnd: AbortController; readonly onSent: () => void};

/** Queue, calls and releases of one pool. */
export class BatchPool implements Disposable {
	static create(options: BatchPoolOptions): BatchPool {
		return new BatchPool(options);
	}

	private readonly scheduler: BatchScheduler;
	private readonly connectionPools = new Map<string, ConnectionPool>();
	private readonly releases: ResultReleases;
	/** Number of releases in progress, by server id. */
	private readonly openReleases = new Map<string, number>();
	private readonly calls: IdentifiedCalls;
	/** Ends a call in progress, by its ID. */
	private readonly callEnds = new Map<number, AbortController>();
	private readonly disposables = DisposableStore.create();
	private readonly controller = new AbortController();
	private timer: Disposable | undefined;
	/** Whether a pass of `scheduleOnce` is due. */
	private isScheduleDue = false;
	/** Created with the first ask: pools that no host asks hold no reservations. */
	private ledger: AdmissionLedger | undefined;
	private readonly log: PoolLog;

	private constructor(private readonly options: BatchPoolOptions) {
		this.log = PoolLog.create(options);
		this.calls = IdentifiedCalls.create(options.protocol);
		this.scheduler = BatchScheduler.create({
			handlingOf: contentId => options.quarantine.handlingOf(contentId),
			allowanceOf: (server, nowMs) => options.bounds.allowance(server, soleSender, nowMs),
			scheduled: options.scheduled,
			reportedOf: (serverId, nowMs) => options.loads.slownessAt(serverId, nowMs),
			repeats: pieceRepeatsOf(options.repeats, options.pool),
		});
		this.releases = this.disposables.add(ResultReleases.create({
			registry: options.registry,
			clock: options.clock,
			resultTtlMs: () => this.capacity?.resultTtlMs ?? 0,
			maySend: server => this.mayRelease(server),
			send: async (server, handles) => this.sendRelease(server, handles),
			onUpstreamGone: (serverId, handles) => {
				this.scheduler.freeResults(serverId, handles);
				this.schedule();
			},
		}));
		// Each call in progress listens, and there may be as many calls as the pool has upstreams.
		setMaxListeners(0, this.controller.signal);
		this.disposables.add(options.registry.onDidChange(({server, change}) => {
			if (server.pool === options.pool) {
				this.serverChanged(server, change === 'gone');
			}
		}));
	}

	/** Whether nothing is queued or in progress. */
	get isIdle(): boolean {
		return this.scheduler.waitingCount === 0 && this.scheduler.callCount === 0;
	}

	/**
	Estimates how long work added now would wait for its turn, in milliseconds.
	@param rank - rank of the work.
	*/
	waitMs(rank: number): number {
		const {capacity} = this;
		const {registry, pool, clock} = this.options;
		return capacity ? this.scheduler.waitMs(registry.usable(pool), capacity, rank, clock.nowMs()) : 0;
	}

	/**
	Returns when the pool would get to the work of a request, and reserves the work.
	@param ask - what the request asks; its ID is the same as in the work that it submits later, and is unique among all hosts.
	@returns the quote; undefined if the capacity of the pool is not known.
	*/
	quote({pool, readyInMs, ...asked}: PoolAsk): Quote | undefined {
		const {capacity} = this;
		this.ledger ??= this.options.makeLedger();
		const {registry, clock} = this.options;
		const nowMs = clock.nowMs();
		return capacity && this.ledger.quote({...asked, readyMs: nowMs + readyInMs}, this.scheduler.poolState(registry.usable(this.options.pool), capacity, nowMs), nowMs);
	}

	/**
	Reserves work of a request without a quote; nothing if the capacity of the pool is not known, or too small for a result of the work.
	@param reservation - the work. The ID of its request is the same as in the work that it submits later.
	*/
	reserve({readyInMs, isLate, ...reserved}: RepeatedReservation): void {
		const {capacity} = this;
		this.ledger ??= this.options.makeLedger();
		// A result that no upstream has the space for is never stored; its reservation would keep that space from all others.
		if (capacity && reserved.steps.every(({resultBytes}) => resultBytes <= capacity.roomBytes)) {
			const nowMs = this.options.clock.nowMs();
			this.ledger.reserve({...reserved, readyMs: nowMs + readyInMs}, isLate, capacity, nowMs);
		}
	}

	/** Drops all reservations. */
	dropReservations(): void {
		this.ledger?.dropReservations();
	}

	/**
	Drops the reservation of a request.
	@param requestId - ID of the request as in its ask.
	*/
	forgo(requestId: string): void {
		this.ledger?.forgo(requestId);
	}

	/**
	Handles the late admission of a request.
	@param requestId - ID of the request as in its ask.
	*/
	admittedLate(requestId: string): void {
		this.ledger?.admittedLate(requestId);
	}

	/** Removes reservations that were not used in time, and logs the others. */
	sweepReservations(): void {
		if (this.ledger) {
			const nowMs = this.options.clock.nowMs();
			this.ledger.sweep(nowMs);
			this.log.logReservations(this.ledger, nowMs);
		}
	}

	/**
	Queues work; the reservation of its step ends.
	@param work - the work.
	*/
	add(work: BatchWork): void {
		const nowMs = this.options.clock.nowMs();
		if (work.requestId !== undefined && work.stepKey !== undefined) {
			this.ledger?.submitted(work.requestId, work.stepKey);
		}

		this.scheduler.add(work, nowMs);
		if (!work.isRepeat) {
			this.options.repeats.countFirstSends(work.pool, nowMs, work.pieces.length);
		}

		this.scheduleOnce();
	}

	cancel(workId: string): void {
		this.scheduler.cancel(workId);
		this.endUnneededCalls();
	}

	/** Removes all queued pieces; each is reported as moved. */
	handOver(): void {
		this.notifyFinished(this.scheduler.takeWaiting());
	}

	release(refs: readonly ResultRef[]): void {
		this.releases.add(refs);
	}

	dispose(): void {
		this.disposables.dispose();
		this.timer?.dispose();
		this.controller.abort();
		for (const callEnd of this.callEnds.values()) {
			callEnd.abort();
		}

		for (const pool of this.connectionPools.values()) {
			pool.dispose();
		}
	}

	private get capacity(): BatchCapacity | undefined {
		return this.options.tracker.current?.pool(this.options.pool)?.batch;
	}

	private schedule(): void {
		try {
			this.startCalls();
		} finally {
			// Also after an error: queued pieces must not wait for an event that may never come.
			if (this.scheduler.waitingCount > 0) {
				this.timer ??= this.options.clock.setTimer(pollIntervalMs, () => {
					this.timer = undefined;
					this.schedule();
				});
			}
		}
	}

	private startCalls(): void {
		const {registry, clock, pool} = this.options;
		const {capacity} = this;
		const nowMs = clock.nowMs();
		if (capacity) {
			for (const call of this.scheduler.nextCalls(registry.usable(pool), capacity, nowMs)) {
				detach('batch call', this.runCall(call, capacity));
			}

			this.notifyFinished(this.scheduler.failLate(registry.usable(pool), capacity, nowMs));
		}

		if (registry.isPoolClosed(pool)) {
			this.notifyFinished(this.scheduler.failWaiting());
		}

		this.log.logStatus(this.scheduler, registry.usable(pool), nowMs);
		this.notifyFinished(this.scheduler.sweep(serverId => registry.get(serverId) !== undefined, nowMs));
	}

	/** Schedules once for all works that are added in one turn: a request adds all of its steps that can start, and each pass goes through the whole queue. */
	private scheduleOnce(): void {
		if (this.isScheduleDue) {
			return;
		}

		this.isScheduleDue = true;
		queueMicrotask(() => {
			this.isScheduleDue = false;
			if (!this.controller.signal.aborted) {
				guard('batch scheduling', () => {
					this.schedule();
				});
			}
		});
	}

	/** Ends overdue calls of whose pieces none is needed any more. */
	private endUnneededCalls(): void {
		for (const {callId} of this.scheduler.unneededCalls) {
			this.callEnds.get(callId)?.abort();
		}
	}

	private handleOverdue(call: BatchCall): void {
		const {clock, log, metrics, pool} = this.options;
		const nowMs = clock.nowMs();
		log.info('The response to a batch is overdue; its pieces may be sent to another upstream as well.', {
			pool, server: call.server.serverId, pieces: call.pieces.length, tookMs: Math.round(nowMs - call.sentMs),
		});
		metrics.increment('batch.overdue', 1, {pool});
		this.scheduler.callOverdue(call, nowMs);
		this.schedule();
	}

	/** Makes a call and handles its result. One that fails by an error of this host counts as failed like others, so that its pieces are sent again. */
	private async runCall(call: BatchCall, capacity: BatchCapacity): Promise<void> {
		let wasSent = false;
		try {
			const connection = this.connectionPoolOf(call.server).acquire(false);
			if (!connection) {
				this.notifyFinished(this.scheduler.failCall(call, 'unreachable', this.options.clock.nowMs()));
				return;
			}

			const callEnd = new AbortController();
			const response = await this.makeCall(call, capacity, {
				connection,
				callEnd,
				onSent() {
					wasSent = true;
				},
			});
			if (!this.controller.signal.aborted) {
				this.handleResponse(call, response, callEnd.signal.aborted, capacity);
			}
		} catch (error) {
			reportUnexpectedError('batch call', error);
			if (this.scheduler.isInProgress(call)) {
				this.notifyFinished(this.scheduler.failCall(call, wasSent ? 'broken' : 'unreachable', this.options.clock.nowMs()));
			}

			this.schedule();
		}
	}

	private async makeCall(call: BatchCall, capacity: BatchCapacity, {connection, callEnd, onSent}: CallSending): Promise<Outcome<CompleteResponse, ResponseFailure>> {
		const {clock, protocol, registry, notices, bounds, log, metrics, pool} = this.options;
		const {server} = call;
		if (registry.isMissing(server.serverId)) {
			metrics.increment('batch.askedWhileMissing', 1, {pool});
			log.info('Work goes to a server whose entry is missing.', {pool, server: server.serverId, pieces: call.pieces.length});
		}

		bounds.sent(server, call.sentMs);
		const fetchTimeMs = this.scheduler.fetchTimeMs(call, capacity, clock.nowMs());
		const overdueTimer = setReplyTimer(clock, call.deadlineMs - clock.nowMs(), () => {
			this.handleOverdue(call);
		});
		let fetchTimer: Disposable | undefined;
		this.callEnds.set(call.callId, callEnd);
		try {
			return await this.calls.make({server, connection}, requestId => protocol.encodeRun(call, requestId, clock.nowMs()), callEnd.signal, {
				onSent: () => {
					onSent();
					fetchTimer = fetchTimeMs === undefined
						? undefined
						: clock.setTimer(fetchTimeMs, () => {
							this.notifyFetched(call);
						});
				},
				onHead(head) {
					// A refused call has fetched nothing, and the outcomes of one that ran follow.
					fetchTimer?.dispose();
					notices.handleResponse(server, protocol.readNotice(head), call.sentMs, clock.nowMs());
				},
			});
		} finally {
			fetchTimer?.dispose();
			overdueTimer.dispose();
			this.callEnds.delete(call.callId);
		}
	}

	private handleResponse(call: BatchCall, response: Outcome<CompleteResponse, ResponseFailure>, wasEnded: boolean, capacity: BatchCapacity): void {
		const {clock, protocol, registry, log, metrics, pool} = this.options;
		const {server} = call;
		const answer = answerOf(response);
		if (!answer && !response.ok && response.error.wasWritten && !response.error.isForeign && !wasEnded) {
			this.reportInterrupted(call);
		}

		const nowMs = clock.nowMs();
		const decoded = answer && protocol.decodeRun(answer, call);
		if (decoded?.ok) {
			metrics.timing('batch.call', nowMs - call.sentMs, {pool});
			metrics.increment('batch.pieces', call.pieces.length, {pool});
			this.log.logNoSpace(call, decoded.value, this.scheduler.usedBytesAt(server.serverId, nowMs), capacity);
			this.notifyFinished(this.scheduler.completeCall(call, decoded.value, capacity, nowMs));
			this.releases.add(this.scheduler.takeSurplus());
			this.endUnneededCalls();
		} else {
			const reason = decoded?.error ?? (response.ok || response.error.wasWritten ? 'broken' : 'unreachable');
			const detail = response.ok ? `status ${response.value.status}` : response.error.message;
			log.warn('A batch came to nothing; its pieces wait again.', {
				pool, server: server.serverId, pieces: call.pieces.length, reason, detail, tookMs: Math.round(nowMs - call.sentMs),
			});
			metrics.increment('batch.failed', 1, {pool, reason});
			if (reason === 'replaced') {
				registry.handleAddressTaken(server.serverId);
			}

			this.notifyFinished(this.scheduler.failCall(call, reason, nowMs));
		}

		this.schedule();
	}

	/** Reports an interrupted call: any of the requests with a piece in it may have crashed its upstream. */
	private reportInterrupted({server, pieces}: BatchCall): void {
		for (const {contentId, callerRequestId} of new Map(pieces.map(({work}) => [work.contentId, work])).values()) {
			this.options.quarantine.connectionLost(contentId, server, callerRequestId);
		}
	}

	private notifyFinished(finished: readonly FinishedPiece[]): void {
		for (const end of finished) {
			guard('outcome of a piece', () => {
				this.options.onFinished(end);
			});
		}
	}

	private notifyFetched(call: BatchCall): void {
		for (const fetched of fetchedPiecesOf(call)) {
			this.options.onInputsFetched(fetched);
		}
	}

	/** Whether a release may be sent. Unanswered ones leave a connection for calls. Where the rate of an upstream is limited, one send is reserved for queued pieces. */
	private mayRelease(server: UpstreamServer): boolean {
		if ((this.openReleases.get(server.serverId) ?? 0) >= maxOpenReleases) {
			return false;
		}

		const reserved = this.scheduler.waitingCount > 0 ? 1 : 0;
		return this.options.bounds.allowance(server, soleSender, this.options.clock.nowMs()).remaining > reserved;
	}

	private async sendRelease(server: UpstreamServer, handles: readonly string[]): Promise<void> {
		const connection = this.connectionPoolOf(server).acquire(false);
		const {protocol, notices, bounds, log, pool, clock} = this.options;
		if (!connection) {
			// All connections are in use: the release is tried again with the next ones.
			this.release(handles.map(handle => ({handle, serverId: server.serverId})));
			return;
		}

		const timeLimit = TimeLimit.create(clock, releaseTimeoutMs, this.controller.signal);
		const sentMs = clock.nowMs();
		bounds.sent(server, sentMs);
		this.countOpenRelease(server, 1);
		let response: Outcome<CompleteResponse, ResponseFailure>;
		try {
			response = await this.calls.make({server, connection}, requestId => protocol.encodeRelease(handles, server, requestId), timeLimit.signal, {
				onHead(head) {
					notices.handleResponse(server, protocol.readNotice(head), sentMs, clock.nowMs());
				},
			});
		} finally {
			timeLimit.dispose();
			this.countOpenRelease(server, -1);
		}

		if (response.ok) {
			// The upstream has freed the space only now: a call sent earlier would find none.
			this.scheduler.freeResults(server.serverId, handles, clock.nowMs());
			this.schedule();
		} else if (!this.controller.signal.aborted) {
			// Nothing is lost: the upstream drops expired results by itself.
			log.debug('Results could not be released.', {
				pool, server: server.serverId, results: handles.length, reason: response.error.message,
			});
		}
	}

	private countOpenRelease({serverId}: UpstreamServer, change: number): void {
		const count = (this.openReleases.get(serverId) ?? 0) + change;
		if (count > 0) {
			this.openReleases.set(serverId, count);
		} else {
			this.openReleases.delete(serverId);
		}
	}

	private serverChanged(server: UpstreamServer, isGone: boolean): void {
		if (isGone) {
			this.calls.forget(server);
		}

		const connectionPool = this.connectionPools.get(server.serverId);
		if (isGone && connectionPool && !connectionPool.hasBusy) {
			this.connectionPools.delete(server.serverId);
			connectionPool.dispose();
		}

		this.schedule();
	}

	private connectionPoolOf(server: UpstreamServer): ConnectionPool {
		let connectionPool = this.connectionPools.get(server.serverId);
		if (!connectionPool) {
			connectionPool = ConnectionPool.create(server, this.options.clock, () => maxConnections);
			this.connectionPools.set(server.serverId, connectionPool);
		}

		return connectionPool;
	}
}

/** Returns what a server has answered to a call; the head of an error decides alone. */
function answerOf(response: Outcome<CompleteResponse, ResponseFailure>): CompleteResponse | undefined {
	if (response.ok) {
		return response.value;
	}

	const {errorHead} = response.error;
	return errorHead && {...errorHead, body: new Uint8Array(0)};
}

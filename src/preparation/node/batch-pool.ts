/** Runs the batches of one pool on this host: makes the calls its machine asks for. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {TimeLimit} from '../../base/common/time-limit.js';
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerNotices} from '../../deployment/common/server-notices.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {collectResponse} from '../../deployment/node/collect-response.js';
import {ConnectionPool} from '../../deployment/node/connection-pool.js';
import type {Quarantine} from '../../quarantine/common/quarantine.js';
import type {SendBounds} from '../../routing/common/send-bounds.js';
import type {BoundedWork} from '../../routing/common/send-share.js';
import type {WindowedBudget} from '../../routing/common/windowed-budget.js';
import type {BatchCall, PieceEnd} from '../common/batch-call.js';
import {BatchMachine} from '../common/batch-machine.js';
import type {BatchProtocol, EncodedCall} from '../common/batch-protocol.js';
import type {BatchWork, ResultRef} from '../common/work.js';
import {PoolLog} from './pool-log.js';
import {ResultReleases} from './result-releases.js';

/** How often a queue is looked at while it waits: a fraction of a call's time. */
const tickMs = 25;
/** Connections to one upstream: one for the call at work, one for releases. */
const mostLanes = 3;
const releaseLimitMs = 1000;
/** One host batches a pool for all: what bounds an upstream is its part. */
const soleWork: BoundedWork = {isSoleSender: true};

/** What a pool's batches are made of. */
export type BatchPoolOptions = {
	readonly pool: string;
	readonly board: DeploymentTracker;
	readonly registry: ServerRegistry;
	/** Learns what servers say of themselves. */
	readonly notices: Pick<ServerNotices, 'handleResponse'>;
	readonly bounds: Pick<SendBounds, 'allowance' | 'sent'>;
	readonly protocol: BatchProtocol;
	readonly budget: WindowedBudget;
	readonly quarantine: Pick<Quarantine, 'brokeOff' | 'cautionOf'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly ended: (end: PieceEnd) => void;
};

/** Holds one pool's queue, calls and releases. */
export class BatchPool implements Disposable {
	static create(options: BatchPoolOptions): BatchPool {
		return new BatchPool(options);
	}

	private readonly machine: BatchMachine;
	private readonly lanes = new Map<string, ConnectionPool>();
	private readonly releases: ResultReleases;
	private readonly owned = DisposableStore.create();
	private readonly controller = new AbortController();
	private timer: Disposable | undefined;
	private readonly log: PoolLog;

	private constructor(private readonly options: BatchPoolOptions) {
		this.log = PoolLog.create(options);
		this.machine = BatchMachine.create(contentId => options.quarantine.cautionOf(contentId), (server, nowMs) => options.bounds.allowance(server, soleWork, nowMs));
		this.releases = this.owned.add(ResultReleases.create({
			registry: options.registry,
			clock: options.clock,
			resultTtlMs: () => this.capacity?.resultTtlMs ?? 0,
			mayGet: server => this.mayRelease(server),
			send: async (server, handles) => this.sendRelease(server, handles),
			gone: (serverId, handles) => {
				this.machine.released(serverId, handles);
				this.pump();
			},
		}));
		// Each call at work listens: as many as the pool has upstreams.
		setMaxListeners(0, this.controller.signal);
		this.owned.add(options.registry.onDidChange(({server, change}) => {
			if (server.pool === options.pool) {
				this.serverChanged(server, change === 'gone');
			}
		}));
	}

	/** Whether anything waits or is at work. */
	get isIdle(): boolean {
		return this.machine.waitingCount === 0 && this.machine.callCount === 0;
	}

	/**
	Estimates how long work added now would wait for its turn.
	@param rank - of the work.
	*/
	waitMs(rank: number): number {
		const {capacity} = this;
		const {registry, pool, clock} = this.options;
		return capacity ? this.machine.waitMs(registry.usable(pool), capacity, rank, clock.nowMs()) : 0;
	}

	add(work: BatchWork): void {
		const nowMs = this.options.clock.nowMs();
		this.machine.add(work, nowMs);
		this.options.budget.countFirst(nowMs, work.pieces.length);
		this.pump();
	}

	cancel(workId: string): void {
		this.machine.cancel(workId);
	}

	/** Gives away what waits; each piece ends as moved. */
	handOver(): void {
		this.report(this.machine.takeWaiting());
	}

	release(refs: readonly ResultRef[]): void {
		this.releases.add(refs);
	}

	dispose(): void {
		this.owned.dispose();
		this.timer?.dispose();
		this.controller.abort();
		for (const pool of this.lanes.values()) {
			pool.dispose();
		}
	}

	private get capacity(): BatchCapacity | undefined {
		return this.options.board.current?.pool(this.options.pool)?.batch;
	}

	private pump(): void {
		const {registry, clock, pool} = this.options;
		const {capacity} = this;
		const nowMs = clock.nowMs();
		if (capacity) {
			for (const call of this.machine.nextCalls(registry.usable(pool), capacity, nowMs)) {
				void this.run(call, capacity);
			}

			this.report(this.machine.giveUpLate(registry.usable(pool), capacity, nowMs));
		}

		if (registry.isPoolClosed(pool)) {
			this.report(this.machine.giveUpWaiting());
		}

		this.log.standing(this.machine, registry.usable(pool), nowMs);
		this.report(this.machine.sweep(serverId => registry.get(serverId) !== undefined, nowMs));
		if (this.machine.waitingCount > 0) {
			this.timer ??= clock.setTimer(tickMs, () => {
				this.timer = undefined;
				this.pump();
			});
		}
	}

	private async run(call: BatchCall, capacity: BatchCapacity): Promise<void> {
		const {clock, protocol, registry, notices, bounds, log, metrics, pool} = this.options;
		const {server} = call;
		const lane = this.lanesOf(server).acquire(false);
		if (!lane) {
			this.report(this.machine.failed(call, 'unreachable', clock.nowMs()));
			return;
		}

		if (registry.isMissing(server.serverId)) {
			metrics.increment('batch.askedWhileMissing', 1, {pool});
			log.info('Work goes to a server whose entry is missing.', {pool, server: server.serverId, pieces: call.pieces.length});
		}

		bounds.sent(server, call.sentMs);
		const limit = TimeLimit.create(clock, call.limitMs - clock.nowMs(), this.controller.signal);
		const answer = await collectResponse(lane, optionsOf(protocol.encodeRun(call, clock.nowMs())), limit.signal, head => {
			notices.handleResponse(server, protocol.readNotice(head), call.sentMs, clock.nowMs());
		});
		const isGivenUp = limit.signal.aborted;
		limit.dispose();
		if (this.controller.signal.aborted) {
			return;
		}

		if (!answer.ok && answer.error.wasWritten && !isGivenUp) {
			this.brokeOff(call);
		}

		const nowMs = clock.nowMs();
		const decoded = answer.ok ? protocol.decodeRun(answer.value, call) : undefined;
		if (decoded?.ok) {
			metrics.timing('batch.call', nowMs - call.sentMs, {pool});
			metrics.increment('batch.pieces', call.pieces.length, {pool});
			this.log.noRoom(call, decoded.value, this.machine.keptAt(server.serverId, nowMs), capacity);
			this.report(this.machine.answered(call, decoded.value, capacity, nowMs));
		} else {
			const reason = decoded?.error ?? (answer.ok || answer.error.wasWritten ? 'broken' : 'unreachable');
			const detail = answer.ok ? `status ${answer.value.status}` : answer.error.message;
			log.warn('A batch came to nothing; its pieces wait again.', {
				pool, server: server.serverId, pieces: call.pieces.length, reason, detail, tookMs: Math.round(nowMs - call.sentMs),
			});
			metrics.increment('batch.failed', 1, {pool, reason});
			if (reason === 'replaced') {
				registry.handleAddressTaken(server.serverId);
			}

			this.report(this.machine.failed(call, reason, nowMs));
		}

		this.pump();
	}

	/** Any of the requests with a piece in the call may have ended its upstream. */
	private brokeOff({server, pieces}: BatchCall): void {
		for (const {contentId, callerRequestId} of new Map(pieces.map(({work}) => [work.contentId, work])).values()) {
			this.options.quarantine.brokeOff(contentId, server, callerRequestId);
		}
	}

	private report(ends: readonly PieceEnd[]): void {
		for (const end of ends) {
			this.options.ended(end);
		}
	}

	/** Where an upstream's rate is bounded, a release leaves one send for pieces that wait. */
	private mayRelease(server: UpstreamServer): boolean {
		const kept = this.machine.waitingCount > 0 ? 1 : 0;
		return this.options.bounds.allowance(server, soleWork, this.options.clock.nowMs()).left > kept;
	}

	private async sendRelease(server: UpstreamServer, handles: readonly string[]): Promise<void> {
		const lane = this.lanesOf(server).acquire(false);
		const {protocol, notices, bounds, log, pool, clock} = this.options;
		if (!lane) {
			// All connections are at work: it is tried again with the next releases.
			this.release(handles.map(handle => ({handle, serverId: server.serverId})));
			return;
		}

		const limit = TimeLimit.create(clock, releaseLimitMs, this.controller.signal);
		const sentMs = clock.nowMs();
		bounds.sent(server, sentMs);
		const answer = await collectResponse(lane, optionsOf(protocol.encodeRelease(handles, server)), limit.signal, head => {
			notices.handleResponse(server, protocol.readNotice(head), sentMs, clock.nowMs());
		});
		limit.dispose();
		if (answer.ok) {
			// Only now is the room there: a call that came before would find none.
			this.machine.released(server.serverId, handles);
			this.pump();
		} else if (!this.controller.signal.aborted) {
			// Nothing is lost: the upstream drops the results itself once their time is over.
			log.debug('Results could not be released.', {
				pool, server: server.serverId, results: handles.length, reason: answer.error.message,
			});
		}
	}

	private serverChanged(server: UpstreamServer, isGone: boolean): void {
		const lanes = this.lanes.get(server.serverId);
		if (isGone && lanes && !lanes.hasBusy) {
			this.lanes.delete(server.serverId);
			lanes.dispose();
		}

		this.pump();
	}

	private lanesOf(server: UpstreamServer): ConnectionPool {
		let lanes = this.lanes.get(server.serverId);
		if (!lanes) {
			lanes = ConnectionPool.create(server, this.options.clock, () => mostLanes);
			this.lanes.set(server.serverId, lanes);
		}

		return lanes;
	}
}

function optionsOf(call: EncodedCall) {
	return {
		method: call.method, path: call.path, headers: call.headers.flatMap(({name, value}) => [name, value]), body: call.body,
	};
}

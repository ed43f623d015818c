/** The gate of one upstream at its agent: a state machine that admits, queues, starts, cancels and ends dispatches. */
import {extendDigest} from '../../base/common/hash.js';
import {FairQueue, type WorkQueue} from '../../routing/common/fair-queue.js';
import {
	endStates, refusalReasons, type DispatchMessage, type Message, type RefusalReason, type StartedMessage, type UpstreamLoad,
} from '../../wire/common/messages.js';
import type {CallEnd, GateAction, GateLimits} from './gate-actions.js';
import {EndedJobs} from './ended-jobs.js';
import {makeJob, resumeOffsetOf, type GateJob} from './gate-job.js';

/** How long repeatable work continues to run after its entry's connection was lost, in case the entry reconnects. */
const orphanGraceMs = 1500;

/** Makes all decisions about dispatches at one upstream. The current time is passed with each call. */
export class GateStateMachine {
	/**
	Creates a gate.
	@param limits - the number of slots and the maximum queue length.
	@param queue - the queue, which determines the order of waiting work.
	*/
	static create(limits: GateLimits, queue: WorkQueue<GateJob> = FairQueue.create<GateJob>()): GateStateMachine {
		return new GateStateMachine(limits, queue);
	}

	private readonly jobs = new Map<string, GateJob>();
	private readonly endedJobs = EndedJobs.create();
	private runningCount = 0;
	private isLeavingNow = false;
	private actions: GateAction[] = [];
	private upstreamModels: UpstreamLoad['models'] = [];
	private serviceMs = 0;

	private constructor(private limits: GateLimits, private readonly queue: WorkQueue<GateJob>) {}

	get isLeaving(): boolean {
		return this.isLeavingNow;
	}

	/** Whether no dispatch is running or waiting. */
	get isIdle(): boolean {
		return this.jobs.size === 0;
	}

	get load(): UpstreamLoad {
		return {
			running: this.runningCount, queued: this.queue.size, slots: this.limits.slots, serviceMs: this.serviceMs, models: this.upstreamModels,
		};
	}

	/** Dispatches that have neither ended nor been refused. */
	get openDispatchIds(): string[] {
		return [...this.jobs.keys()];
	}

	setLimits(limits: GateLimits, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			this.limits = limits;
		});
	}

	setModels(models: UpstreamLoad['models']): void {
		this.upstreamModels = models;
	}

	/** Stops accepting new work. Waiting dispatches are refused; running ones are left to finish. */
	leave(nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			this.isLeavingNow = true;
			for (const job of this.queue.items()) {
				this.queue.remove(job);
				this.refuseJob(job, refusalReasons.leaving, nowMs);
			}
		});
	}

	/**
	Handles a received dispatch.
	@param connectionId - the id of the connection on which the dispatch was received.
	@param dispatch - the message.
	@param isStale - whether the message may have been waiting unread while this process was suspended.
	@param nowMs - the current time.
	*/
	dispatch(connectionId: number, dispatch: DispatchMessage, isStale: boolean, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const {dispatchId} = dispatch;
			if (this.jobs.has(dispatchId) || this.endedJobs.has(dispatchId)) {
				// Duplicated in transit: only the first copy counts.
				return;
			}

			const reason = this.refusalOf(dispatch, isStale);
			if (reason) {
				this.endedJobs.remember(dispatchId, undefined);
				this.send(connectionId, {
					type: 'refused', dispatchId, reason, load: this.load,
				});
				return;
			}

			const job = makeJob(connectionId, dispatch, nowMs);
			this.jobs.set(dispatchId, job);
			this.queue.push(job);
		});
	}

	/**
	Cancels a dispatch that its entry no longer needs. Work that may not be repeated is cancelled only before it has started.
	@param dispatchId - the id of the dispatch.
	@param nowMs - the current time.
	*/
	cancel(dispatchId: string, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId);
			if (job?.startedMs === undefined) {
				if (job) {
					this.queue.remove(job);
					this.refuseJob(job, refusalReasons.cancelled, nowMs);
				}
			} else if (job.dispatch.isRepeatable) {
				this.abort(job);
			}
		});
	}

	credit(dispatchId: string, chunks: number, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId);
			if (job) {
				const wasExhausted = job.credit <= 0;
				job.credit += chunks;
				if (wasExhausted && job.credit > 0) {
					this.actions.push({type: 'flow', dispatchId, isOpen: true});
				}
			}
		});
	}

	/**
	Answers a query about a dispatch from an entry that lost its connection and has reconnected.
	@param connectionId - the id of the new connection of the entry.
	@param dispatchId - the id of the dispatch.
	@param nowMs - the current time.
	*/
	query(connectionId: number, dispatchId: string, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId) ?? this.endedJobs.get(dispatchId);
			if (job) {
				job.connectionId = connectionId;
				job.orphanedMs = undefined;
				for (const message of job.sentMessages) {
					this.send(connectionId, message);
				}
			} else {
				// The id is remembered, so that the dispatch is not run if it still arrives.
				this.endedJobs.remember(dispatchId, undefined);
				this.send(connectionId, {type: 'refused', dispatchId, reason: refusalReasons.neverSeen});
			}
		});
	}

	/**
	Handles the loss of a connection: waiting dispatches received on it are refused, running ones become orphans.
	@param connectionId - the id of the lost connection.
	@param nowMs - the current time.
	*/
	connectionLost(connectionId: number, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			for (const job of this.jobs.values()) {
				if (job.connectionId !== connectionId) {
					continue;
				}

				job.connectionId = undefined;
				job.orphanedMs = nowMs;
				if (!job.dispatch.isRepeatable && job.startedMs !== undefined) {
					this.liftCreditLimit(job);
				}

				if (job.startedMs === undefined) {
					this.queue.remove(job);
					this.refuseJob(job, refusalReasons.cancelled, nowMs);
				}
			}
		});
	}

	/**
	Handles the upstream's acceptance of a call.
	@param dispatchId - the id of the dispatch.
	@param http - status and headers of the answer, if the call is to a plain service.
	@param nowMs - the current time.
	*/
	callStarted(dispatchId: string, http: StartedMessage['http'], nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId);
			if (job?.startedMs !== undefined) {
				this.notifyEntry(job, {
					type: 'started', dispatchId, queueMs: job.startedMs - job.arrivedMs, ...(http && {http}),
				});
			}
		});
	}

	/**
	Handles a chunk of the upstream's answer.
	@param dispatchId - the id of the dispatch.
	@param units - the number of tokens in the chunk, or 1 for a chunk of bytes.
	@param data - the chunk.
	@param nowMs - the current time.
	*/
	callChunkReceived(dispatchId: string, units: number, data: Uint8Array, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId);
			if (!job || job.isAborted) {
				return;
			}

			this.notifyEntry(job, {
				type: 'chunk', dispatchId, sequence: job.units, units, data,
			});
			job.units += units;
			job.digest = extendDigest(job.digest, data);
			job.credit--;
			if (job.credit === 0) {
				this.actions.push({type: 'flow', dispatchId, isOpen: false});
			}
		});
	}

	/**
	Handles the end of a call to the upstream.
	@param dispatchId - the id of the dispatch.
	@param end - how the call ended.
	@param nowMs - the current time.
	*/
	callEnded(dispatchId: string, end: CallEnd, nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			const job = this.jobs.get(dispatchId);
			if (job?.startedMs === undefined) {
				return;
			}

			this.runningCount--;
			if (end.state === 'notRun' && job.units === resumeOffsetOf(job.dispatch)) {
				this.refuseJob(job, refusalReasons.unreachable, nowMs);
				return;
			}

			const runMs = nowMs - job.startedMs;
			if (end.state === endStates.completed) {
				this.serviceMs += 0.2 * (runMs - this.serviceMs);
			}

			this.jobs.delete(dispatchId);
			job.endedMs = nowMs;
			this.notifyEntry(job, {
				type: 'end',
				dispatchId,
				state: end.state === 'notRun' ? endStates.failed : end.state,
				units: job.units,
				digest: job.digest,
				runMs,
				...(end.reason !== undefined && {reason: end.reason.slice(0, 500)}),
				load: this.load,
			});
			this.endedJobs.remember(dispatchId, job);
		});
	}

	/** Refuses waiting dispatches that can no longer start, aborts repeatable orphans and drops expired results. */
	tick(nowMs: number): GateAction[] {
		return this.collectActions(nowMs, () => {
			for (const job of this.queue.items()) {
				if (nowMs >= job.startByMs) {
					this.queue.remove(job);
					this.refuseJob(job, refusalReasons.outOfTime, nowMs);
				}
			}

			for (const job of this.jobs.values()) {
				const isOrphan = job.orphanedMs !== undefined && nowMs - job.orphanedMs >= orphanGraceMs;
				if (isOrphan && job.dispatch.isRepeatable) {
					this.abort(job);
				}
			}

			this.endedJobs.dropExpiredResults(nowMs);
		});
	}

	private collectActions(nowMs: number, run: () => void): GateAction[] {
		this.actions = [];
		run();
		this.startNext(nowMs);
		return this.actions;
	}

	private startNext(nowMs: number): void {
		while (this.runningCount < this.limits.slots) {
			const job = this.queue.pop();
			if (!job) {
				return;
			}

			if (nowMs >= job.startByMs) {
				this.refuseJob(job, refusalReasons.outOfTime, nowMs);
				continue;
			}

			job.startedMs = nowMs;
			this.runningCount++;
			this.actions.push({type: 'start', dispatch: job.dispatch});
		}
	}

	private refusalOf(dispatch: DispatchMessage, isStale: boolean): RefusalReason | undefined {
		if (this.isLeavingNow) {
			return refusalReasons.leaving;
		}

		if (isStale) {
			return refusalReasons.stale;
		}

		if (dispatch.startWithinMs <= 0) {
			return refusalReasons.outOfTime;
		}

		return this.queue.size >= this.limits.maxQueue && this.runningCount >= this.limits.slots ? refusalReasons.queueFull : undefined;
	}

	private refuseJob(job: GateJob, reason: RefusalReason, nowMs: number): void {
		const {dispatchId} = job.dispatch;
		this.jobs.delete(dispatchId);
		job.endedMs = nowMs;
		this.notifyEntry(job, {
			type: 'refused', dispatchId, reason, load: this.load,
		});
		this.endedJobs.remember(dispatchId, job);
	}

	/** Lifts the credit limit of a job whose entry can no longer grant credit; its result is retained for the entry's return. */
	private liftCreditLimit(job: GateJob): void {
		const wasPaused = job.credit <= 0;
		job.credit = Infinity;
		if (wasPaused) {
			this.actions.push({type: 'flow', dispatchId: job.dispatch.dispatchId, isOpen: true});
		}
	}

	private abort(job: GateJob): void {
		if (!job.isAborted) {
			job.isAborted = true;
			this.actions.push({type: 'abort', dispatchId: job.dispatch.dispatchId});
		}
	}

	private notifyEntry(job: GateJob, message: Message): void {
		if (!job.dispatch.isRepeatable) {
			job.sentMessages.push(message);
		}

		if (job.connectionId !== undefined) {
			this.send(job.connectionId, message);
		}
	}

	private send(connectionId: number, message: Message): void {
		this.actions.push({type: 'send', connectionId, message});
	}
}

/** What differs between scheduled pools and all others (docs/design/hard-load.md). */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import {limitCall, type CallConditions} from './call-size.js';
import {DeclaredTimes, LearnedTimes, type CallTimes} from './call-times.js';
import {ContentionOrder, DueOrder, type PieceOrder} from './piece-order.js';
import type {ItemDurations} from './quotes.js';

/** How a pool is scheduled. */
export type SchedulingPolicy = {
	readonly times: CallTimes;
	/** Share of the size of a refused result that counts as used until a result of this size is tried again. */
	readonly refusedShare: number;
	/** Whether the pieces of canceled work in calls that failed are dropped instead of queued again. */
	readonly dropsCanceled: boolean;
	/** Whether submitters are notified when the inputs of a call in progress must have been fetched. */
	readonly reportsFetched: boolean;
	/** Returns the order of the queue. */
	orderOf(capacity: BatchCapacity): PieceOrder;
	/** Returns those of the selected pieces that a call takes. */
	limitCall(selected: readonly BatchPiece[], conditions: () => CallConditions, nowMs: number): readonly BatchPiece[];
};

/** Policy of pools that are not scheduled. */
export class DefaultPolicy implements SchedulingPolicy {
	static create(): DefaultPolicy {
		return new DefaultPolicy();
	}

	readonly times = DeclaredTimes.create();
	private readonly order = DueOrder.create();

	get refusedShare(): number {
		return 1;
	}

	get dropsCanceled(): boolean {
		return false;
	}

	get reportsFetched(): boolean {
		return false;
	}

	orderOf(): PieceOrder {
		return this.order;
	}

	limitCall(selected: readonly BatchPiece[]): readonly BatchPiece[] {
		return selected;
	}
}

/** Policy of scheduled pools. */
export class ContentionPolicy implements SchedulingPolicy {
	/**
	Creates an instance.
	@param itemDurations - learned durations by step.
	*/
	static create(itemDurations: ItemDurations): ContentionPolicy {
		return new ContentionPolicy(itemDurations);
	}

	readonly times: LearnedTimes;

	private constructor(itemDurations: ItemDurations) {
		this.times = LearnedTimes.create(itemDurations);
	}

	/**
	Less space than the refused result needs is free, and half of that is assumed. With all of it reserved, an upstream that refused
	one large result received no small ones either until it was tried again.
	*/
	get refusedShare(): number {
		return 0.5;
	}

	get dropsCanceled(): boolean {
		return true;
	}

	get reportsFetched(): boolean {
		return true;
	}

	orderOf(capacity: BatchCapacity): PieceOrder {
		return ContentionOrder.create(this.times.fullCallMs(capacity));
	}

	limitCall(selected: readonly BatchPiece[], conditions: () => CallConditions, nowMs: number): readonly BatchPiece[] {
		// The conditions are read from the whole queue. A free upstream for which nothing fits is considered with every message.
		return selected.length < 2 ? selected : limitCall(selected, conditions(), nowMs);
	}
}

/** What a scheduled pool depends on. */
export type ScheduledOptions = {
	/** Whether the pool is a scheduled one; may change with the declaration. */
	readonly isScheduled: () => boolean;
	readonly itemDurations: ItemDurations;
};

/** Selects the policy of a pool. */
export class PolicySwitch {
	/**
	Creates an instance.
	@param options - absent for a pool that is never scheduled.
	*/
	static create(options: ScheduledOptions | undefined): PolicySwitch {
		return new PolicySwitch(options);
	}

	/** The policy while the pool is scheduled. */
	readonly scheduled: SchedulingPolicy;
	private readonly unscheduled: SchedulingPolicy = DefaultPolicy.create();
	private last = this.unscheduled;
	private listener: ((nowMs: number) => void) | undefined;

	private constructor(private readonly options: ScheduledOptions | undefined) {
		this.scheduled = options ? ContentionPolicy.create(options.itemDurations) : this.unscheduled;
	}

	/** Sets the function that is called when the policy has changed. */
	onDidChange(listener: (nowMs: number) => void): void {
		this.listener = listener;
	}

	/**
	Returns the policy in force.
	@param nowMs - the current time.
	*/
	at(nowMs: number): SchedulingPolicy {
		const policy = this.options?.isScheduled() ? this.scheduled : this.unscheduled;
		if (policy !== this.last) {
			this.last = policy;
			this.listener?.(nowMs);
		}

		return policy;
	}
}

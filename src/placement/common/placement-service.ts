/** Brings engines to what the settings want, from whichever entry holds the lease. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {SettingsTree} from '../../settings/common/settings-tree.js';
import type {OrderMessage, OrderReply} from '../../wire/common/messages.js';
import type {LeaseKeeper} from './lease.js';
import {planOrders, type EngineView, type OrderStep} from './order-planner.js';

const tickMs = 3000;
/** Longest time of one order; with less of the lease left none is sent. */
export const longestOrderMs = 8000;
/** Loads from the weight store at once, over all pools. */
const mostLoads = 2;

/** What placement needs of the fleet. */
export type OrderFleet = {
	/** Live engines of a pool, as last reported. */
	engines(pool: string): EngineView[];
	/** Sends an order; false if nothing was written. */
	send(upstreamId: string, order: OrderMessage): boolean;
};

/** What placement is made of. */
export type PlacementOptions = {
	readonly lease: LeaseKeeper;
	readonly tree: SettingsTree;
	readonly fleet: OrderFleet;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly newOrderId: () => string;
};

type Pending = {readonly step: OrderStep; readonly untilMs: number};

/** Gives fenced orders while it holds the lease; without it, serving goes on as placed. */
export class PlacementService implements Disposable {
	static create(options: PlacementOptions): PlacementService {
		return new PlacementService(options);
	}

	private readonly owned = DisposableStore.create();
	private readonly pending = new Map<string, Pending>();
	private epoch = 0;
	private sequence = 0;

	private constructor(private readonly options: PlacementOptions) {
		const {clock, random} = options;
		this.owned.add(setRepeating(clock, () => jitter(random, tickMs), async () => this.tick()));
	}

	/** The epoch held, or nothing. */
	get leaseEpoch(): number | undefined {
		return this.options.lease.epoch;
	}

	/** Renews the lease and gives the orders that are due. */
	async tick(): Promise<void> {
		await this.options.lease.tick();
		this.giveOrders();
	}

	/**
	An agent answered an order.
	@param reply - its answer.
	*/
	replied(reply: OrderReply): void {
		const pending = this.pending.get(reply.orderId);
		this.pending.delete(reply.orderId);
		if (pending && !reply.isAccepted) {
			this.options.log.warn('An order was not carried out.', {upstream: pending.step.upstreamId, model: pending.step.model, reason: reply.reason});
		}
	}

	/** Gives the lease up, as at a planned stop. */
	async release(): Promise<void> {
		this.owned.dispose();
		await this.options.lease.release();
	}

	dispose(): void {
		this.owned.dispose();
	}

	private giveOrders(): void {
		const {lease, tree, fleet, clock, log} = this.options;
		const {epoch} = lease;
		this.dropOverdue();
		if (epoch === undefined) {
			return;
		}

		if (epoch !== this.epoch) {
			log.info('This entry holds the placement lease.', {epoch});
			this.epoch = epoch;
			this.sequence = 0;
			this.pending.clear();
		}

		const pools = tree.paths.filter(path => path.startsWith('/pools/')).map(path => path.slice('/pools/'.length));
		for (const pool of pools) {
			const wanted = tree.pool(pool)?.models;
			const busy = new Set(Array.from(this.pending.values(), item => item.step.upstreamId));
			for (const step of wanted ? planOrders(wanted, fleet.engines(pool), busy) : []) {
				this.give(step, epoch, clock.nowMs());
			}
		}
	}

	private give(step: OrderStep, epoch: number, nowMs: number): void {
		const {lease, fleet, newOrderId} = this.options;
		const loads = [...this.pending.values()].filter(item => item.step.kind === 'load').length;
		const isOverRate = step.kind === 'load' && loads >= mostLoads;
		// An order must end while the lease still holds: not every engine checks fences.
		if (isOverRate || lease.remainingMs < longestOrderMs) {
			return;
		}

		this.sequence++;
		const orderId = newOrderId();
		const {upstreamId, ...what} = step;
		const isSent = fleet.send(upstreamId, {
			type: 'order', orderId, epoch, sequence: this.sequence, timeLeftMs: longestOrderMs, ...what,
		});
		if (isSent) {
			this.pending.set(orderId, {step, untilMs: nowMs + (2 * longestOrderMs)});
		}
	}

	/** An order without an answer is forgotten; the engine's own report tells what became of it. */
	private dropOverdue(): void {
		for (const [orderId, {untilMs}] of this.pending) {
			if (this.options.clock.nowMs() >= untilMs) {
				this.pending.delete(orderId);
			}
		}
	}
}

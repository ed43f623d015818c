/** Loads and unloads models until the engines match the settings; the entry that holds the placement lease does this. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {SettingsTree} from '../../settings/common/settings-tree.js';
import type {OrderMessage, OrderReply} from '../../wire/common/messages.js';
import type {PlacementLease} from './lease.js';
import {planOrders, type EngineView, type OrderStep} from './order-planner.js';

const tickMs = 3000;
/** Maximum duration of one order. No order is sent if the lease is held for less than this. */
export const maxOrderMs = 8000;
/** Maximum number of concurrent loads from the weight store, over all pools. */
const maxConcurrentLoads = 2;

/** The engines that placement sends orders to. */
export type OrderFleet = {
	/** Returns the live engines of a pool, as last reported. */
	engines(pool: string): EngineView[];
	/** Sends an order; returns false if nothing was written. */
	send(upstreamId: string, order: OrderMessage): boolean;
};

/** Dependencies of the placement service. */
export type PlacementOptions = {
	readonly lease: PlacementLease;
	readonly tree: SettingsTree;
	readonly fleet: OrderFleet;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly newOrderId: () => string;
};

type PendingOrder = {readonly step: OrderStep; readonly expiresAtMs: number};

/** Sends fenced orders while it holds the lease; without the lease, engines continue to serve the models that they have loaded. */
export class PlacementService implements Disposable {
	static create(options: PlacementOptions): PlacementService {
		return new PlacementService(options);
	}

	private readonly disposables = DisposableStore.create();
	private readonly pending = new Map<string, PendingOrder>();
	private epoch = 0;
	private sequence = 0;

	private constructor(private readonly options: PlacementOptions) {
		const {clock, random} = options;
		this.disposables.add(setRepeating(clock, () => jitter(random, tickMs), async () => this.tick()));
	}

	/** The epoch of the lease, or `undefined` while it is not held. */
	get leaseEpoch(): number | undefined {
		return this.options.lease.epoch;
	}

	/** Renews the lease and sends the orders that are due. */
	async tick(): Promise<void> {
		await this.options.lease.tick();
		this.sendOrders();
	}

	/**
	Handles an agent's reply to an order.
	@param reply - the reply, which names the order by its id.
	*/
	handleReply(reply: OrderReply): void {
		const pending = this.pending.get(reply.orderId);
		this.pending.delete(reply.orderId);
		if (pending && !reply.isAccepted) {
			this.options.log.warn('An order was not carried out.', {upstream: pending.step.upstreamId, model: pending.step.model, reason: reply.reason});
		}
	}

	/** Stops and releases the lease, as at a planned shutdown. */
	async release(): Promise<void> {
		this.disposables.dispose();
		await this.options.lease.release();
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private sendOrders(): void {
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
				this.sendOrder(step, epoch, clock.nowMs());
			}
		}
	}

	private sendOrder(step: OrderStep, epoch: number, nowMs: number): void {
		const {lease, fleet, newOrderId} = this.options;
		const loads = [...this.pending.values()].filter(item => item.step.kind === 'load').length;
		const isAtLoadLimit = step.kind === 'load' && loads >= maxConcurrentLoads;
		// An order must finish while the lease is still valid, because not every engine checks fences.
		if (isAtLoadLimit || lease.remainingMs < maxOrderMs) {
			return;
		}

		this.sequence++;
		const orderId = newOrderId();
		const {upstreamId, ...command} = step;
		const isSent = fleet.send(upstreamId, {
			type: 'order', orderId, epoch, sequence: this.sequence, timeLeftMs: maxOrderMs, ...command,
		});
		if (isSent) {
			this.pending.set(orderId, {step, expiresAtMs: nowMs + (2 * maxOrderMs)});
		}
	}

	/** Drops orders that got no reply in time; the engine's own report shows what became of them. */
	private dropOverdue(): void {
		for (const [orderId, {expiresAtMs}] of this.pending) {
			if (this.options.clock.nowMs() >= expiresAtMs) {
				this.pending.delete(orderId);
			}
		}
	}
}

/** Orders at an agent: let pass by their fence, handed to the engine, and written down. */
import type {Logger} from '../../base/common/logger.js';
import {leaseKey, parseLease} from '../../placement/common/lease.js';
import type {TableService} from '../../store/common/table-service.js';
import type {OrderMessage} from '../../wire/common/messages.js';
import {OrderFence} from '../common/order-fence.js';
import type {OrderEnd, UpstreamDriver} from '../common/upstream-driver.js';

/** Takes orders for one upstream. */
export class OrderDesk {
	static create(driver: UpstreamDriver, table: TableService, log: Logger): OrderDesk {
		return new OrderDesk(driver, table, log);
	}

	private readonly fence = OrderFence.create();

	private constructor(private readonly driver: UpstreamDriver, private readonly table: TableService, private readonly log: Logger) {}

	/** A new agent lets no order pass before it knows the lease's epoch. */
	async learnFence(): Promise<void> {
		if (this.fence.isKnown) {
			return;
		}

		const rows = await this.table.read([leaseKey]);
		if (rows.ok) {
			const [row] = rows.value;
			this.fence.learn(row ? parseLease(row)?.epoch ?? 0 : 0);
		}
	}

	/** This process slept: what it reads now may have waited. */
	suspect(): void {
		this.fence.suspect();
	}

	/**
	Carries an order out, or refuses it.
	@param order - the order.
	@returns how it ended.
	*/
	async carryOut(order: OrderMessage): Promise<OrderEnd> {
		const reason = this.fence.check(order);
		const end = reason === undefined ? await this.driver.order(order) : {isAccepted: false, reason};
		this.log.info('An order was carried out or refused.', {
			kind: order.kind, model: order.model, epoch: order.epoch, sequence: order.sequence, isAccepted: end.isAccepted, reason: end.reason,
		});
		return end;
	}
}

/** Handles orders at an agent: checks their fence, forwards them to the engine, and logs the outcome. */
import type {Logger} from '../../base/common/logger.js';
import {leaseKey, parseLease} from '../../placement/common/lease.js';
import type {TableService} from '../../store/common/table-service.js';
import type {OrderMessage} from '../../wire/common/messages.js';
import {OrderFence} from '../common/order-fence.js';
import type {OrderResult, UpstreamDriver} from '../common/upstream-driver.js';

/** Executes or refuses the orders for one upstream. */
export class OrderHandler {
	static create(driver: UpstreamDriver, table: TableService, log: Logger): OrderHandler {
		return new OrderHandler(driver, table, log);
	}

	private readonly fence = OrderFence.create();

	private constructor(private readonly driver: UpstreamDriver, private readonly table: TableService, private readonly log: Logger) {}

	/** Reads the epoch of the lease, if it isn't known yet: until then a new agent refuses all orders. */
	async readLeaseEpoch(): Promise<void> {
		if (this.fence.hasEpoch) {
			return;
		}

		const rows = await this.table.read([leaseKey]);
		if (rows.ok) {
			const [row] = rows.value;
			this.fence.raiseEpoch(row ? parseLease(row)?.epoch ?? 0 : 0);
		}
	}

	/** Called when this process was suspended: orders that it reads now may have been waiting. */
	processSuspended(): void {
		this.fence.processSuspended();
	}

	/**
	Executes an order, or refuses it if the fence forbids it.
	@param order - the order, as received from an entry.
	@returns the outcome.
	*/
	async execute(order: OrderMessage): Promise<OrderResult> {
		const reason = this.fence.check(order);
		const result = reason === undefined ? await this.driver.order(order) : {isAccepted: false, reason};
		this.log.info('An order was carried out or refused.', {
			kind: order.kind, model: order.model, epoch: order.epoch, sequence: order.sequence, isAccepted: result.isAccepted, reason: result.reason,
		});
		return result;
	}
}

/** Refuses orders of an old lease holder, for engines that check as for those that don't. */
import type {OrderMessage} from '../../wire/common/messages.js';

/** Remembers the highest fence seen. */
export class OrderFence {
	static create(): OrderFence {
		return new OrderFence();
	}

	private epoch = 0;
	private sequence = 0;
	private isSuspect = false;

	/** This process slept: an order read now may have waited; the next newer one clears the doubt. */
	suspect(): void {
		this.isSuspect = true;
	}

	/**
	Checks an order, and remembers its fence if it may pass.
	@param order - the order.
	@returns why it may not pass, or nothing.
	*/
	check(order: OrderMessage): string | undefined {
		const {epoch, sequence, timeLeftMs} = order;
		if (epoch < this.epoch || (epoch === this.epoch && sequence <= this.sequence)) {
			return `fence ${epoch}/${sequence} is not above ${this.epoch}/${this.sequence}`;
		}

		this.epoch = epoch;
		this.sequence = sequence;
		if (this.isSuspect || timeLeftMs <= 0) {
			this.isSuspect = false;
			return 'the order may have waited while its lease ran out';
		}

		return undefined;
	}
}

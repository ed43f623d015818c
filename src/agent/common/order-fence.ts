/** Refuses orders of an old lease holder, for engines that check as for those that don't. */
import type {OrderMessage} from '../../wire/common/messages.js';

/** Remembers the highest fence seen. */
export class OrderFence {
	static create(): OrderFence {
		return new OrderFence();
	}

	/** Nothing until the lease's epoch was read: a new agent can't know what its predecessor let pass. */
	private epoch: number | undefined;
	private sequence = 0;
	private isSuspect = false;

	get isKnown(): boolean {
		return this.epoch !== undefined;
	}

	/**
	The lease was read.
	@param epoch - its epoch; orders of earlier ones may no longer pass.
	*/
	learn(epoch: number): void {
		if (this.epoch === undefined || epoch > this.epoch) {
			this.epoch = epoch;
			this.sequence = 0;
		}
	}

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
		if (this.epoch === undefined) {
			return 'the lease could not be read yet';
		}

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

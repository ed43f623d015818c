/** Refuses orders of a former lease holder, both for engines that check fences and for those that don't. */
import type {OrderMessage} from '../../wire/common/messages.js';

/** Holds the highest fence (epoch and sequence number) seen so far. */
export class OrderFence {
	static create(): OrderFence {
		return new OrderFence();
	}

	/** `undefined` until the epoch of the lease was read: a new agent can't know which orders its predecessor accepted. */
	private epoch: number | undefined;
	private sequence = 0;
	private isNextSuspect = false;

	get hasEpoch(): boolean {
		return this.epoch !== undefined;
	}

	/**
	Raises the fence to the epoch read from the lease.
	@param epoch - the epoch; orders of earlier ones are refused from now on.
	*/
	raiseEpoch(epoch: number): void {
		if (this.epoch === undefined || epoch > this.epoch) {
			this.epoch = epoch;
			this.sequence = 0;
		}
	}

	/**
	Called when this process was suspended. The next order above the fence may have waited during the suspension,
	so it is refused; later orders are accepted again.
	*/
	processSuspended(): void {
		this.isNextSuspect = true;
	}

	/**
	Checks an order, and raises the fence to its epoch and sequence number unless it is outdated.
	@param order - the order to check.
	@returns the reason for the refusal, or `undefined` if the order may be executed.
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
		if (this.isNextSuspect || timeLeftMs <= 0) {
			this.isNextSuspect = false;
			return 'the order may have waited while its lease ran out';
		}

		return undefined;
	}
}

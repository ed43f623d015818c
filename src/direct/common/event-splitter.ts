/** Splits an event stream (text/event-stream) into complete events, so that an interrupted stream never ends within an event. */
import {joinBytes} from '../../base/common/bytes.js';

const newline = 0x0A;
const maxPendingBytes = 1024 * 1024;

/** One or more consecutive complete events. */
export type CompleteEvents = {readonly data: Uint8Array; readonly units: number};

/** Splits one stream. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	private pending = new Uint8Array(0);

	/** Whether bytes of an incomplete event are buffered. */
	get hasPartialEvent(): boolean {
		return this.pending.byteLength > 0;
	}

	/** Whether the incomplete event exceeds the maximum size. */
	get isEventTooLarge(): boolean {
		return this.pending.byteLength > maxPendingBytes;
	}

	/**
	Appends received bytes.
	@param bytes - the next bytes of the stream.
	@returns the events that these bytes completed, or undefined if there are none.
	*/
	push(bytes: Uint8Array): CompleteEvents | undefined {
		const all = this.pending.byteLength === 0 ? bytes : joinBytes([this.pending, bytes]);
		let units = 0;
		let endBytes = 0;
		for (let index = 1; index < all.byteLength; index++) {
			if (all[index] === newline && all[index - 1] === newline && index > endBytes) {
				endBytes = index + 1;
				units++;
			}
		}

		this.pending = all.slice(endBytes);
		if (units === 0) {
			return undefined;
		}

		return {data: all.subarray(0, endBytes), units};
	}
}

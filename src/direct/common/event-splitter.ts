/** Splits an event stream (text/event-stream) into complete events, so that an interrupted stream never ends within an event. */
import {unreadableReasons} from '../../deployment/common/unreadable-response.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const colon = 0x3A;
/** Name of the field that every event has, and no comment. */
const dataField = new TextEncoder().encode('data');
const maxEventBytes = 1024 * 1024;
/** Maximum number of bytes without an event: those of servers that send a short comment each second while they prepare the first event for many minutes. */
const maxEventlessBytes = 64 * 1024;
const minCapacityBytes = 1024;

/** One or more consecutive complete events, and the comments before them. */
export type CompleteEvents = {
	readonly data: Uint8Array;
	/** Number of events and of other complete blocks. */
	readonly units: number;
};

/** Splits one stream. Each byte is examined once, and comments are kept until an event follows them. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	/** What has not been returned yet, in a buffer that grows. */
	private buffer = new Uint8Array(0);
	private sizeBytes = 0;
	/** Size of the complete blocks at its start, and number of those behind the last event. */
	private completeBytes = 0;
	private eventlessUnits = 0;
	/** Whether a line of the incomplete block is of the field `data`. */
	private hasData = false;
	/** Number of bytes of the incomplete line, and whether they begin a field `data`. */
	private column = 0;
	private isDataPrefix = true;
	/** Whether the last line ended in a carriage return, to which a line feed may belong; and whether that line was the blank one that ends a block. */
	private hasOpenReturn = false;
	private isBlankOpen = false;
	/** Whether the line before ended in a carriage return alone. */
	private isBareReturn = false;

	/** Whether bytes of an incomplete block are buffered. */
	get hasPartialEvent(): boolean {
		return this.sizeBytes > this.completeBytes;
	}

	/** Why the stream is taken no further; undefined if it is. */
	get problem(): string | undefined {
		if (this.sizeBytes - this.completeBytes > maxEventBytes) {
			return unreadableReasons.event;
		}

		return (this.hasData ? this.completeBytes : this.sizeBytes) > maxEventlessBytes ? unreadableReasons.noEvent : undefined;
	}

	/**
	Appends received bytes.
	@param bytes - the next bytes of the stream.
	@returns the events that these bytes completed, with the comments before them, or undefined if there are none.
	*/
	push(bytes: Uint8Array): CompleteEvents | undefined {
		let endBytes = 0;
		let units = 0;
		this.append(bytes);
		for (let index = this.sizeBytes - bytes.byteLength; index < this.sizeBytes; index++) {
			const blockEndBytes = this.read(this.buffer[index], index);
			if (blockEndBytes === undefined) {
				continue;
			}

			this.completeBytes = blockEndBytes;
			this.eventlessUnits++;
			if (this.hasData) {
				endBytes = blockEndBytes;
				units += this.eventlessUnits;
				this.eventlessUnits = 0;
			}

			this.hasData = false;
		}

		return units === 0 ? undefined : {data: this.take(endBytes), units};
	}

	/**
	Returns the complete blocks behind the last event, for the end of a stream.
	@returns undefined if there are none.
	*/
	takeRest(): CompleteEvents | undefined {
		const units = this.eventlessUnits;
		this.eventlessUnits = 0;
		return units === 0 ? undefined : {data: this.take(this.completeBytes), units};
	}

	/**
	Reads the next byte. A line ends with CR, LF or CRLF, and a block with a blank line.
	@param byte - the byte.
	@param index - its position in the buffer.
	@returns the end of the block that the byte has shown to be complete; undefined if there is none.
	*/
	private read(byte: number, index: number): number | undefined {
		let endBytes: number | undefined;
		if (this.hasOpenReturn) {
			this.hasOpenReturn = false;
			this.isBareReturn = byte !== lineFeed;
			if (byte === lineFeed) {
				return this.isBlankOpen ? index + 1 : undefined;
			}

			endBytes = this.isBlankOpen ? index : undefined;
		}

		if (byte !== lineFeed && byte !== carriageReturn) {
			this.readLine(byte);
			return endBytes;
		}

		const isBlank = this.column === 0 && index > (endBytes ?? this.completeBytes);
		this.hasData ||= this.column === dataField.byteLength && this.isDataPrefix;
		this.column = 0;
		this.isDataPrefix = true;
		if (byte === carriageReturn && !(isBlank && this.isBareReturn)) {
			this.hasOpenReturn = true;
			this.isBlankOpen = isBlank;
			return endBytes;
		}

		this.isBareReturn &&= byte === carriageReturn;
		return isBlank ? index + 1 : endBytes;
	}

	private readLine(byte: number): void {
		if (this.column < dataField.byteLength) {
			this.isDataPrefix &&= byte === dataField[this.column];
		} else if (this.column === dataField.byteLength && this.isDataPrefix && byte === colon) {
			this.hasData = true;
		}

		this.column++;
	}

	private append(bytes: Uint8Array): void {
		const neededBytes = this.sizeBytes + bytes.byteLength;
		if (neededBytes > this.buffer.byteLength) {
			const grown = new Uint8Array(Math.max(minCapacityBytes, neededBytes, this.buffer.byteLength * 2));
			grown.set(this.buffer.subarray(0, this.sizeBytes));
			this.buffer = grown;
		}

		this.buffer.set(bytes, this.sizeBytes);
		this.sizeBytes = neededBytes;
	}

	/** Removes and returns the first bytes of the buffer. */
	private take(countBytes: number): Uint8Array {
		const taken = this.buffer.slice(0, countBytes);
		this.buffer = this.buffer.slice(countBytes, this.sizeBytes);
		this.sizeBytes -= countBytes;
		this.completeBytes -= countBytes;
		return taken;
	}
}

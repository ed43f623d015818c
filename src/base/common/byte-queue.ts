/** A queue of received bytes that takes little more memory than the bytes themselves, however small the pieces are in which they arrive. */
import {joinBytes} from './bytes.js';

const minBlockBytes = 1024;
/** Capacity of a block; pieces of this size or more are kept as they are. */
const maxBlockBytes = 16 * 1024;

/** A part of the queue: the bytes of its buffer up to `usedBytes`. */
type Block = {readonly buffer: Uint8Array; usedBytes: number};

/** Copies small pieces into blocks, since an object for each piece can take a hundred times as much memory as its bytes. */
export class ByteQueue {
	static create(): ByteQueue {
		return new ByteQueue();
	}

	private blocks: Block[] = [];
	private queuedBytes = 0;
	/** Number of bytes of the first block that were taken. */
	private takenBytes = 0;

	/** Number of bytes in the queue. */
	get sizeBytes(): number {
		return this.queuedBytes;
	}

	/** Number of bytes that the buffers of the queue take. */
	get heldBytes(): number {
		return this.blocks.reduce((sumBytes, {buffer}) => sumBytes + buffer.byteLength, 0);
	}

	/**
	Appends bytes.
	@param piece - the bytes; they must not change afterwards.
	*/
	append(piece: Uint8Array): void {
		const sizeBytes = piece.byteLength;
		if (sizeBytes >= maxBlockBytes) {
			this.blocks.push({buffer: piece, usedBytes: sizeBytes});
		} else if (sizeBytes > 0) {
			const {buffer, usedBytes} = this.lastBlockFor(sizeBytes);
			buffer.set(piece, usedBytes);
			this.blocks.at(-1)!.usedBytes += sizeBytes;
		}

		this.queuedBytes += sizeBytes;
	}

	/** @returns a copy of all bytes, which stay in the queue. */
	copy(): Uint8Array<ArrayBuffer> {
		return joinBytes(this.blocks.map(({buffer, usedBytes}, index) => buffer.subarray(index === 0 ? this.takenBytes : 0, usedBytes)));
	}

	/**
	Removes bytes from the front.
	@param countBytes - their number, at most that of the bytes in the queue.
	@returns a copy of them, which shares no memory with the queue.
	*/
	take(countBytes: number): Uint8Array<ArrayBuffer> {
		const taken = new Uint8Array(countBytes);
		let filledBytes = 0;
		let usedUp = 0;
		while (filledBytes < countBytes) {
			const {buffer, usedBytes} = this.blocks[usedUp];
			const part = buffer.subarray(this.takenBytes, Math.min(usedBytes, this.takenBytes + countBytes - filledBytes));
			taken.set(part, filledBytes);
			filledBytes += part.byteLength;
			this.takenBytes += part.byteLength;
			if (this.takenBytes === usedBytes) {
				usedUp++;
				this.takenBytes = 0;
			}
		}

		this.blocks = usedUp === 0 ? this.blocks : this.blocks.slice(usedUp);
		this.queuedBytes -= countBytes;
		return taken;
	}

	/** @returns the last block if it has space for a piece, otherwise a new one. */
	private lastBlockFor(sizeBytes: number): Block {
		const last = this.blocks.at(-1);
		if (last && last.buffer.byteLength - last.usedBytes >= sizeBytes) {
			return last;
		}

		const block = {buffer: new Uint8Array(Math.max(sizeBytes, Math.min(maxBlockBytes, Math.max(minBlockBytes, this.queuedBytes)))), usedBytes: 0};
		this.blocks.push(block);
		return block;
	}
}

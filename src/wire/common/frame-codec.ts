/** Framing: each frame is a big-endian length of four bytes, followed by one CBOR value. */
import {Encoder} from 'cbor-x';
import {ByteQueue} from '../../base/common/byte-queue.js';
import type {InputProblem} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {parseMessage, type Message} from './messages.js';

const headerBytes = 4;

/** Default upper bound on the size of an accepted frame. */
export const defaultMaxFrameBytes = 8 * 1024 * 1024;

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

function problem(code: string, message: string): InputProblem {
	return {code, message, place: {source: 'frame'}};
}

/**
Encodes a message as a frame.
@param message - the message.
@returns the bytes of the frame; they share no memory with other frames.
*/
export function encodeFrame(message: Message): Uint8Array {
	const body = codec.encode(message);
	const frame = new Uint8Array(headerBytes + body.byteLength);
	new DataView(frame.buffer).setUint32(0, body.byteLength);
	frame.set(body, headerBytes);
	return frame;
}

/** Decodes a stream of bytes into messages. */
export class FrameDecoder {
	static create(maxFrameBytes = defaultMaxFrameBytes): FrameDecoder {
		return new FrameDecoder(maxFrameBytes);
	}

	private readonly received = ByteQueue.create();
	/** Length of the frame that is being received, once it is known. */
	private lengthBytes: number | undefined;

	private constructor(private readonly maxFrameBytes: number) {}

	/** Number of bytes of a frame that is not complete. */
	get pendingBytes(): number {
		return this.received.sizeBytes;
	}

	/**
	Appends received bytes.
	@param piece - the bytes, split at any position.
	@returns the messages that are complete now, or the problem; after a problem decoding can't continue.
	*/
	push(piece: Uint8Array): Outcome<Message[], InputProblem> {
		this.received.append(piece);
		const messages: Message[] = [];
		for (;;) {
			this.lengthBytes ??= this.takeLength();
			if (this.lengthBytes === undefined) {
				return ok(messages);
			}

			if (this.lengthBytes > this.maxFrameBytes) {
				return fail(problem('frameTooLarge', `frame of ${this.lengthBytes} bytes, at most ${this.maxFrameBytes}`));
			}

			if (this.received.sizeBytes < this.lengthBytes) {
				return ok(messages);
			}

			const message = decodeBody(this.received.take(this.lengthBytes));
			this.lengthBytes = undefined;
			if (!message.ok) {
				return message;
			}

			messages.push(message.value);
		}
	}

	private takeLength(): number | undefined {
		return this.received.sizeBytes < headerBytes ? undefined : new DataView(this.received.take(headerBytes).buffer).getUint32(0);
	}
}

function decodeBody(body: Uint8Array): Outcome<Message, InputProblem> {
	let value: unknown;
	try {
		value = codec.decode(body);
	} catch {
		return fail(problem('badEncoding', 'frame is not one CBOR value'));
	}

	const parsed = parseMessage(value);
	return 'message' in parsed ? ok(parsed.message) : fail(problem('badMessage', parsed.problem));
}

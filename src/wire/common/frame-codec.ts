/** Framing: each frame is a big-endian length of four bytes, followed by one CBOR value. */
import {Encoder} from 'cbor-x';
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

	private pieces: Uint8Array[] = [];
	private sizeBytes = 0;

	private constructor(private readonly maxFrameBytes: number) {}

	/**
	Appends received bytes.
	@param piece - the bytes, split at any position.
	@returns the messages that are complete now, or the problem; after a problem decoding can't continue.
	*/
	push(piece: Uint8Array): Outcome<Message[], InputProblem> {
		this.pieces.push(piece);
		this.sizeBytes += piece.byteLength;
		const messages: Message[] = [];
		while (this.sizeBytes >= headerBytes) {
			const lengthBytes = this.peekLength();
			if (lengthBytes > this.maxFrameBytes) {
				return fail(problem('frameTooLarge', `frame of ${lengthBytes} bytes, at most ${this.maxFrameBytes}`));
			}

			if (this.sizeBytes < headerBytes + lengthBytes) {
				break;
			}

			const message = decodeBody(this.take(headerBytes + lengthBytes).subarray(headerBytes));
			if (!message.ok) {
				return message;
			}

			messages.push(message.value);
		}

		return ok(messages);
	}

	private peekLength(): number {
		if (this.pieces[0].byteLength < headerBytes) {
			this.pieces = [this.take(this.sizeBytes)];
			this.sizeBytes = this.pieces[0].byteLength;
		}

		const [first] = this.pieces;
		return new DataView(first.buffer, first.byteOffset, headerBytes).getUint32(0);
	}

	/** Removes bytes from the buffer and copies them to a new array, so that no two messages share memory. */
	private take(wantedBytes: number): Uint8Array {
		const taken = new Uint8Array(wantedBytes);
		let filledBytes = 0;
		let used = 0;
		while (filledBytes < wantedBytes) {
			const piece = this.pieces[used];
			const partBytes = Math.min(piece.byteLength, wantedBytes - filledBytes);
			taken.set(piece.subarray(0, partBytes), filledBytes);
			filledBytes += partBytes;
			if (partBytes === piece.byteLength) {
				used++;
			} else {
				this.pieces[used] = piece.subarray(partBytes);
			}
		}

		this.pieces.splice(0, used);
		this.sizeBytes -= wantedBytes;
		return taken;
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

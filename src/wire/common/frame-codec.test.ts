import {encode} from 'cbor-x';
import fc from 'fast-check';
import t from 'tap';
import {encodeFrame, FrameDecoder} from './frame-codec.js';
import type {Message} from './messages.js';

const chunk: Message = {
	type: 'chunk', dispatchId: 'd1', sequence: 0, units: 2, data: new TextEncoder().encode('teak plank'),
};

function joined(...parts: Uint8Array[]): Uint8Array {
	const result = new Uint8Array(parts.reduce((sum, part) => sum + part.byteLength, 0));
	let offset = 0;
	for (const part of parts) {
		result.set(part, offset);
		offset += part.byteLength;
	}

	return result;
}

t.test('messages are decoded as they were encoded, however the stream is split', async t => {
	const credit: Message = {type: 'credit', dispatchId: 'd1', chunks: 3};
	const bytes = joined(encodeFrame(chunk), encodeFrame(credit), encodeFrame(chunk));
	for (let size = 1; size <= bytes.byteLength; size++) {
		const decoder = FrameDecoder.create();
		const messages: Message[] = [];
		for (let at = 0; at < bytes.byteLength; at += size) {
			const read = decoder.push(bytes.slice(at, at + size));
			messages.push(...(read.ok ? read.value : []));
		}

		t.strictSame(messages.map(message => message.type), ['chunk', 'credit', 'chunk']);
	}
});

t.test('the data of two messages share no memory', async t => {
	const decoder = FrameDecoder.create();
	const read = decoder.push(joined(encodeFrame(chunk), encodeFrame(chunk)));
	const [first, second] = read.ok ? read.value : [];
	if (first.type !== 'chunk' || second.type !== 'chunk') {
		t.fail('two chunks');
		return;
	}

	first.data.fill(0);
	t.equal(new TextDecoder().decode(second.data), 'teak plank');
});

t.test('malformed frames give a typed problem', async t => {
	const tooLong = new Uint8Array([0x7F, 0xFF, 0xFF, 0xFF]);
	const notCbor = new Uint8Array([0, 0, 0, 2, 0xFF, 0xFF]);
	const empty = new Uint8Array([0, 0, 0, 0]);
	const codeOf = (bytes: Uint8Array) => {
		const read = FrameDecoder.create(1024).push(bytes);
		return read.ok ? 'none' : read.error.code;
	};

	t.equal(codeOf(tooLong), 'frameTooLarge');
	t.equal(codeOf(notCbor), 'badEncoding');
	t.equal(codeOf(empty), 'badEncoding');
	const foreign = {...chunk, type: 'nothingKnown'} as unknown as Message;
	t.equal(codeOf(encodeFrame(foreign)), 'badMessage');
	t.equal(codeOf(encodeFrame({...chunk, units: -1})), 'badMessage');
	t.equal(codeOf(encodeFrame({...chunk, extra: 1} as Message)), 'badMessage');
	t.equal(codeOf(encodeFrame(chunk).slice(0, 10)), 'none', 'an incomplete frame waits for its remainder');
	const deep = new Uint8Array(50_004).fill(0x81);
	new DataView(deep.buffer).setUint32(0, 50_000);
	const read = FrameDecoder.create().push(deep);
	t.equal(read.ok ? 'none' : read.error.code, 'badEncoding', 'nested too deeply');
	// A map with the key "type" twice: the last value applies, and it is no known message type.
	const twice = new TextEncoder().encode('....\u00A2dtypedpingdtypedxxxx');
	t.equal(codeOf(new Uint8Array([0, 0, 0, 21, 0xA2, ...twice.slice(6, 26)])), 'badMessage');
});

/** Returns a frame with a body. */
function framed(body: Uint8Array): Uint8Array {
	const frame = new Uint8Array(4 + body.byteLength);
	new DataView(frame.buffer).setUint32(0, body.byteLength);
	frame.set(body, 4);
	return frame;
}

t.test('any bytes give messages or a problem, and nothing is thrown', async t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 60}), {maxLength: 4}), pieces => {
		const decoder = FrameDecoder.create(1024);
		for (const piece of pieces) {
			decoder.push(piece);
		}
	}), {seed: 1, numRuns: 500});
	const types = ['peerBeat', 'batchWork', 'batchEnds', 'batchRelease', 'promptsSent', 'promptsPassedOn', 'fatalContents', 'hello'];
	fc.assert(fc.property(fc.constantFrom(...types), fc.dictionary(fc.string({maxLength: 12}), fc.jsonValue({maxDepth: 3})), (type, fields) => {
		const read = FrameDecoder.create().push(framed(encode({...fields, type})));
		t.notOk(read.ok && read.value.length > 0, 'random fields do not form a valid message');
	}), {seed: 2, numRuns: 500});
});

import fc from 'fast-check';
import t from 'tap';
import {ByteQueue} from './byte-queue.js';

const pieces = fc.array(fc.oneof(fc.integer({min: 0, max: 40}), fc.constantFrom(1023, 1024, 16_383, 16_384, 20_000)), {maxLength: 60}).map(sizes => {
	let next = 0;
	return sizes.map(size => Uint8Array.from({length: size}, () => next++ % 251));
});

t.test('a queue returns the bytes in the order in which they were appended, however they are taken', async () => {
	fc.assert(fc.property(pieces, fc.array(fc.double({min: 0, max: 1, noNaN: true}), {maxLength: 5}), (appended, shares) => {
		const queue = ByteQueue.create();
		const expected = appended.flatMap(piece => [...piece]);
		for (const piece of appended) {
			queue.append(piece);
		}

		const taken: number[] = [];
		for (const share of shares) {
			taken.push(...queue.take(Math.floor(queue.sizeBytes * share)));
			queue.append(Uint8Array.of(7));
			expected.push(7);
		}

		const all = [...taken, ...queue.copy()];
		if (all.length !== expected.length || all.some((byte, index) => byte !== expected[index]) || queue.sizeBytes !== all.length - taken.length) {
			throw new Error('other bytes than were appended');
		}
	}), {seed: 82, numRuns: 300});
});

// Guards against pieces that take far more memory than their bytes.
t.test('a queue holds at most twice the bytes in it, and a block', async t => {
	for (const size of [1, 16, 1000, 10_000, 16_383, 16_384]) {
		for (const other of [size, 1]) {
			const queue = ByteQueue.create();
			while (queue.sizeBytes < 1_000_000) {
				queue.append(new Uint8Array(size));
				queue.append(new Uint8Array(other));
			}

			t.ok(queue.heldBytes <= (2 * queue.sizeBytes) + 16_384, `${size} and ${other}: ${queue.heldBytes} for ${queue.sizeBytes}`);
		}
	}
});

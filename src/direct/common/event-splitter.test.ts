import t, {type Test} from 'tap';
import {EventSplitter} from './event-splitter.js';

const bytes = (text: string) => new TextEncoder().encode(text);
const textOf = (data: Uint8Array | undefined) => data && new TextDecoder().decode(data);

/* Guards against streams that never count as whole, so that they are cut at their end, because their lines do not end in line feeds alone. */
for (const [name, lineEnd] of [['line feeds', '\n'], ['carriage returns and line feeds', '\r\n'], ['carriage returns', '\r']] as const) {
	const stream = 'id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\ndata: c\n\n'.replaceAll('\n', lineEnd);
	const check = (t: Test, parts: readonly string[]) => {
		const splitter = EventSplitter.create();
		const batches = parts.map(part => splitter.push(bytes(part)));
		t.equal(batches.map(batch => textOf(batch?.data) ?? '').join(''), stream);
		t.equal(batches.reduce((sum, batch) => sum + (batch?.units ?? 0), 0), 3);
		t.notOk(splitter.hasPartialEvent);
	};

	t.test(`events whose lines end in ${name} are returned complete, wherever the bytes are split`, async t => {
		for (let cut = 1; cut < stream.length; cut++) {
			check(t, [stream.slice(0, cut), stream.slice(cut)]);
		}

		check(t, [...stream]);
	});

	t.test(`an event whose lines end in ${name} is returned with its last byte`, async t => {
		const splitter = EventSplitter.create();
		const end = stream.indexOf(`${lineEnd}${lineEnd}`) + (2 * lineEnd.length);
		t.equal(splitter.push(bytes(stream.slice(0, end - 1))), undefined);
		t.ok(splitter.hasPartialEvent);
		t.equal(textOf(splitter.push(bytes(stream.slice(end - 1, end)))?.data), stream.slice(0, end));
	});
}

t.test('an incomplete event is buffered', async t => {
	const splitter = EventSplitter.create();
	t.equal(textOf(splitter.push(bytes('id: 1\ndata: a\n\nid: 2\nda'))?.data), 'id: 1\ndata: a\n\n');
	t.ok(splitter.hasPartialEvent);
});

/* Guards against comments that count as a stream which goes on: the attempt that received them was never given up, and its server counted as alive. */
for (const [name, comment] of [
	['comments', ': still here\n\n'], ['blank lines', '\n\n'], ['fields without data', 'event: ping\nretry: 10\n\n'], ['a field that begins like data', 'database: 1\n\n'],
] as const) {
	t.test(`${name} are returned with the event that follows them, or at the end`, async t => {
		const splitter = EventSplitter.create();
		t.equal(splitter.push(bytes(comment)), undefined);
		t.equal(splitter.push(bytes(comment)), undefined);
		t.notOk(splitter.hasPartialEvent);
		t.same(splitter.push(bytes(`data: a\n\n${comment}`)), {data: bytes(`${comment}${comment}data: a\n\n`), units: 3});
		t.same(splitter.takeRest(), {data: bytes(comment), units: 1});
		t.equal(splitter.takeRest(), undefined);
		t.equal(textOf(splitter.push(bytes('data\n\n'))?.data), 'data\n\n', 'an event without a value');
	});

	t.test(`${name} without an end are a problem, those of a long wait are not`, async t => {
		const splitter = EventSplitter.create();
		for (let count = 0; count < 1000; count++) {
			splitter.push(bytes(comment));
		}

		t.equal(splitter.problem, undefined);
		for (let count = 0; count < 64 * 1024; count++) {
			splitter.push(bytes(comment));
		}

		t.ok(splitter.problem);
	});
}

/* Guards against a host that is busy for seconds with one event without an end: all of it was read again with each of its parts. */
t.test('an event without an end is a problem once it is larger than is taken, however small its parts are', async t => {
	const splitter = EventSplitter.create();
	const field = bytes('data: ');
	splitter.push(field);
	const part = bytes('x'.repeat(16));
	let sizeBytes = field.byteLength;
	while (splitter.problem === undefined && sizeBytes <= 2 * 1024 * 1024) {
		splitter.push(part);
		sizeBytes += part.byteLength;
	}

	t.ok(sizeBytes > 1024 * 1024, 'an event may have a megabyte');
	t.ok(sizeBytes < (1024 * 1024) + 64, 'and no more');
});

t.test('a long event in small parts is returned whole', async t => {
	const splitter = EventSplitter.create();
	const event = `data: ${'y'.repeat(100_000)}\n\n`;
	const taken: string[] = [];
	for (let index = 0; index < event.length; index += 7) {
		taken.push(textOf(splitter.push(bytes(event.slice(index, index + 7)))?.data) ?? '');
	}

	t.equal(taken.join(''), event);
	t.notOk(splitter.hasPartialEvent);
});

import t from 'tap';
import {EventSplitter} from './event-splitter.js';

const bytes = (text: string) => new TextEncoder().encode(text);
const textOf = (data: Uint8Array | undefined) => data && new TextDecoder().decode(data);

t.test('events are returned complete, wherever the bytes are split', async t => {
	const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';
	for (let cut = 1; cut < stream.length; cut++) {
		const splitter = EventSplitter.create();
		const batches = [splitter.push(bytes(stream.slice(0, cut))), splitter.push(bytes(stream.slice(cut)))];
		t.equal(batches.map(batch => textOf(batch?.data) ?? '').join(''), stream);
		t.equal(batches.reduce((sum, batch) => sum + (batch?.units ?? 0), 0), 3);
		t.notOk(splitter.hasPartialEvent);
	}
});

t.test('an incomplete event is buffered', async t => {
	const splitter = EventSplitter.create();
	t.equal(textOf(splitter.push(bytes('id: 1\ndata: a\n\nid: 2\nda'))?.data), 'id: 1\ndata: a\n\n');
	t.ok(splitter.hasPartialEvent);
});

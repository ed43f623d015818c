import t from 'tap';
import {EventSplitter} from './event-splitter.js';

const bytes = (text: string) => new TextEncoder().encode(text);
const textOf = (data: Uint8Array | undefined) => data && new TextDecoder().decode(data);

t.test('events are returned complete, wherever the bytes are split', async t => {
	const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';
	for (let cut = 1; cut < stream.length; cut++) {
		const splitter = EventSplitter.create();
		const pieces = [splitter.push(bytes(stream.slice(0, cut))), splitter.push(bytes(stream.slice(cut)))];
		t.equal(pieces.map(piece => textOf(piece?.data) ?? '').join(''), stream);
		t.equal(pieces.reduce((sum, piece) => sum + (piece?.units ?? 0), 0), 3);
		t.equal(pieces.findLast(Boolean)?.lastId, '3');
		t.notOk(splitter.hasPartialEvent);
	}
});

t.test('an incomplete event is buffered', async t => {
	const splitter = EventSplitter.create();
	t.equal(textOf(splitter.push(bytes('id: 1\ndata: a\n\nid: 2\nda'))?.data), 'id: 1\ndata: a\n\n');
	t.ok(splitter.hasPartialEvent);
});

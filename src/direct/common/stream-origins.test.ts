import t from 'tap';
import {maxStreamLifeMs, StreamOrigins, streamIdOf} from './stream-origins.js';

const v1 = {pool: 'p', softwareVersion: 'v1'};
const v2 = {pool: 'p', softwareVersion: 'v2'};

t.test('a stream is remembered until its caller\'s time limit, and for a bounded time', async t => {
	const origins = StreamOrigins.create();
	origins.record('a', {origin: v1, source: 'h', lifeMs: 100}, 0);
	origins.record('b', {origin: v1, source: 'h', lifeMs: Infinity}, 0);
	t.match(origins.get('a', 99), {origin: v1, source: 'h'});
	t.equal(origins.get('a', 100), undefined);
	t.ok(origins.get('b', maxStreamLifeMs - 1));
	t.equal(origins.get('b', maxStreamLifeMs), undefined);
	t.equal(origins.get('c', 0), undefined);
});

/*
Guards against a stream that is continued at the wrong software version because another request had the same id.
*/
t.test('a stream that is reported with two origins has none, in any order and however often they are reported', async t => {
	for (const reports of [[v1, v2], [v2, v1], [v1, v1, v2, v1], [v1, {...v1, pool: 'q'}, v1]]) {
		const origins = StreamOrigins.create();
		for (const origin of reports) {
			origins.record('a', {origin, source: 'h', lifeMs: 100}, 0);
		}

		t.equal(origins.get('a', 1)?.origin, undefined);
		t.ok(origins.get('a', 1), 'it is known that it has none');
	}

	const origins = StreamOrigins.create();
	origins.record('a', {origin: v1, source: 'h', lifeMs: 100}, 0);
	origins.record('a', {origin: v1, source: 'g', lifeMs: 100}, 0);
	t.same(origins.get('a', 1)?.origin, v1, 'equal reports agree');
});

t.test('the number of remembered streams is bounded; the oldest are dropped, and those that are over', async t => {
	const origins = StreamOrigins.create(10);
	for (let index = 0; index < 100; index++) {
		origins.record(`a${index}`, {origin: v1, source: 'h', lifeMs: 1000}, index);
	}

	t.equal(origins.size, 10);
	t.same(origins.all(100).map(([streamId]) => streamId), Array.from({length: 10}, (_, index) => `a${90 + index}`));
	origins.record('b', {origin: v1, source: 'h', lifeMs: 1000}, 5000);
	t.equal(origins.size, 1);
});

t.test('the id of a stream has a fixed length and differs between workspaces', async t => {
	t.equal(streamIdOf('w', 'x'.repeat(8000)).length, 16);
	t.not(streamIdOf('w', 'a'), streamIdOf('v', 'a'));
	t.not(streamIdOf('w', 'a'), streamIdOf('w', 'b'));
});

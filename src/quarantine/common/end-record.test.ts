import fc from 'fast-check';
import t from 'tap';
import {EndRecord, rememberMs, type ContentEnds} from './end-record.js';

const content = 'c'.repeat(32);
const end = (serverId: string, ageMs = 0): ContentEnds => ({contentId: content, ends: [{serverId, ageMs}], cleared: []});
const clear = (...cleared: string[]): ContentEnds => ({contentId: content, ends: [], cleared});

t.test('a crash counts once, however often it is reported, and not at all once it is cleared', async t => {
	const record = EndRecord.create(3);
	t.ok(record.merge(end('a'), 0));
	t.equal(record.merge(end('a'), 5), undefined);
	record.merge(end('b'), 5);
	t.equal(record.countOf(content, 5), 2);
	record.merge(clear('a', 'late'), 6);
	t.equal(record.merge(end('late'), 7), undefined, 'reported after it was cleared');
	t.equal(record.countOf(content, 7), 1);
});

t.test('hosts that receive the same updates agree, in whatever order and however often they receive them', async () => {
	const news = fc.array(fc.oneof(fc.constantFrom('a', 'b', 'c', 'd').map(id => end(id)), fc.constantFrom('a', 'b', 'c', 'd').map(id => clear(id))), {maxLength: 12});
	fc.assert(fc.property(news.chain(told => fc.tuple(fc.constant(told), fc.shuffledSubarray([...told, ...told], {minLength: told.length * 2}))), ([told, again]) => {
		const [left, right] = [EndRecord.create(3), EndRecord.create(3)];
		for (const item of told) {
			left.merge(item, 0);
		}

		for (const item of again) {
			right.merge(item, 0);
		}

		// A host that receives the full record of another one at once agrees too.
		const late = EndRecord.create(3);
		for (const item of left.all(0)) {
			late.merge(item, 0);
		}

		const counts = [left, right, late].map(record => record.countOf(content, 0));
		return new Set(counts).size === 1;
	}), {seed: 1, numRuns: 500});
});

t.test('a crash is dropped after its retention time, also by a host that received it late', async t => {
	const record = EndRecord.create(3);
	record.merge(end('a'), 0);
	t.equal(record.countOf(content, rememberMs - 1), 1);
	const late = EndRecord.create(3);
	for (const item of record.all(rememberMs - 10)) {
		late.merge(item, rememberMs - 10);
	}

	t.equal(late.countOf(content, rememberMs - 1), 1);
	t.equal(late.countOf(content, rememberMs), 0);
	t.same(record.all(rememberMs), []);
});

t.test('many new contents do not evict those that are barred', async t => {
	const record = EndRecord.create(3);
	for (const serverId of ['a', 'b', 'c']) {
		record.merge(end(serverId), 0);
	}

	for (let index = 0; index < 12_000; index++) {
		record.merge({contentId: String(index).padStart(32, '0'), ends: [{serverId: 's', ageMs: 0}], cleared: []}, 1);
	}

	t.equal(record.size, 10_000);
	t.equal(record.countOf(content, 1), 3);
});

t.test('a barred content may be tried once after a minute, then after twice as long each time', async t => {
	const record = EndRecord.create(3);
	for (const serverId of ['a', 'b', 'c']) {
		record.merge(end(serverId), 1000);
	}

	t.equal(record.barredUntilMs(content, 1000), 61_000);
	const news = record.trial(content, 61_000);
	t.match(news, {trials: {count: 1}});
	t.equal(record.barredUntilMs(content, 61_000), 61_000 + 120_000, 'it is barred again at once');
	const peer = EndRecord.create(3);
	for (const item of record.all(62_000)) {
		peer.merge(item, 62_000);
	}

	t.equal(peer.barredUntilMs(content, 62_000), 181_000, 'a peer knows of the trial request');
	t.equal(record.trial('d'.repeat(32), 62_000), undefined, 'a content that is not barred needs none');
	record.merge(end('d'), 181_000);
	t.equal(record.barredUntilMs(content, 181_000), 301_000, 'the crash caused by the trial request does not double the time again');
	record.merge(end('e'), 301_000);
	t.equal(record.barredUntilMs(content, 301_000), 301_000 + 240_000);
	record.merge(clear('a', 'b', 'c', 'd', 'e'), 302_000);
	t.equal(record.barredUntilMs(content, 302_000), -Infinity);
});

import fc from 'fast-check';
import t from 'tap';
import {CrashRecord, retentionMs, type ContentCrashes} from './crash-record.js';

const content = 'c'.repeat(32);
const crashOf = (serverId: string, ageMs = 0): ContentCrashes => ({contentId: content, ends: [{serverId, ageMs}], cleared: []});
const clear = (...cleared: string[]): ContentCrashes => ({contentId: content, ends: [], cleared});

t.test('a crash counts once, however often it is reported, and not at all once it is cleared', async t => {
	const record = CrashRecord.create(3);
	t.ok(record.merge(crashOf('a'), 0));
	t.equal(record.merge(crashOf('a'), 5), undefined);
	record.merge(crashOf('b'), 5);
	t.equal(record.crashCountOf(content, 5), 2);
	record.merge(clear('a', 'late'), 6);
	t.equal(record.merge(crashOf('late'), 7), undefined, 'reported after it was cleared');
	t.equal(record.crashCountOf(content, 7), 1);
});

t.test('hosts that receive the same updates agree, in whatever order and however often they receive them', async () => {
	const updates = fc.array(fc.oneof(fc.constantFrom('a', 'b', 'c', 'd').map(id => crashOf(id)), fc.constantFrom('a', 'b', 'c', 'd').map(id => clear(id))), {maxLength: 12});
	fc.assert(fc.property(updates.chain(sent => fc.tuple(fc.constant(sent), fc.shuffledSubarray([...sent, ...sent], {minLength: sent.length * 2}))), ([sent, resent]) => {
		const [left, right] = [CrashRecord.create(3), CrashRecord.create(3)];
		for (const item of sent) {
			left.merge(item, 0);
		}

		for (const item of resent) {
			right.merge(item, 0);
		}

		// A host that receives another host's full record in one exchange agrees too.
		const late = CrashRecord.create(3);
		for (const item of left.all(0)) {
			late.merge(item, 0);
		}

		const counts = [left, right, late].map(record => record.crashCountOf(content, 0));
		return new Set(counts).size === 1;
	}), {seed: 1, numRuns: 500});
});

t.test('a crash is dropped after its retention time, also by a host that received it late', async t => {
	const record = CrashRecord.create(3);
	record.merge(crashOf('a'), 0);
	t.equal(record.crashCountOf(content, retentionMs - 1), 1);
	const late = CrashRecord.create(3);
	for (const item of record.all(retentionMs - 10)) {
		late.merge(item, retentionMs - 10);
	}

	t.equal(late.crashCountOf(content, retentionMs - 1), 1);
	t.equal(late.crashCountOf(content, retentionMs), 0);
	t.same(record.all(retentionMs), []);
});

t.test('many new contents do not evict those that are barred', async t => {
	const record = CrashRecord.create(3);
	for (const serverId of ['a', 'b', 'c']) {
		record.merge(crashOf(serverId), 0);
	}

	for (let index = 0; index < 12_000; index++) {
		record.merge({contentId: String(index).padStart(32, '0'), ends: [{serverId: 's', ageMs: 0}], cleared: []}, 1);
	}

	t.equal(record.size, 10_000);
	t.equal(record.crashCountOf(content, 1), 3);
});

t.test('a barred content may be tried once after a minute, then after twice as long each time', async t => {
	const record = CrashRecord.create(3);
	for (const serverId of ['a', 'b', 'c']) {
		record.merge(crashOf(serverId), 1000);
	}

	t.equal(record.barredUntilMs(content, 1000), 61_000);
	const update = record.recordTrial(content, 61_000);
	t.match(update, {trials: {count: 1}});
	t.equal(record.barredUntilMs(content, 61_000), 61_000 + 120_000, 'it is barred again at once');
	const peer = CrashRecord.create(3);
	for (const item of record.all(62_000)) {
		peer.merge(item, 62_000);
	}

	t.equal(peer.barredUntilMs(content, 62_000), 181_000, 'a peer has recorded the trial request');
	t.equal(record.recordTrial('d'.repeat(32), 62_000), undefined, 'a content that is not barred needs no trial request');
	record.merge(crashOf('d'), 181_000);
	t.equal(record.barredUntilMs(content, 181_000), 301_000, 'the crash caused by the trial request does not double the time again');
	record.merge(crashOf('e'), 301_000);
	t.equal(record.barredUntilMs(content, 301_000), 301_000 + 240_000);
	record.merge(clear('a', 'b', 'c', 'd', 'e'), 302_000);
	t.equal(record.barredUntilMs(content, 302_000), -Infinity);
});

import t from 'tap';
import {Emitter} from '../../base/common/emitter.js';
import type {ServerChange} from './server-change.js';
import {historyMs, VersionHistory} from './version-history.js';

/** A history whose time and list the test controls. */
class HistoryHarness {
	nowMs = 0;
	isListCurrent = true;
	readonly history: VersionHistory;
	private readonly changes = Emitter.create<ServerChange>();

	constructor() {
		this.history = VersionHistory.create({registry: {onDidChange: this.changes.event}, nowMs: () => this.nowMs, isListCurrent: () => this.isListCurrent});
	}

	fire(serverId: string, softwareVersion: string | undefined, change: ServerChange['change'] = 'joined'): void {
		this.changes.fire({
			server: {
				serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
				...(softwareVersion !== undefined && {softwareVersion}),
			}, change,
		});
	}
}

/*
Guards against a stream that is resumed at another software version because the one that began it is gone: its caller does not name the
request that began the stream, or no host remembers it.
*/
t.test('a pool has a sole version only if there was no other for the whole time', async t => {
	const harness = new HistoryHarness();
	t.equal(harness.history.soleVersion('p', 0), undefined, 'nothing was observed yet');
	harness.fire('a', 'v1');
	t.equal(harness.history.soleVersion('p', 10_000), undefined, 'it was not observed for so long');
	harness.nowMs = 10_000;
	t.equal(harness.history.soleVersion('p', 10_000), 'v1');
	t.equal(harness.history.soleVersion('q', 10_000), undefined, 'a pool without servers has none');
	harness.fire('b', 'v2');
	t.equal(harness.history.soleVersion('p', 0), undefined, 'two are listed');
	harness.fire('a', 'v1', 'leaving');
	t.equal(harness.history.soleVersion('p', 0), undefined, 'one that leaves still counts');
	harness.nowMs = 20_000;
	harness.fire('a', 'v1', 'gone');
	harness.nowMs = 25_000;
	t.equal(harness.history.soleVersion('p', 5000), undefined, 'it was listed within this time');
	t.equal(harness.history.soleVersion('p', 4999), 'v2');
	harness.isListCurrent = false;
	t.equal(harness.history.soleVersion('p', 4999), undefined, 'others may know a newer list');
});

t.test('a version that is not known is never the sole one, and another one beside it neither', async t => {
	const harness = new HistoryHarness();
	harness.fire('a', undefined);
	harness.nowMs = 10_000;
	t.equal(harness.history.soleVersion('p', 1000), undefined);
	harness.fire('b', 'v1');
	t.equal(harness.history.soleVersion('p', 1000), undefined);
});

t.test('a host that has started learns the past from others', async t => {
	const harness = new HistoryHarness();
	harness.fire('a', 'v1');
	harness.nowMs = 30_000;
	harness.fire('b', 'v2');
	harness.fire('a', 'v1', 'gone');
	harness.nowMs = 40_000;
	const fresh = new HistoryHarness();
	fresh.nowMs = 500;
	fresh.fire('b', 'v2');
	fresh.nowMs = 1000;
	t.equal(fresh.history.soleVersion('p', 5000), undefined);
	fresh.history.handlePeerReport(harness.history.report()!);
	t.equal(fresh.history.soleVersion('p', 9999), 'v2');
	t.equal(fresh.history.soleVersion('p', 10_000), undefined, 'the other version was listed then');
	harness.isListCurrent = false;
	t.equal(harness.history.report(), undefined, 'a host with an outdated list reports none');
});

t.test('a host that starts together with the whole system knows that there was no earlier version', async t => {
	const harness = new HistoryHarness();
	harness.history.handleFirstStart();
	t.equal(harness.history.soleVersion('p', historyMs), undefined, 'nothing was observed yet');
	harness.fire('a', 'v1');
	t.equal(harness.history.soleVersion('p', historyMs), 'v1');
	t.match(harness.history.report(), {observedForMs: historyMs}, 'and tells others');
	harness.fire('b', 'v2');
	t.equal(harness.history.soleVersion('p', historyMs), undefined);
});

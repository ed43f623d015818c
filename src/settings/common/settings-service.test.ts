import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {MemoryObjects} from '../../standins/common/memory-objects.js';
import {MemoryTable} from '../../standins/common/memory-table.js';
import {StoredSettingsService} from './settings-service.js';
import {SettingsStore} from './settings-store.js';

function setUp() {
	const table = MemoryTable.create();
	const objects = MemoryObjects.create();
	const createHost = () => StoredSettingsService.create(SettingsStore.create(table, objects), ManualClock.create());
	return {table, objects, createHost};
}

const createChangeRequest = (number: number, baseRevision: number) => ({changeId: `c${number}`, reason: '', edits: [{path: '/', baseRevision, after: {deadlineMs: 1000 + number}}]});

t.test('a malformed row, such as one from a newer version of the program, keeps a host at the previous revision, and the host can try again', async t => {
	const {table, createHost} = setUp();
	const host = createHost();
	await host.change(createChangeRequest(1, 0), 'a');
	await table.transact({conditions: [], writes: [{key: 'settings/head', value: '2'}, {key: 'settings/change/000000000002', value: '{"revision": 2, "novelty": true'}]});
	const other = createHost();
	t.match(await other.refresh(), {ok: false, error: {code: 'storeUnavailable'}});
	t.equal(other.tree.revision, 1);
	t.match(await other.refresh(), {ok: false}, 'the refresh can be retried');
});

t.test('a host that is far behind starts from a snapshot and applies the changes after it', async t => {
	const {table, createHost} = setUp();
	const host = createHost();
	for (let number = 1; number <= 300; number++) {
		await host.change(createChangeRequest(number, number - 1), 'a');
	}

	const newHost = createHost();
	const {readCount} = table;
	t.match(await newHost.refresh(), {ok: true, value: 300});
	t.match(newHost.tree.policyAt('/'), {deadlineMs: 1300});
	t.ok(table.readCount - readCount < 10, `${table.readCount - readCount} reads`);
});

t.test('a peer that is slightly behind gets changes, one that is far behind gets a snapshot', async t => {
	const {createHost} = setUp();
	const host = createHost();
	for (let number = 1; number <= 3; number++) {
		await host.change(createChangeRequest(number, number - 1), 'a');
	}

	t.equal(host.createReply(1).changes?.length, 2);
	const starting = createHost();
	await starting.refresh();
	t.equal(host.createReply(5).changes?.length, 0);
	const emptyHost = setUp().createHost();
	emptyHost.applyReply(host.createReply(0));
	t.equal(emptyHost.tree.revision, 3);
	emptyHost.applyReply(createHost().createReply(0));
	t.equal(emptyHost.tree.revision, 3, 'a reply from a peer without settings removes nothing');
});

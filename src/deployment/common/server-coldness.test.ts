import t from 'tap';
import {ServerColdness} from './server-coldness.js';
import type {ListedServer} from './upstream-server.js';

const entry = (revision: number, coldLeftMs?: number): ListedServer => ({
	serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false, revision, ...(coldLeftMs !== undefined && {coldLeftMs}),
});

t.test('an entry says how it is, but for one written before its hall was given back', async t => {
	const coldness = ServerColdness.create();
	t.ok(coldness.read(entry(1, 3000), 0));
	t.notOk(coldness.read(entry(2, 2000), 1000), 'it was cold before');
	t.equal(coldness.leftMs('s', 1000), 2000);
	t.notOk(coldness.read(entry(3), 1500));
	t.equal(coldness.leftMs('s', 1500), 0);
	t.ok(coldness.suspect('s', 3000, 10, 2000));
	coldness.read(entry(9), 2500);
	t.equal(coldness.leftMs('s', 2500), 2500);
	coldness.read(entry(11), 2600);
	t.equal(coldness.leftMs('s', 2600), 0);
});

/* Found by reading: a hall that was given back made its coldest servers warm too early. */
t.test('a server of a hall that was given back is cold for no less time than its entry told', async t => {
	const coldness = ServerColdness.create();
	coldness.read(entry(1, 60_000), 0);
	t.notOk(coldness.suspect('s', 3000, 10, 1000));
	t.equal(coldness.leftMs('s', 1000), 59_000);
});

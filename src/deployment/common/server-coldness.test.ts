import t from 'tap';
import {ServerColdness} from './server-coldness.js';
import type {ListedServer} from './upstream-server.js';

const entry = (revision: number, coldLeftMs?: number): ListedServer => ({
	serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false, revision, ...(coldLeftMs !== undefined && {coldLeftMs}),
});

t.test('an entry determines whether its server is cold, unless it was written before the drain of its hall ended', async t => {
	const coldness = ServerColdness.create();
	t.ok(coldness.applyEntry(entry(1, 3000), 0));
	t.notOk(coldness.applyEntry(entry(2, 2000), 1000), 'it was cold before');
	t.equal(coldness.remainingMs('s', 1000), 2000);
	t.notOk(coldness.applyEntry(entry(3), 1500));
	t.equal(coldness.remainingMs('s', 1500), 0);
	t.ok(coldness.assumeCold('s', 3000, 10, 2000));
	coldness.applyEntry(entry(9), 2500);
	t.equal(coldness.remainingMs('s', 2500), 2500);
	coldness.applyEntry(entry(11), 2600);
	t.equal(coldness.remainingMs('s', 2600), 0);
});

/* Guards against the end of a hall's drain shortening the cold time of servers whose entries state a longer one. */
t.test('a server of a hall whose drain has ended is cold for at least as long as its entry stated', async t => {
	const coldness = ServerColdness.create();
	coldness.applyEntry(entry(1, 60_000), 0);
	t.notOk(coldness.assumeCold('s', 3000, 10, 1000));
	t.equal(coldness.remainingMs('s', 1000), 59_000);
});

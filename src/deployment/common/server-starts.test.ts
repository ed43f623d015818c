import t from 'tap';
import {ServerStarts} from './server-starts.js';
import type {UpstreamServer} from './upstream-server.js';

const startOf = (instanceId: string, startedMs: number): UpstreamServer => ({
	serverId: `${instanceId}@${startedMs}`, instanceId, startedMs, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
});

t.test('starts that are gone are evicted beyond a bound, listed ones never', async t => {
	const starts = ServerStarts.create(serverId => serverId === 'listed@1');
	starts.remember(startOf('listed', 1));
	starts.remember(startOf('gone', 1));
	for (let index = 0; index < 10_000; index++) {
		starts.remember(startOf(`s${index}`, 1));
	}

	t.equal(starts.latest('gone'), undefined);
	t.equal(starts.latestId('gone'), 'gone');
	t.equal(starts.latestId('listed'), 'listed@1');
	t.equal(starts.latest('s9999')?.startedMs, 1);
});

import t from 'tap';
import {subsetOf} from './subset.js';

const hosts = (count: number) => Array.from({length: count}, (_, number) => ({hostId: `host-${number}`}));

t.test('a small pool is returned completely', async t => {
	t.equal(subsetOf(hosts(13), 5, 24).length, 13);
});

t.test('upstreams are in about the same number of slices', async t => {
	const counts = new Map<string, number>();
	for (let position = 0; position < 370; position++) {
		const slice = subsetOf(hosts(730), position, 40);
		t.equal(new Set(slice.map(host => host.hostId)).size, 40);
		for (const {hostId} of slice) {
			counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
		}
	}

	const values = [...counts.values()];
	t.equal(counts.size, 730);
	t.ok(Math.max(...values) <= 2 * Math.min(...values), `${Math.min(...values)} to ${Math.max(...values)}`);
});

t.test('removing a host changes few other assignments', async t => {
	const before = new Set(subsetOf(hosts(730), 7, 40).map(host => host.hostId));
	const after = subsetOf(hosts(730).filter(host => host.hostId !== 'host-99'), 7, 40);
	t.ok(after.filter(host => !before.has(host.hostId)).length <= 2);
});

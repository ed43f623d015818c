import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {lapseGraceMs, ServerRegistry} from './server-registry.js';
import type {UpstreamServer} from './upstream-server.js';

function server(serverId: string, isLeaving = false): UpstreamServer {
	return {
		serverId, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving,
	};
}

const usable = (registry: ServerRegistry) => registry.usable('p').map(({serverId}) => serverId).toSorted();

function withTwo(): ServerRegistry {
	const registry = ServerRegistry.create(silentLoggers.for('test'));
	registry.replaceAll({revision: 5, servers: [server('a'), server('b')]}, 0);
	return registry;
}

t.test('a server that leaves stays leaving, whatever an older entry says', async t => {
	const registry = withTwo();
	registry.applyChanges([server('a', true)], [], 6, 0);
	t.same(usable(registry), ['b']);
	registry.applyChanges([server('a')], [], 7, 0);
	t.same(usable(registry), ['b']);
	t.ok(registry.get('a'), 'it still finishes what it has');
});

t.test('a dropped entry is a server gone', async t => {
	const registry = withTwo();
	registry.applyChanges([], ['a'], 6, 0);
	t.same(usable(registry), ['b']);
	t.equal(registry.get('a'), undefined);
});

t.test('entries that lapsed while the store was away have a while to come back', async t => {
	const registry = withTwo();
	registry.storeReturned(1000);
	registry.replaceAll({revision: 9, servers: []}, 1010);
	t.same(usable(registry), ['a', 'b']);
	registry.applyChanges([server('a')], [], 10, 2000);
	registry.tick(1000 + lapseGraceMs);
	t.same(usable(registry), ['a']);
});

t.test('a list older than the one known is not taken', async t => {
	const registry = withTwo();
	t.equal(registry.replaceAll({revision: 4, servers: []}, 0), false);
	t.same(usable(registry), ['a', 'b']);
});

t.test('a server whose address answers as another one never comes back', async t => {
	const registry = withTwo();
	registry.addressTaken('a');
	registry.applyChanges([server('a')], [], 6, 0);
	t.same(usable(registry), ['b']);
});

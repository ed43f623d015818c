import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {LeavingServers} from '../../deployment/common/leaving-servers.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import {LeavingNews} from './leaving-news.js';

function makeHost() {
	const leaving = LeavingServers.create(silentLoggers.for('test'));
	const mesh = MeshStandin.create();
	LeavingNews.create({leaving, mesh});
	return {leaving, mesh};
}

t.test('what a server says to one host is known to all, and is not told on', async t => {
	const teller = makeHost();
	const hearer = makeHost();
	teller.leaving.handleServerReport({serverId: 's', pool: 'p'});
	t.same(teller.mesh.sent, [{to: 'all', message: {type: 'leavingServers', serverIds: ['s']}}]);
	hearer.mesh.receive('teller', teller.mesh.sent[0].message);
	t.ok(hearer.leaving.has('s'));
	t.same(hearer.mesh.sent, []);
});

t.test('a host that connects is told all that is known, and nothing where nothing is', async t => {
	const serverIds = Array.from({length: 1200}, (_, index) => `s${index}`);
	const some = makeHost();
	some.leaving.handlePeerReport(serverIds, 'peer');
	some.mesh.connect('new');
	t.same(some.mesh.sent, [{to: 'new', message: {type: 'leavingServers', serverIds: serverIds.slice(200)}}], 'the latest, where they are too many');
	const nothing = makeHost();
	nothing.mesh.connect('new');
	t.same(nothing.mesh.sent, []);
});

import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {LeavingServers} from '../../deployment/common/leaving-servers.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import {LeavingServerUpdates} from './leaving-server-updates.js';

function makeHost() {
	const leaving = LeavingServers.create(silentLoggers.for('test'));
	const mesh = MeshStandin.create();
	LeavingServerUpdates.create({leaving, mesh});
	return {leaving, mesh};
}

t.test('what a server announces to one host is sent to all others, which do not forward it', async t => {
	const sender = makeHost();
	const receiver = makeHost();
	sender.leaving.handleServerReport({serverId: 's', pool: 'p'});
	t.same(sender.mesh.sent, [{to: 'all', message: {type: 'leavingServers', serverIds: ['s']}}]);
	receiver.mesh.receive('teller', sender.mesh.sent[0].message);
	t.ok(receiver.leaving.has('s'));
	t.same(receiver.mesh.sent, []);
});

t.test('a host that connects is sent everything that is known, and nothing if nothing is known', async t => {
	const serverIds = Array.from({length: 1200}, (_, index) => `s${index}`);
	const informed = makeHost();
	informed.leaving.handlePeerReport(serverIds, 'peer');
	informed.mesh.connect('new');
	t.same(informed.mesh.sent, [{to: 'new', message: {type: 'leavingServers', serverIds: serverIds.slice(200)}}], 'the latest ones, if there are too many');
	const uninformed = makeHost();
	uninformed.mesh.connect('new');
	t.same(uninformed.mesh.sent, []);
});

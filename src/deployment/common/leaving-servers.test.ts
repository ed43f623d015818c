import t from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {LeavingServers} from './leaving-servers.js';

function makeLeaving() {
	const leaving = LeavingServers.create(silentLoggers.for('test'));
	const reported: string[] = [];
	const observed: string[] = [];
	leaving.onDidServerReport(serverId => {
		reported.push(serverId);
	});
	leaving.onDidObserve(serverId => {
		observed.push(serverId);
	});
	return {leaving, reported, observed};
}

t.test('a server is recorded once; only a report that it made to this host first is passed on to peers', async t => {
	const {leaving, reported, observed} = makeLeaving();
	leaving.handleServerReport({serverId: 'a', pool: 'p'});
	leaving.handleServerReport({serverId: 'a', pool: 'p'});
	leaving.handlePeerReport(['a', 'b'], 'peer');
	leaving.handleServerReport({serverId: 'b', pool: 'p'});
	t.same(reported, ['a']);
	t.same(observed, ['a', 'b']);
	t.ok(leaving.has('b'));
	t.notOk(leaving.has('c'));
});

t.test('the number of remembered servers is bounded; the oldest is evicted', async t => {
	const {leaving} = makeLeaving();
	leaving.handlePeerReport(Array.from({length: 2001}, (_, index) => `s${index}`), 'peer');
	t.equal(leaving.all.length, 2000);
	t.notOk(leaving.has('s0'));
	t.ok(leaving.has('s2000'));
});

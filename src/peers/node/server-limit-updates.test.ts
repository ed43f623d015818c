import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import type {LimitUpdate as Update} from '../../deployment/common/server-limits.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import {ServerLimitUpdates} from './server-limit-updates.js';

function makeUpdates(known: Update[] = []) {
	const observed = Emitter.create<Update>();
	const reported: Update[] = [];
	const mesh = MeshStandin.create();
	ServerLimitUpdates.create({
		limits: {
			onDidObserve: observed.event,
			handlePeerReport(updates) {
				reported.push(...updates);
			},
			all: () => known,
		},
		mesh,
		clock: ManualClock.create(),
	});
	return {observed, reported, mesh};
}

t.test('observed limits are sent to all peers, and are applied as they were sent', async t => {
	const {observed, reported, mesh} = makeUpdates();
	const updates: Update[] = [{serverId: 's', perS: 0.5, namedAgoMs: 0}, {
		serverId: 's', perS: 0.5, namedAgoMs: 700, endedAgoMs: 20,
	}];
	for (const each of updates) {
		observed.fire(each);
	}

	for (const {to, message} of mesh.sent) {
		t.equal(to, 'all');
		mesh.receive('peer', message);
	}

	t.same(reported, updates);
});

t.test('a host that connects is sent everything that is known, and nothing if nothing is known', async t => {
	const limits: Update[] = Array.from({length: 1200}, (_, index) => ({serverId: `s${index}`, perS: 1, namedAgoMs: 5}));
	const informed = makeUpdates(limits);
	informed.mesh.connect('new');
	t.same(informed.mesh.sent, [{to: 'new', message: {type: 'serverLimits', limits: limits.slice(200)}}], 'the latest ones, if there are too many');
	const uninformed = makeUpdates();
	uninformed.mesh.connect('new');
	t.same(uninformed.mesh.sent, []);
});

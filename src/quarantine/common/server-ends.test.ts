import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {goneReasons, type GoneReason, type ServerChange} from '../../deployment/common/server-change.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {addressStates, ServerEnds, type AddressState} from './server-ends.js';

const server: UpstreamServer = {
	serverId: 's@1', instanceId: 's', startedMs: 1, pool: 'p', address: '127.0.0.1', port: 1, hall: 'h', slots: 1, isLeaving: false,
};

function makeWatch(listed: UpstreamServer | undefined = server) {
	const clock = ManualClock.create();
	const changes = Emitter.create<ServerChange>();
	const state = {address: addressStates.open as AddressState, checks: 0};
	const watch = ServerEnds.create({
		registry: {get: () => listed, isMissing: () => false, onDidChange: changes.event},
		check: {
			async tryOnce() {
				state.checks++;
				return state.address;
			},
		},
		clock,
	});
	const ended: string[] = [];
	watch.onDidEnd(serverId => {
		ended.push(serverId);
	});
	const pass = async (byMs: number) => {
		clock.advance(byMs);
		// The result of the check arrives in a later turn of the event loop.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	};

	const tell = (change: ServerChange['change'], reason?: GoneReason) => {
		changes.fire({server, change, ...(reason && {reason})});
	};

	return {
		watch, state, ended, pass, tell,
	};
}

t.test('a lost connection proves nothing about a server that still listens', async t => {
	const {watch, state, ended, pass} = makeWatch();
	watch.brokeOff(server);
	t.ok(watch.isBeingChecked('s@1'));
	await pass(30);
	t.notOk(watch.isBeingChecked('s@1'), 'requests wait no longer');
	await pass(10_000);
	t.same(ended, []);
	t.equal(state.checks, 1);
});

t.test('an address that does not respond proves nothing, and is checked a second time', async t => {
	const {watch, state, ended, pass} = makeWatch();
	state.address = addressStates.silent;
	watch.brokeOff(server);
	await pass(30);
	t.ok(watch.isBeingChecked('s@1'));
	await pass(200);
	t.notOk(watch.isBeingChecked('s@1'));
	t.same(ended, []);
	t.equal(state.checks, 2);
});

t.test('a server whose address refuses connections has crashed; many lost connections cause one check', async t => {
	const {watch, state, ended, pass} = makeWatch();
	state.address = addressStates.refused;
	for (let index = 0; index < 20; index++) {
		watch.brokeOff(server);
	}

	await pass(30);
	t.same(ended, ['s@1']);
	t.equal(state.checks, 1);
});

t.test('a connection lost later causes a new check, and calls lost earlier are not blamed for its result', async t => {
	const {watch, state, ended, pass} = makeWatch();
	const settled: string[] = [];
	watch.onDidSettle(serverId => {
		settled.push(serverId);
	});
	watch.brokeOff(server);
	await pass(30);
	await pass(200);
	state.address = addressStates.refused;
	watch.brokeOff(server);
	t.same(settled, ['s@1']);
	await pass(30);
	t.same(ended, ['s@1']);
});

t.test('the registry proves a crash that the address does not show: the server has restarted already, or its entry expired', async t => {
	for (const reason of [goneReasons.startedAgain, goneReasons.dropped, goneReasons.addressTaken]) {
		const {watch, ended, pass, tell} = makeWatch();
		watch.brokeOff(server);
		await pass(3000);
		tell('gone', reason);
		t.same(ended, ['s@1'], reason);
	}
});

t.test('a server that leaves, or disappears while the store is unavailable, was not crashed by a call', async t => {
	for (const [change, reason] of [['leaving', undefined], ['missing', undefined], ['gone', goneReasons.lapsed], ['gone', goneReasons.unreadable]] as const) {
		const {watch, state, ended, pass, tell} = makeWatch();
		watch.brokeOff(server);
		tell(change, reason);
		state.address = addressStates.refused;
		await pass(10_000);
		t.same(ended, [], reason ?? change);
	}

	const leaving = makeWatch({...server, isLeaving: true});
	t.notOk(leaving.watch.brokeOff(server));
});

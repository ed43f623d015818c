import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {ResultReleases} from './result-releases.js';

const server: UpstreamServer = {
	serverId: 's', instanceId: 's', startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
};

function makeReleases() {
	const clock = ManualClock.create();
	const state = {isListed: true, isDrained: false, maySend: true};
	const sent: string[][] = [];
	const gone: string[][] = [];
	const releases = ResultReleases.create({
		registry: {get: () => state.isListed ? server : undefined, acceptsNewWork: () => !state.isDrained},
		resultTtlMs: () => 4000,
		maySend: () => state.maySend,
		async send(_, handles) {
			sent.push([...handles]);
		},
		onUpstreamGone(_, handles) {
			gone.push([...handles]);
		},
		clock,
	});
	return {
		clock, state, sent, gone, add(...handles: string[]) {
			releases.add(handles.map(handle => ({handle, serverId: server.serverId})));
		},
	};
}

t.test('releases are collected for a short time and sent together', async t => {
	const {clock, sent, add} = makeReleases();
	add('a', 'b');
	add('c');
	t.same(sent, []);
	clock.advance(30);
	t.same(sent, [['a', 'b', 'c']]);
	clock.advance(1000);
	t.equal(sent.length, 1);
});

t.test('releases that may not be sent yet are sent later, or not at all once the upstream has dropped the results itself', async t => {
	const {clock, state, sent, add} = makeReleases();
	state.maySend = false;
	add('a');
	clock.advance(1000);
	add('b');
	t.same(sent, []);
	state.maySend = true;
	clock.advance(250);
	t.same(sent, [['a', 'b']]);
	state.maySend = false;
	add('c');
	clock.advance(4500);
	state.maySend = true;
	clock.advance(1000);
	t.equal(sent.length, 1);
});

t.test('nothing is sent to a drained data hall or to an upstream that is gone', async t => {
	const {clock, state, sent, gone, add} = makeReleases();
	state.isDrained = true;
	add('a');
	clock.advance(30);
	state.isListed = false;
	add('b');
	clock.advance(30);
	t.same(sent, []);
	t.same(gone, [['b']]);
});

/**
Guards against an endless loop. A release that finds all connections to its upstream in use is queued again at once; if
the loop over the queue reaches it again, it never ends. A host that batched a pool stopped responding for good
during a burst, and everything its peers had submitted to it was late (180 late requests instead of 24).
*/
t.test('a release that can\'t be sent immediately is queued again for the next time', async t => {
	const clock = ManualClock.create();
	let tries = 0;
	const releases: ResultReleases = ResultReleases.create({
		registry: {get: () => server, acceptsNewWork: () => true},
		resultTtlMs: () => 4000,
		maySend: () => true,
		async send(_, handles) {
			tries++;
			// An endless loop would block the test's own timeout.
			if (tries > 100) {
				throw new Error('the release was sent again within the same loop');
			}

			if (tries <= 2) {
				releases.add(handles.map(handle => ({handle, serverId: server.serverId})));
			}
		},
		onUpstreamGone: () => undefined,
		clock,
	});
	releases.add([{handle: 'a', serverId: server.serverId}]);
	clock.advance(30);
	t.equal(tries, 1);
	clock.advance(30);
	t.equal(tries, 2);
	clock.advance(300);
	t.equal(tries, 3);
	clock.advance(1000);
	t.equal(tries, 3);
});

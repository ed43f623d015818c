import t from 'tap';
import {Emitter} from '../../base/common/emitter.js';
import type {ServerChange} from '../../deployment/common/server-change.js';
import type {ServerLimit} from '../../deployment/common/server-limits.js';
import {SendBounds} from './send-bounds.js';
import {SendShare} from './send-share.js';

const server = {serverId: 's', pool: 'p', hall: 'a'};
const anyWork = {isSoleSender: false};

function makeBounds(hosts = ['a'], own = 'a') {
	const state = {
		coldLeftMs: 0, isDrained: false, limit: undefined as ServerLimit | undefined, isSettled: true, backoffMs: 0,
	};
	const changed = Emitter.create<ServerChange>();
	const bounds = SendBounds.create({
		registry: {remainingColdMs: () => state.coldLeftMs, acceptsNewWork: () => !state.isDrained, onDidChange: changed.event},
		limits: {limitOf: () => state.limit, forget: () => undefined},
		backoffs: {remainingMs: () => state.backoffMs, forget: () => undefined},
		share: SendShare.create(() => ({
			ownName: own, hosts, isSettled: state.isSettled, unseenSeedCount: 0,
		})),
		cold: {excess: 1.5, tolerance: 5},
		toleratedPerS: () => 4,
	});
	return {
		state,
		bounds,
		left: (nowMs: number) => bounds.allowance(server, anyWork, nowMs).remaining,
		sendAll(nowMs: number) {
			while (bounds.maySend(server, anyWork, nowMs)) {
				bounds.sent(server, nowMs);
			}
		},
	};
}

t.test('a server gets the minimum of its bounds; a server in a drained data hall gets nothing', async t => {
	const {state, bounds, left, sendAll} = makeBounds();
	t.equal(left(0), Infinity);
	bounds.sent(server, 0);
	state.coldLeftMs = 900;
	t.equal(left(0), 5, 'half of the bound of a cold server');
	state.limit = {perS: 1, sinceAnnouncedMs: 0};
	t.equal(left(0), 1, 'one per second');
	t.equal(bounds.allowance(server, anyWork, 0).perS, 1);
	sendAll(0);
	state.coldLeftMs = 0;
	t.equal(left(999), 0, 'warm, but limited');
	t.equal(left(4000), 1);
	state.isDrained = true;
	t.equal(left(4000), 0);
});

t.test('a server in backoff gets no requests, not even trials of its limit; the retry delay is the remaining backoff', async t => {
	const {state, bounds, left} = makeBounds();
	state.backoffMs = 700;
	t.equal(left(0), 0);
	t.equal(bounds.retryAfterMs([server], 0), 700);
	state.limit = {perS: 1, sinceAnnouncedMs: 60_000};
	t.equal(left(60_000), 0);
	t.equal(bounds.allowance(server, {isSoleSender: true}, 60_000).remaining, 0);
	state.backoffMs = 0;
	t.ok(left(60_000) > 0);
});

t.test('the retry delay ends when the next send is allowed, or once a server is warm', async t => {
	const {state, bounds, sendAll} = makeBounds();
	state.coldLeftMs = 900;
	sendAll(0);
	t.equal(bounds.retryAfterMs([server], 0), 900);
	const limited = makeBounds();
	limited.state.limit = {perS: 1, sinceAnnouncedMs: 0};
	limited.sendAll(0);
	t.equal(limited.bounds.retryAfterMs([server], 400), 600);
	t.equal(limited.bounds.retryAfterMs([server], 990), 300, 'not below the minimum delay');
});

t.test('a limit that is no longer announced is tried by one host after the other', async t => {
	const hosts = Array.from({length: 8}, (_, index) => `h${index}`);
	const trialMs = hosts.map(own => {
		const {state, left} = makeBounds(hosts, own);
		// A host that does not know whether any other host still sends.
		state.isSettled = false;
		let sinceAnnouncedMs = 0;
		do {
			sinceAnnouncedMs += 100;
			state.limit = {perS: 1, sinceAnnouncedMs};
		} while (left(sinceAnnouncedMs) === 0);

		return sinceAnnouncedMs;
	}).toSorted((one, other) => one - other);
	t.same(trialMs, hosts.map((_, index) => 15_000 + (index * 1000)));
});

t.test('an unanswered trial is not repeated immediately', async t => {
	const {state, bounds, left} = makeBounds();
	state.isSettled = false;
	state.limit = {perS: 1, sinceAnnouncedMs: 20_000};
	t.equal(left(20_000), 1);
	bounds.sent(server, 20_000);
	t.equal(left(20_000), 0);
	t.equal(left(34_900), 0);
	t.equal(left(35_000), 1);
});

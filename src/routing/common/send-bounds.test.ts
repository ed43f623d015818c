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
		coldLeftMs: 0, isDrained: false, limit: undefined as ServerLimit | undefined, isSettled: true, restMs: 0,
	};
	const changed = Emitter.create<ServerChange>();
	const bounds = SendBounds.create({
		registry: {remainingColdMs: () => state.coldLeftMs, acceptsNewWork: () => !state.isDrained, onDidChange: changed.event},
		limits: {limitOf: () => state.limit, forget: () => undefined},
		rests: {remainingMs: () => state.restMs, forget: () => undefined},
		share: SendShare.create(() => ({own, hosts, isSettled: state.isSettled})),
		cold: {excess: 1.5, tolerance: 5},
		bearsPerS: () => 4,
	});
	return {
		state,
		bounds,
		left: (nowMs: number) => bounds.allowance(server, anyWork, nowMs).left,
		sendAll(nowMs: number) {
			while (bounds.mayGet(server, anyWork, nowMs)) {
				bounds.sent(server, nowMs);
			}
		},
	};
}

t.test('a server gets what each of its bounds allows; one in a drained hall gets nothing', async t => {
	const {state, bounds, left, sendAll} = makeBounds();
	t.equal(left(0), Infinity);
	bounds.sent(server, 0);
	state.coldLeftMs = 900;
	t.equal(left(0), 5, 'half of what a cold one bears');
	state.limit = {perS: 1, sinceAnnouncedMs: 0};
	t.equal(left(0), 1, 'one a second');
	t.equal(bounds.allowance(server, anyWork, 0).perS, 1);
	sendAll(0);
	state.coldLeftMs = 0;
	t.equal(left(999), 0, 'warm, but limited');
	t.equal(left(4000), 1);
	state.isDrained = true;
	t.equal(left(4000), 0);
});

t.test('a server that rests gets nothing of any kind, trials of its limit included; who can\'t be served is told when it is over', async t => {
	const {state, bounds, left} = makeBounds();
	state.restMs = 700;
	t.equal(left(0), 0);
	t.equal(bounds.retryAfterMs([server], 0), 700);
	state.limit = {perS: 1, sinceAnnouncedMs: 60_000};
	t.equal(left(60_000), 0);
	t.equal(bounds.allowance(server, {isSoleSender: true}, 60_000).left, 0);
	state.restMs = 0;
	t.ok(left(60_000) > 0);
});

t.test('who can\'t be served is told when there is room: at the next send, or once a server is warm', async t => {
	const {state, bounds, sendAll} = makeBounds();
	state.coldLeftMs = 900;
	sendAll(0);
	t.equal(bounds.retryAfterMs([server], 0), 900);
	const limited = makeBounds();
	limited.state.limit = {perS: 1, sinceAnnouncedMs: 0};
	limited.sendAll(0);
	t.equal(limited.bounds.retryAfterMs([server], 400), 600);
	t.equal(limited.bounds.retryAfterMs([server], 990), 300, 'no sooner than it could be of use');
});

t.test('a limit that nobody repeats is looked at by one host after the other', async t => {
	const hosts = Array.from({length: 8}, (_, index) => `h${index}`);
	const trialMs = hosts.map(own => {
		const {state, left} = makeBounds(hosts, own);
		// A host that knows of nobody whether the others still send.
		state.isSettled = false;
		let quietMs = 0;
		do {
			quietMs += 100;
			state.limit = {perS: 1, sinceAnnouncedMs: quietMs};
		} while (left(quietMs) === 0);

		return quietMs;
	}).toSorted((one, other) => one - other);
	t.same(trialMs, hosts.map((_, index) => 15_000 + (index * 1000)));
});

t.test('a trial that is not answered is not made again at once', async t => {
	const {state, bounds, left} = makeBounds();
	state.isSettled = false;
	state.limit = {perS: 1, sinceAnnouncedMs: 20_000};
	t.equal(left(20_000), 1);
	bounds.sent(server, 20_000);
	t.equal(left(20_000), 0);
	t.equal(left(34_900), 0);
	t.equal(left(35_000), 1);
});

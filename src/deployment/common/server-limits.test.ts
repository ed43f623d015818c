import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {ServerLimits, type LimitUpdate, type LimitReading} from './server-limits.js';

const server = {serverId: 's@1', pool: 'p'};
const announced = (perS: number): LimitReading => ({kind: 'named', perS});
const none: LimitReading = {kind: 'none'};
/** Time after which the end of a limit of at least one request per second has taken effect on every host. */
const maxEndDelayMs = 4000;

function makeLimits(seed = 1) {
	const clock = ManualClock.create();
	clock.advance(100_000);
	const limits = ServerLimits.create({random: SeededRandom.create(seed), log: silentLoggers.for('test'), metrics: noMetrics});
	const reported: LimitUpdate[] = [];
	limits.onDidObserve(update => {
		reported.push(update);
	});
	return {
		clock,
		limits,
		reported,
		respond(reading: LimitReading, sentAgoMs = 0) {
			limits.handleResponse(server, reading, clock.nowMs() - sentAgoMs, clock.nowMs());
		},
		perS: () => limits.limitOf(server.serverId, clock.nowMs())?.perS,
		receive(update: Partial<LimitUpdate>) {
			limits.handlePeerReport([{
				serverId: server.serverId, perS: 1, namedAgoMs: 0, ...update,
			}], 'peer', clock.nowMs());
		},
	};
}

t.test('a limit is in force from its first announcement for as long as it is announced; changes are reported to peers', async t => {
	const {clock, respond, perS, reported} = makeLimits();
	t.equal(perS(), undefined);
	respond(announced(2));
	t.equal(perS(), 2);
	clock.advance(100);
	respond(announced(2));
	t.equal(reported.length, 1, 'nothing has changed');
	clock.advance(150);
	respond(announced(0.5));
	t.equal(perS(), 0.5);
	t.match(reported.at(-1), {serverId: 's@1', perS: 0.5, namedAgoMs: 0});
	clock.advance(5000);
	respond(announced(0.5));
	t.equal(reported.length, 3, 'a limit that is still in force is reported again at intervals');
	clock.advance(60_000);
	t.equal(perS(), 0.5, 'no response has ended it');
});

t.test('a response without a limit ends it only if its call was sent after the last response with one; the end takes effect after a delay', async t => {
	const {clock, respond, perS, reported} = makeLimits();
	respond(announced(1));
	clock.advance(50);
	respond(none, 80);
	clock.advance(maxEndDelayMs);
	t.equal(perS(), 1, 'the calls overlapped');
	respond(none);
	t.match(reported.at(-1), {endedAgoMs: 0, namedAgoMs: maxEndDelayMs + 50});
	clock.advance(1999);
	t.equal(perS(), 1);
	clock.advance(2002);
	t.equal(perS(), undefined);
});

t.test('a limit that is announced again before its end takes effect stays in force', async t => {
	const {clock, respond, perS} = makeLimits();
	respond(announced(1));
	clock.advance(10);
	respond(none);
	clock.advance(500);
	respond(announced(1));
	clock.advance(60_000);
	t.equal(perS(), 1);
});

t.test('hosts end a limit at different times, and a low limit later', async t => {
	const endOf = (seed: number, limitPerS: number) => {
		const {clock, respond, perS} = makeLimits(seed);
		respond(announced(limitPerS));
		clock.advance(10);
		respond(none);
		const startMs = clock.nowMs();
		while (perS() !== undefined) {
			clock.advance(10);
		}

		return clock.nowMs() - startMs;
	};

	const ends = Array.from({length: 10}, (_, seed) => endOf(seed, 1));
	t.ok(Math.min(...ends) >= 2000);
	t.ok(Math.max(...ends) - Math.min(...ends) >= 1000, String(ends));
	t.ok(endOf(1, 0.25) >= 8000);
	t.ok(endOf(1, 0) <= 20_000, 'a limit of zero ends as well');
});

t.test('reports of peers count by their stated age: an end is ignored if the limit was announced later, and a limit if it ended later', async t => {
	const {clock, respond, receive, perS, reported} = makeLimits();
	receive({perS: 3, namedAgoMs: 200});
	t.equal(perS(), 3);
	t.equal(reported.length, 0, 'the report of a peer is not passed on');
	receive({perS: 7, namedAgoMs: 900});
	t.equal(perS(), 3, 'an older report');
	receive({endedAgoMs: 300});
	clock.advance(maxEndDelayMs);
	t.equal(perS(), 3, 'announced since');
	clock.advance(10);
	respond(none);
	receive({perS: 3, namedAgoMs: 20});
	clock.advance(maxEndDelayMs);
	t.equal(perS(), undefined, 'announced before it ended');
});

t.test('an end that a peer reports takes effect unless the limit is announced meanwhile', async t => {
	const {clock, respond, receive, perS} = makeLimits();
	respond(announced(1));
	clock.advance(1000);
	receive({endedAgoMs: 5});
	clock.advance(100);
	respond(announced(1));
	clock.advance(60_000);
	t.equal(perS(), 1);
	receive({endedAgoMs: 5});
	clock.advance(maxEndDelayMs);
	t.equal(perS(), undefined);
});

t.test('a server that is gone has no limit; a later start of it has its own', async t => {
	const {clock, limits, respond, perS} = makeLimits();
	respond(announced(1));
	limits.forget(server.serverId);
	t.equal(perS(), undefined);
	t.same(limits.all(clock.nowMs()), []);
});

t.test('known limits age while the host is suspended', async t => {
	const {clock, limits, respond} = makeLimits();
	respond(announced(1));
	clock.suspend(9000);
	t.same(limits.all(clock.nowMs()), [{serverId: 's@1', perS: 1, namedAgoMs: 9000}]);
});

t.test('limits that can\'t be parsed and those of other servers change nothing; the number of limits is bounded', async t => {
	const {clock, limits, respond, perS} = makeLimits();
	respond(announced(1));
	clock.advance(10);
	respond({kind: 'unreadable', text: 'x'.repeat(5000)});
	respond({kind: 'silent'});
	clock.advance(maxEndDelayMs * 5);
	t.equal(perS(), 1);
	for (let index = 0; index < 5000; index++) {
		limits.handlePeerReport([{serverId: `t${index}`, perS: 1, namedAgoMs: 0}], 'peer', clock.nowMs());
		limits.handleResponse({serverId: `u${index}`, pool: 'p'}, {kind: 'unreadable', text: '-'}, 0, clock.nowMs());
	}

	t.equal(limits.all(clock.nowMs()).length, 2000);
});

/**
Guards against a flood of messages and log lines: if a server announces a different limit in each response, or a limit only in every other response,
the changes must not all be reported to all peers and logged.
*/
t.test('a limit that changes with each response is reported a few times per second, and its latest state reaches the peers', async t => {
	for (const limitOf of [(index: number) => 100 + (index / 1000), (index: number) => index % 2 === 0 ? 100 : undefined]) {
		const {clock, respond, perS, reported} = makeLimits();
		for (let index = 0; index < 1000; index++) {
			const limitPerS = limitOf(index);
			respond(limitPerS === undefined ? none : announced(limitPerS));
			clock.advance(1);
		}

		t.ok(reported.length <= 5, `${reported.length} reports in a second`);
		clock.advance(500);
		respond(announced(7));
		t.equal(perS(), 7);
		t.match(reported.at(-1), {perS: 7});
		t.equal(reported.at(-1)!.endedAgoMs, undefined);
		clock.advance(10);
		respond(none);
		clock.advance(500);
		respond(none);
		t.not(reported.at(-1)!.endedAgoMs, undefined, 'the end is reported as well');
	}
});

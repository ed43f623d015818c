import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {ServerLimits, type LimitNews, type LimitReading} from './server-limits.js';

const server = {serverId: 's@1', pool: 'p'};
const named = (perS: number): LimitReading => ({kind: 'named', perS});
const none: LimitReading = {kind: 'none'};
/** An end takes effect on every host after this. */
const endedMs = 4000;

function makeLimits(seed = 1) {
	const clock = ManualClock.create();
	clock.advance(100_000);
	const limits = ServerLimits.create({random: SeededRandom.create(seed), log: silentLoggers.for('test'), metrics: noMetrics});
	const told: LimitNews[] = [];
	limits.onDidLearn(news => {
		told.push(news);
	});
	return {
		clock,
		limits,
		told,
		answered(reading: LimitReading, sentAgoMs = 0) {
			limits.answered(server, reading, clock.nowMs() - sentAgoMs, clock.nowMs());
		},
		perS: () => limits.limitOf(server.serverId, clock.nowMs())?.perS,
		hear(news: Partial<LimitNews>) {
			limits.hear([{
				serverId: server.serverId, perS: 1, namedAgoMs: 0, ...news,
			}], 'peer', clock.nowMs());
		},
	};
}

t.test('a limit is in force once it is named, for as long as it is named; peers hear of what changes', async t => {
	const {clock, answered, perS, told} = makeLimits();
	t.equal(perS(), undefined);
	answered(named(2));
	t.equal(perS(), 2);
	clock.advance(100);
	answered(named(2));
	t.equal(told.length, 1, 'nothing new');
	clock.advance(150);
	answered(named(0.5));
	t.equal(perS(), 0.5);
	t.match(told.at(-1), {serverId: 's@1', perS: 0.5, namedAgoMs: 0});
	clock.advance(5000);
	answered(named(0.5));
	t.equal(told.length, 3, 'that it still holds is told now and then');
	clock.advance(60_000);
	t.equal(perS(), 0.5, 'nobody says otherwise');
});

t.test('an answer without a limit ends it only if its call was sent after the last answer with one; the end takes a while', async t => {
	const {clock, answered, perS, told} = makeLimits();
	answered(named(1));
	clock.advance(50);
	answered(none, 80);
	clock.advance(endedMs);
	t.equal(perS(), 1, 'the answers crossed');
	answered(none);
	t.match(told.at(-1), {endedAgoMs: 0, namedAgoMs: endedMs + 50});
	clock.advance(1999);
	t.equal(perS(), 1);
	clock.advance(2002);
	t.equal(perS(), undefined);
});

t.test('a limit that is named again before its end takes effect goes on', async t => {
	const {clock, answered, perS} = makeLimits();
	answered(named(1));
	clock.advance(10);
	answered(none);
	clock.advance(500);
	answered(named(1));
	clock.advance(60_000);
	t.equal(perS(), 1);
});

t.test('hosts end a limit one after the other, and a slow one later', async t => {
	const endOf = (seed: number, limitPerS: number) => {
		const {clock, answered, perS} = makeLimits(seed);
		answered(named(limitPerS));
		clock.advance(10);
		answered(none);
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
	t.ok(endOf(1, 0) <= 20_000, 'one that takes nothing ends as well');
});

t.test('what peers tell is as old as they say: an end that was overtaken is none, and so is a limit that has ended since', async t => {
	const {clock, answered, hear, perS, told} = makeLimits();
	hear({perS: 3, namedAgoMs: 200});
	t.equal(perS(), 3);
	t.equal(told.length, 0, 'it is not told on');
	hear({perS: 7, namedAgoMs: 900});
	t.equal(perS(), 3, 'an older word');
	hear({endedAgoMs: 300});
	clock.advance(endedMs);
	t.equal(perS(), 3, 'named since');
	clock.advance(10);
	answered(none);
	hear({perS: 3, namedAgoMs: 20});
	clock.advance(endedMs);
	t.equal(perS(), undefined, 'named before it ended');
});

t.test('an end that a peer tells takes effect, but for a word with a limit that comes meanwhile', async t => {
	const {clock, answered, hear, perS} = makeLimits();
	answered(named(1));
	clock.advance(1000);
	hear({endedAgoMs: 5});
	clock.advance(100);
	answered(named(1));
	clock.advance(60_000);
	t.equal(perS(), 1);
	hear({endedAgoMs: 5});
	clock.advance(endedMs);
	t.equal(perS(), undefined);
});

t.test('a server that is gone has no limit; a later start of it has its own', async t => {
	const {clock, limits, answered, perS} = makeLimits();
	answered(named(1));
	limits.forget(server.serverId);
	t.equal(perS(), undefined);
	t.same(limits.all(clock.nowMs()), []);
});

t.test('a sleep ages what is known', async t => {
	const {clock, limits, answered} = makeLimits();
	answered(named(1));
	clock.suspend(9000);
	t.same(limits.all(clock.nowMs()), [{serverId: 's@1', perS: 1, namedAgoMs: 9000}]);
});

t.test('limits that can\'t be read, and those of other servers, change nothing; thousands of limits are bounded', async t => {
	const {clock, limits, answered, perS} = makeLimits();
	answered(named(1));
	clock.advance(10);
	answered({kind: 'unreadable', text: 'x'.repeat(5000)});
	answered({kind: 'silent'});
	clock.advance(endedMs * 5);
	t.equal(perS(), 1);
	for (let index = 0; index < 5000; index++) {
		limits.hear([{serverId: `t${index}`, perS: 1, namedAgoMs: 0}], 'peer', clock.nowMs());
		limits.answered({serverId: `u${index}`, pool: 'p'}, {kind: 'unreadable', text: '-'}, 0, clock.nowMs());
	}

	t.equal(limits.all(clock.nowMs()).length, 2000);
});

/**
Found by reading: a server that names another limit in each answer, or names one in every other answer, had each of them told to all peers
and written to the log.
*/
t.test('a limit that changes with each answer is told a few times a second, and the last word reaches the peers', async t => {
	for (const limitOf of [(index: number) => 100 + (index / 1000), (index: number) => index % 2 === 0 ? 100 : undefined]) {
		const {clock, answered, perS, told} = makeLimits();
		for (let index = 0; index < 1000; index++) {
			const limitPerS = limitOf(index);
			answered(limitPerS === undefined ? none : named(limitPerS));
			clock.advance(1);
		}

		t.ok(told.length <= 5, `${told.length} in a second`);
		clock.advance(500);
		answered(named(7));
		t.equal(perS(), 7);
		t.match(told.at(-1), {perS: 7});
		t.equal(told.at(-1)!.endedAgoMs, undefined);
		clock.advance(10);
		answered(none);
		clock.advance(500);
		answered(none);
		t.not(told.at(-1)!.endedAgoMs, undefined, 'the end as well');
	}
});

import {setImmediate as turn, setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {SeededRandom} from '../../base/common/random.js';
import {SystemClock} from '../../base/node/system-clock.js';
import type {FeedCall, FeedChanges, FeedFailure} from '../common/feed.js';
import {FeedFollower, type FeedFollowerOptions} from './feed-follower.js';

/** A call that the store holds for longer than the test lasts. */
function neverEnding(): {readonly promise: Promise<never>} {
	return {
		promise: new Promise(() => {
			// It ends with the test.
		}),
	};
}

/** A follower of a source, with what a test needs otherwise. */
function makeFollower(options: Pick<FeedFollowerOptions<string>, 'source' | 'clock'> & Partial<FeedFollowerOptions<string>>): FeedFollower<string> {
	return FeedFollower.create<string>({
		name: 'test',
		random: SeededRandom.create(1),
		log: silentLoggers.for('test'),
		replaceAll: () => true,
		apply: () => undefined,
		lost: () => undefined,
		returned: () => undefined,
		holdMs: () => 1000,
		mayRest: () => false,
		isTold: () => false,
		...options,
	});
}

t.test('a follower rests once it has read everything, and reads everything again when it must', async t => {
	const clock = ManualClock.create();
	const calls: string[] = [];
	let isResting = true;
	const {promise: never} = neverEnding();
	const follower = makeFollower({
		source: {
			async readAll() {
				calls.push('all');
				return ok({
					changed: [], dropped: [], unreadable: [], revision: 7,
				});
			},
			async readChanges(revision) {
				calls.push(`since ${revision}`);
				return never;
			},
		},
		clock,
		mayRest: () => isResting,
	});
	follower.start();
	await turn();
	t.same(calls, ['all']);
	t.equal(follower.isResting, true);
	t.equal(follower.ageMs, undefined, 'others must not rely on a host that rests');
	clock.advance(1000);
	await turn();
	t.same(calls, ['all'], 'nothing is asked meanwhile');
	isResting = false;
	clock.advance(1000);
	await turn();
	t.same(calls, ['all', 'all', 'since 7']);
	clock.advance(40);
	t.equal(follower.ageMs, 40);
	follower.dispose();
});

/** Follows a source whose calls are answered by hand; tells what was asked and what was made of it. */
function followByHand(clock: ManualClock) {
	const events: string[] = [];
	const answers: Array<(answer: Outcome<FeedChanges<string>, FeedFailure>) => void> = [];
	const follower = makeFollower({
		source: {
			async readAll() {
				return ok({
					changed: [], dropped: [], unreadable: [], revision: 7,
				});
			},
			async readChanges(revision, waitMs) {
				events.push(`since ${revision} for ${waitMs} ms`);
				return new Promise(resolve => {
					answers.push(resolve);
				});
			},
		},
		clock,
		lost() {
			events.push('lost');
		},
		returned() {
			events.push('returned');
		},
	});
	follower.start();
	return {
		follower,
		events,
		async answer(outcome: Outcome<FeedChanges<string>, FeedFailure>, pauseMs = 1000) {
			answers.shift()!(outcome);
			await turn();
			clock.advance(pauseMs);
			await turn();
		},
	};
}

const noAnswer = fail<FeedFailure>({code: 'away', message: 'no answer'});
const nothingNew = ok<FeedChanges<string>>({
	changed: [], dropped: [], unreadable: [], revision: 7,
});

/*
Seen: a host that had been cut off for three seconds knew only two seconds after the cut's end that the store was there
again, and for how long missing entries may come back was counted from then on: beyond what a leaving server may get.
Cause: the first call after the cut was held by the store like any other, until something changed.
Proof: the host's log lists the store's return at the moment of the first change, 0.9 s after the cut, and of the other
feed, where nothing changed, 4.4 s after it.
*/
t.test('the store does not hold the call that asks whether it is back', async t => {
	const {follower, events, answer} = followByHand(ManualClock.create());
	await turn();
	await answer(noAnswer);
	await answer(noAnswer);
	t.equal(events.at(-1), 'since 7 for 0 ms');
	await answer(nothingNew);
	t.same(events.slice(-2), ['returned', 'since 7 for 1000 ms']);
	follower.dispose();
});

/*
Seen: open connections fell silent while new ones worked; hosts took that for an outage of the store, and what was no
longer listed for entries that lapsed in it.
Cause: one call without an answer counted as the store's absence, though its connection may be all that was lost.
Proof: this test; in the logs the call after it is answered within milliseconds.
*/
t.test('one call without an answer is made again at once, and is no outage of the store', async t => {
	const clock = ManualClock.create();
	const {follower, events, answer} = followByHand(clock);
	await turn();
	await answer(noAnswer, 0);
	t.equal(events.length, 2);
	t.equal(events.includes('lost'), false);
	t.equal(follower.isCurrent, false, 'meanwhile peers may know more');
	await answer(nothingNew);
	t.equal(events.includes('returned'), false);
	t.equal(follower.isCurrent, true);
	await answer(noAnswer);
	await answer(noAnswer);
	t.equal(events.filter(event => event === 'lost').length, 1);
	follower.dispose();
});

/*
Seen: requests and steps reached servers seconds after the store had told that these leave.
How it came about: all open connections of a host fell silent, and the call that the store held on one of them got no
answer. The host never made another: it learned of no server any more, until it was started again.
Cause: the call's time limit was a timeout signal that only a combined signal knew. The runtime drops such a signal with
the next garbage collection, and the limit with it.
Proof: with a collection during the held call the limit never comes; without one it does.
*/
t.test('a held call without an answer is given up, also after garbage was collected', async t => {
	setFlagsFromString('--expose-gc');
	/** Many times the limit of the call: without it the test would never end. */
	const mostTurns = 2000;
	const collectGarbage = runInNewContext('gc') as () => void;
	const held: AbortSignal[] = [];
	const follower = makeFollower({
		source: {
			async readAll() {
				return ok({
					changed: [], dropped: [], unreadable: [], revision: 7,
				});
			},
			async readChanges(_revision, _waitMs, {signal}) {
				held.push(signal);
				return new Promise(resolve => {
					signal.addEventListener('abort', () => {
						resolve(fail({code: 'away', message: 'given up'}));
					}, {once: true});
				});
			},
		},
		clock: SystemClock.create(),
		holdMs: () => 1,
	});
	follower.start();
	t.teardown(() => {
		follower.dispose();
	});
	while (held.length === 0) {
		await sleep(1);
	}

	collectGarbage();
	for (let turns = 0; turns < mostTurns && held.length < 2; turns++) {
		await sleep(5);
	}

	t.equal(held[0].aborted, true);
});

/*
Seen: hosts with thin links gave up their reading of a large declaration again and again, and logged for 12 s that the
store did not answer, though it did.
How it came about: 1.4 MB take 1.6 s on 7 Mbit/s; the host gave the whole answer 0.7 s, and began anew each time.
Cause: the limit was over the whole transfer; only silence tells that nothing will come.
Proof: the readings of hosts with roomy links were answered in 0.16 s at the same time.
*/
t.test('an answer that comes in parts is not given up while they come', async t => {
	const clock = ManualClock.create();
	const changes = ok<FeedChanges<string>>({
		changed: [], dropped: [], unreadable: [], revision: 7,
	});
	const taken: number[] = [];
	let call: FeedCall | undefined;
	let end: (answer: typeof changes) => void = () => undefined;
	const follower = makeFollower({
		source: {
			async readAll(reading) {
				call ??= reading;
				return new Promise(resolve => {
					end = resolve;
				});
			},
			async readChanges() {
				return neverEnding().promise;
			},
		},
		clock,
		replaceAll({revision}) {
			taken.push(revision);
			return true;
		},
	});
	follower.start();
	for (let part = 0; part < 4; part++) {
		clock.advance(600);
		call!.heard();
	}

	t.equal(call!.signal.aborted, false, '2.4 s after the call began');
	end(changes);
	await turn();
	t.same(taken, [7]);
	follower.dispose();
});

t.test('an answer that stops in its midst is given up', async t => {
	const clock = ManualClock.create();
	let call: FeedCall | undefined;
	const follower = makeFollower({
		source: {
			async readAll(reading) {
				call ??= reading;
				return neverEnding().promise;
			},
			async readChanges() {
				return neverEnding().promise;
			},
		},
		clock,
	});
	follower.start();
	clock.advance(100);
	call!.heard();
	clock.advance(1000);
	t.equal(call!.signal.aborted, true);
	follower.dispose();
});

/*
Found by reading, in looking for what else fills thin links: a host that starts reads all of the declaration, 1.4 MB for 4,249
routes, 1.6 s of a link of 7 Mbit/s, though peers tell it in 62 KB a moment later and read for it from then on.
*/
t.test('a reading of everything is ended once peers have told it and read for this host', async t => {
	const clock = ManualClock.create();
	const calls: FeedCall[] = [];
	const events: string[] = [];
	let isTold = false;
	const follower = makeFollower({
		source: {
			async readAll(call) {
				calls.push(call);
				return new Promise(resolve => {
					call.signal.addEventListener('abort', () => {
						resolve(fail({code: 'away', message: 'given up'}));
					}, {once: true});
				});
			},
			async readChanges() {
				return neverEnding().promise;
			},
		},
		clock,
		isTold: () => isTold,
		mayRest: () => true,
		lost() {
			events.push('lost');
		},
	});
	follower.start();
	/** Parts come all the while: it is not for silence that the reading ends. */
	const pass = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
			clock.advance(100);
			calls[0].heard();
			await turn();
		}
	};

	await pass(500);
	t.equal(calls[0].signal.aborted, false, 'nobody has told anything yet');
	isTold = true;
	await pass(500);
	t.equal(calls[0].signal.aborted, true);
	t.equal(follower.isResting, true);
	t.equal(calls.length, 1);
	t.same(events, [], 'the store is not taken for away');
	follower.dispose();
});

t.test('a host that wakes asks the store anew at once: its connections may have died while it slept', async t => {
	const clock = ManualClock.create();
	const calls: string[] = [];
	const follower = makeFollower({
		source: {
			async readAll() {
				return ok({
					changed: [], dropped: [], unreadable: [], revision: 7,
				});
			},
			async readChanges(_revision, waitMs, {signal}) {
				calls.push(`held for ${waitMs}`);
				return new Promise(resolve => {
					signal.addEventListener('abort', () => {
						resolve(fail({code: 'away', message: 'given up'}));
					});
				});
			},
		},
		clock,
	});
	follower.start();
	await turn();
	t.same(calls, ['held for 1000']);
	clock.suspend(300);
	await turn();
	t.same(calls, ['held for 1000', 'held for 0'], 'also after a sleep shorter than a call is held');
	t.notOk(follower.isCurrent);
	follower.dispose();
});

import {setImmediate as turn, setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {fail, ok} from '../../base/common/outcome.js';
import {SeededRandom} from '../../base/common/random.js';
import {SystemClock} from '../../base/node/system-clock.js';
import {FeedFollower} from './feed-follower.js';

/** A call that the store holds for longer than the test lasts. */
function neverEnding(): {readonly promise: Promise<never>} {
	return {
		promise: new Promise(() => {
			// It ends with the test.
		}),
	};
}

t.test('a follower rests once it has read everything, and reads everything again when it must', async t => {
	const clock = ManualClock.create();
	const calls: string[] = [];
	let isResting = true;
	const {promise: never} = neverEnding();
	const follower = FeedFollower.create<string>({
		name: 'test',
		source: {
			async readAll() {
				calls.push('all');
				return ok({changed: [], dropped: [], revision: 7});
			},
			async readChanges(revision) {
				calls.push(`since ${revision}`);
				return never;
			},
		},
		clock,
		random: SeededRandom.create(1),
		log: silentLoggers.for('test'),
		replaceAll: () => true,
		apply: () => undefined,
		lost: () => undefined,
		returned: () => undefined,
		holdMs: () => 1000,
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
	const follower = FeedFollower.create<string>({
		name: 'test',
		source: {
			async readAll() {
				return ok({changed: [], dropped: [], revision: 7});
			},
			async readChanges(_revision, _waitMs, signal) {
				held.push(signal);
				return new Promise(resolve => {
					signal.addEventListener('abort', () => {
						resolve(fail({code: 'away', message: 'given up'}));
					}, {once: true});
				});
			},
		},
		clock: SystemClock.create(),
		random: SeededRandom.create(1),
		log: silentLoggers.for('test'),
		replaceAll: () => true,
		apply: () => undefined,
		lost: () => undefined,
		returned: () => undefined,
		holdMs: () => 1,
		mayRest: () => false,
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

import {setImmediate as turn} from 'node:timers/promises';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {ok} from '../../base/common/outcome.js';
import {SeededRandom} from '../../base/common/random.js';
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
				return ok({changed: [], removedIds: [], revision: 7});
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

import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {silentLoggers} from '../../base/common/logger.js';
import {ReaderElection} from './reader-election.js';

const names = Array.from({length: 10}, (_, index) => `host-${index}`);

/** The election of one host; the other hosts are live, and those with an age read the store. */
function electionOf(hostId: string, ages: Map<string, number>, clock = ManualClock.create(), hosts = names) {
	return ReaderElection.create({
		hostId,
		capacity: 1,
		mesh: {
			get liveCapacities() {
				return new Map(hosts.filter(name => name !== hostId).map(name => [name, 1]));
			},
			storeAgesMs: ages,
		},
		actWithinMs: 3000,
		clock,
		log: silentLoggers.for('test'),
	});
}

t.test('three hosts read for all, the same for every host', async t => {
	const fresh = new Map([['x', 300], ['y', 900], ['z', 100]]);
	const readers = names.filter(name => !electionOf(name, fresh).mayStandBy());
	t.equal(readers.length, 3);
	t.ok(electionOf(readers[0], fresh).holdMs <= 900, 'and the store may hold their calls for at most half of the time for which a response is fresh');
});

t.test('in a small deployment all read', async t => {
	const few = names.slice(0, 5);
	t.ok(few.every(name => !electionOf(name, new Map([['x', 1], ['y', 1]]), ManualClock.create(), few).mayStandBy()));
	t.equal(electionOf(few[0], new Map(), ManualClock.create(), few).holdMs, 2000);
});

t.test('a host reads itself while fewer than two readers had a recent response, and for a while after', async t => {
	const clock = ManualClock.create();
	const ages = new Map([['x', 300], ['y', 300], ['z', 300]]);
	const standbyHost = names.find(name => electionOf(name, ages).mayStandBy())!;
	const election = electionOf(standbyHost, ages, clock);
	t.equal(election.mayStandBy(), true);
	ages.set('x', 1900).set('y', 1900);
	t.equal(election.mayStandBy(), false, 'two responses are old');
	ages.set('x', 100).set('y', 100);
	clock.advance(4000);
	t.equal(election.mayStandBy(), false, 'not yet: the store may be slow');
	clock.advance(1500);
	t.equal(election.mayStandBy(), true);
});

t.test('a host that has just started goes on standby as soon as it knows two readers', async t => {
	const clock = ManualClock.create();
	const ages = new Map([['x', 300], ['y', 300], ['z', 300]]);
	const standbyHost = names.find(name => electionOf(name, ages).mayStandBy())!;
	const known = new Map([['x', 300]]);
	const election = electionOf(standbyHost, known, clock);
	t.equal(election.mayStandBy(), false);
	clock.advance(200);
	known.set('y', 100);
	t.equal(election.mayStandBy(), true);
	known.delete('y');
	t.equal(election.mayStandBy(), false);
	clock.advance(200);
	known.set('y', 100);
	t.equal(election.mayStandBy(), false, 'after the first standby, a slow store must not make the host switch at each call');
});

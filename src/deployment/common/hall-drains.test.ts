import fc from 'fast-check';
import t from 'tap';
import {maxHallDrains, parseMessage, type HallDrain} from '../../wire/common/messages.js';
import {HallDrains, maxHalls} from './hall-drains.js';
import {listSources} from './list-source.js';

const drain = (hall: string, revision: number, isDrained = true): HallDrain => ({hall, isDrained, revision});

/** Updates as they may arrive: each store revision changes one hall. */
const updatesArbitrary = fc.uniqueArray(fc.record({
	hall: fc.constantFrom('a', 'b', 'c'), isDrained: fc.boolean(), revision: fc.integer({min: 1, max: 40}),
}), {selector: ({revision}) => revision, maxLength: 30});

/** The halls that are drained according to the newest update of each. */
function drainedHalls(updates: readonly HallDrain[]): string[] {
	return ['a', 'b', 'c'].filter(hall => updates.filter(each => each.hall === hall).toSorted((left, right) => right.revision - left.revision).at(0)?.isDrained === true);
}

t.test('the newest write for each hall counts, whatever the order and number of updates', async t => {
	fc.assert(fc.property(updatesArbitrary.chain(updates => fc.tuple(fc.constant(updates), fc.shuffledSubarray([...updates, ...updates], {minLength: updates.length * 2}))), ([updates, received]) => {
		const drains = HallDrains.create();
		for (const [index, each] of received.entries()) {
			drains.apply([each], index % 2 === 0 ? listSources.store : listSources.peer);
		}

		t.same(['a', 'b', 'c'].filter(hall => drains.isDrained(hall)), drainedHalls(updates));
	}), {seed: 1});
});

t.test('hosts that exchange all they know agree, whatever each received, and none returns to an older revision', async t => {
	fc.assert(fc.property(updatesArbitrary, fc.array(fc.tuple(fc.nat(3), fc.nat(3)), {maxLength: 20}), (updates, exchanges) => {
		const hosts = Array.from({length: 4}, () => HallDrains.create());
		for (const [index, each] of updates.entries()) {
			hosts[index % hosts.length].apply([each], listSources.store);
		}

		const revisionsOf = (host: HallDrains) => new Map(host.all.map(({hall, revision}) => [hall, revision]));
		for (const [from, to] of exchanges) {
			const before = revisionsOf(hosts[to]);
			hosts[to].apply(hosts[from].all, listSources.peer);
			for (const [hall, revision] of before) {
				t.ok(revisionsOf(hosts[to]).get(hall)! >= revision);
			}
		}

		for (const host of [...hosts, ...hosts]) {
			for (const other of hosts) {
				other.apply(host.all, listSources.peer);
			}
		}

		for (const host of hosts) {
			t.same(['a', 'b', 'c'].filter(hall => host.isDrained(hall)), drainedHalls(updates));
		}
	}), {seed: 2, numRuns: 50});
});

t.test('a full read ends drains that it lacks, except those that began after it', async t => {
	const drains = HallDrains.create();
	const changes: string[] = [];
	drains.onDidChange(({hall, isDrained, source}) => {
		changes.push(`${hall} ${isDrained} ${source}`);
	});
	drains.apply([drain('a', 5), drain('b', 9)], listSources.peer);
	drains.replaceAll([drain('c', 3)], 7, listSources.store);
	t.same(changes, ['a true peer', 'b true peer', 'c true store', 'a false store']);
	drains.apply([drain('a', 5)], listSources.peer);
	t.notOk(drains.isDrained('a'), 'a peer that missed the end does not restore the drain');
	t.equal(changes.length, 4, 'each change fires once');
});

t.test('halls whose drain ended are evicted beyond a bound, drained ones never', async t => {
	const drains = HallDrains.create();
	drains.apply([drain('kept', 1)], listSources.store);
	for (let index = 0; index < 2 * maxHalls; index++) {
		drains.apply([drain(`h${index}`, 2 + (2 * index)), drain(`h${index}`, 3 + (2 * index), false)], listSources.store);
	}

	t.equal(drains.all.length, maxHalls);
	t.ok(drains.isDrained('kept'));
});

/*
Guards against hosts losing their connections to each other: peers reject the entire message if it has more drains than allowed
and close its connection, so more hall rows than a deployment has halls must not produce such a message.
*/
t.test('if there are more drains than a message may hold, the newest are sent', async t => {
	const drains = HallDrains.create();
	const count = maxHallDrains + 50;
	for (let index = 1; index <= count; index++) {
		drains.apply([drain(`h${index}`, index)], listSources.store);
	}

	t.equal(drains.drainsForPeers.length, maxHallDrains);
	t.equal(drains.drainsForPeers.at(-1)?.hall, `h${count}`);
	t.equal(drains.drainsForPeers[0].hall, 'h51');
	t.ok(drains.isDrained('h1'), 'all remain in force on this host');
	const heartbeat = {
		type: 'peerBeat', endpoint: 'e', knownEndpoints: [], deploymentVersion: 1, listRevision: 1, isLeaving: false, hallDrains: drains.drainsForPeers,
	};
	t.ok('message' in parseMessage(heartbeat));
});

/*
Guards against a drain that is restored by a peer that missed its end: a host that had made a full read and knew nothing of the hall
accepted such an update, and considered the hall drained until its row was written again.
*/
t.test('a peer\'s update that is older than a full read restores no drain, neither on this host nor on others', async t => {
	const reader = HallDrains.create();
	reader.replaceAll([], 100, listSources.store);
	reader.apply([drain('a', 10)], listSources.peer);
	t.notOk(reader.isDrained('a'));
	const misled = HallDrains.create();
	misled.apply([drain('a', 10)], listSources.peer);
	t.ok(misled.isDrained('a'), 'a host that has read nothing accepts it');
	misled.apply(reader.drainsForPeers, listSources.peer);
	t.notOk(misled.isDrained('a'), 'a host that has read the store corrects it');
	reader.apply([drain('b', 101)], listSources.peer);
	t.ok(reader.isDrained('b'), 'a newer update counts');
});

t.test('a host that follows the store is as current as its last read, also for drain ends that it does not remember', async t => {
	const reader = HallDrains.create();
	reader.replaceAll([drain('a', 5)], 50, listSources.store);
	reader.apply([drain('a', 60, false)], listSources.store);
	reader.markReadUpTo(80);
	reader.apply([drain('a', 55), drain('b', 70)], listSources.peer);
	t.same(['a', 'b'].filter(hall => reader.isDrained(hall)), []);
	reader.apply([drain('b', 90)], listSources.store);
	reader.markReadUpTo(90);
	reader.apply([drain('b', 85, false)], listSources.peer);
	t.ok(reader.isDrained('b'));
});

import fc from 'fast-check';
import t from 'tap';
import {maxHallDrains, parseMessage, type HallDrain} from '../../wire/common/messages.js';
import {HallDrains, mostHalls} from './hall-drains.js';
import {listSources} from './list-source.js';

const drain = (hall: string, revision: number, isDrained = true): HallDrain => ({hall, isDrained, revision});

/** News as they may come: each writing says one thing of one hall. */
const newsArbitrary = fc.uniqueArray(fc.record({
	hall: fc.constantFrom('a', 'b', 'c'), isDrained: fc.boolean(), revision: fc.integer({min: 1, max: 40}),
}), {selector: ({revision}) => revision, maxLength: 30});

/** What the newest writing says of each hall. */
function latestOf(news: readonly HallDrain[]): string[] {
	return ['a', 'b', 'c'].filter(hall => news.filter(each => each.hall === hall).toSorted((left, right) => right.revision - left.revision).at(0)?.isDrained === true);
}

t.test('whatever order news come in, and however often, the newest writing of each hall counts', async t => {
	fc.assert(fc.property(newsArbitrary.chain(news => fc.tuple(fc.constant(news), fc.shuffledSubarray([...news, ...news], {minLength: news.length * 2}))), ([news, told]) => {
		const drains = HallDrains.create();
		for (const [index, each] of told.entries()) {
			drains.take([each], index % 2 === 0 ? listSources.store : listSources.peer);
		}

		t.same(['a', 'b', 'c'].filter(hall => drains.isDrained(hall)), latestOf(news));
	}), {seed: 1});
});

t.test('hosts that tell each other all they know agree, whoever heard what, and none goes back', async t => {
	fc.assert(fc.property(newsArbitrary, fc.array(fc.tuple(fc.nat(3), fc.nat(3)), {maxLength: 20}), (news, tellings) => {
		const hosts = Array.from({length: 4}, () => HallDrains.create());
		for (const [index, each] of news.entries()) {
			hosts[index % hosts.length].take([each], listSources.store);
		}

		const revisionsOf = (host: HallDrains) => new Map(host.all.map(({hall, revision}) => [hall, revision]));
		for (const [from, to] of tellings) {
			const before = revisionsOf(hosts[to]);
			hosts[to].take(hosts[from].all, listSources.peer);
			for (const [hall, revision] of before) {
				t.ok(revisionsOf(hosts[to]).get(hall)! >= revision);
			}
		}

		for (const host of [...hosts, ...hosts]) {
			for (const other of hosts) {
				other.take(host.all, listSources.peer);
			}
		}

		for (const host of hosts) {
			t.same(['a', 'b', 'c'].filter(hall => host.isDrained(hall)), latestOf(news));
		}
	}), {seed: 2, numRuns: 50});
});

t.test('a reading of everything ends drains that it lacks, but none that began after it', async t => {
	const drains = HallDrains.create();
	const changes: string[] = [];
	drains.onDidChange(({hall, isDrained, source}) => {
		changes.push(`${hall} ${isDrained} ${source}`);
	});
	drains.take([drain('a', 5), drain('b', 9)], listSources.peer);
	drains.replaceAll([drain('c', 3)], 7, listSources.store);
	t.same(changes, ['a true peer', 'b true peer', 'c true store', 'a false store']);
	drains.take([drain('a', 5)], listSources.peer);
	t.notOk(drains.isDrained('a'), 'a peer that missed the end brings nothing back');
	t.equal(changes.length, 4, 'what was known is told once');
});

t.test('halls whose drain ended are forgotten beyond a bound, drained ones never', async t => {
	const drains = HallDrains.create();
	drains.take([drain('kept', 1)], listSources.store);
	for (let index = 0; index < 2 * mostHalls; index++) {
		drains.take([drain(`h${index}`, 2 + (2 * index)), drain(`h${index}`, 3 + (2 * index), false)], listSources.store);
	}

	t.equal(drains.all.length, mostHalls);
	t.ok(drains.isDrained('kept'));
});

/*
Found by reading: beside a message that is longer than peers take, nothing is taken of it, and its connection is closed. More rows
of halls than a deployment has must not cut its hosts off from each other.
*/
t.test('of more drains than a message may hold the newest are told', async t => {
	const drains = HallDrains.create();
	const count = maxHallDrains + 50;
	for (let index = 1; index <= count; index++) {
		drains.take([drain(`h${index}`, index)], listSources.store);
	}

	t.equal(drains.told.length, maxHallDrains);
	t.equal(drains.told.at(-1)?.hall, `h${count}`);
	t.equal(drains.told[0].hall, 'h51');
	t.ok(drains.isDrained('h1'), 'all are in force here');
	const beat = {
		type: 'peerBeat', endpoint: 'e', knownEndpoints: [], deploymentVersion: 1, listRevision: 1, isLeaving: false, hallDrains: drains.told,
	};
	t.ok('message' in parseMessage(beat));
});

/*
Found by reading: a host that had read the whole table, and knew nothing of a hall, believed a peer that had missed the end of its drain:
the hall was taken for drained until its row was written again.
*/
t.test('what a peer tells that is older than what was read whole brings no drain back, here and at others', async t => {
	const reader = HallDrains.create();
	reader.replaceAll([], 100, listSources.store);
	reader.take([drain('a', 10)], listSources.peer);
	t.notOk(reader.isDrained('a'));
	const misled = HallDrains.create();
	misled.take([drain('a', 10)], listSources.peer);
	t.ok(misled.isDrained('a'), 'one that has read nothing can\'t know better');
	misled.take(reader.told, listSources.peer);
	t.notOk(misled.isDrained('a'), 'until one that does tells it');
	reader.take([drain('b', 101)], listSources.peer);
	t.ok(reader.isDrained('b'), 'what is newer counts');
});

t.test('a host that follows the store knows as much as its last reading, also of ends that it need not remember', async t => {
	const reader = HallDrains.create();
	reader.replaceAll([drain('a', 5)], 50, listSources.store);
	reader.take([drain('a', 60, false)], listSources.store);
	reader.readUpTo(80);
	reader.take([drain('a', 55), drain('b', 70)], listSources.peer);
	t.same(['a', 'b'].filter(hall => reader.isDrained(hall)), []);
	reader.take([drain('b', 90)], listSources.store);
	reader.readUpTo(90);
	reader.take([drain('b', 85, false)], listSources.peer);
	t.ok(reader.isDrained('b'));
});

import t, {type Test} from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import type {PeerMessage} from '../../peers/node/peer-mesh.js';
import {rendezvousOwner} from '../../routing/common/rendezvous.js';
import {parseMessage, type Message} from '../../wire/common/messages.js';
import {messageOfAsk, messageOfQuote} from '../common/quote-messages.js';
import type {PoolAsk, Quote} from '../common/quotes.js';
import type {BatchWork} from '../common/work.js';
import {AdmissionAsks} from './admission-asks.js';
import {BatchHandler, type PoolBatches} from './batch-handler.js';
import {BatchQuotes, type QuotingPool} from './batch-quotes.js';

/** What a link does with its messages: delivers them immediately, loses them, or holds them until they are released. */
const links = {up: 'up', cut: 'cut', held: 'held'} as const;
type Link = typeof links[keyof typeof links];

class Host {
	readonly receive = Emitter.create<PeerMessage>();
	readonly lose = Emitter.create<string>();
	readonly change = Emitter.create<void>();
	/** IDs of the reservations by pool, in the order of their quotes. */
	readonly reserved = new Map<string, Set<string>>();
	/** IDs of the requests that the pools were told are admitted late. */
	readonly late: string[] = [];
	/** Repeated reservations, as `pool request steps`, with `late` for requests that are admitted late. */
	readonly repeated: string[] = [];
	sweepCount = 0;
	readonly handler: BatchHandler;
	readonly asks: AdmissionAsks;

	constructor(readonly hostId: string, hosts: Hosts) {
		const {clock} = hosts;
		const mesh = {
			onDidReceive: this.receive.event,
			onDidLose: this.lose.event,
			onDidChange: this.change.event,
			get liveCapacities() {
				return new Map([...hosts.live.keys()].filter(other => other !== hostId && !hosts.leaving.has(other)).map(other => [other, 1]));
			},
			send: (to: string, message: Message) => hosts.deliver(hostId, to, message),
			broadcast: () => undefined,
		};
		this.handler = BatchHandler.create({
			hostId, capacity: 1, mesh, clock, log: silentLoggers.for('test'), isLeaving: () => hosts.leaving.has(hostId), makePool: pool => this.makePool(pool),
		});
		this.asks = AdmissionAsks.create({
			hostId, mesh, clock, log: silentLoggers.for('test'), ownerOf: pool => this.handler.ownerOf(pool), ownPools: this.handler.quotes,
		});
	}

	/** Number of reservations that this host holds. */
	get reservedCount(): number {
		return [...this.reserved.values()].reduce((sum, ids) => sum + ids.size, 0);
	}

	/** A pool that quotes 100 ms for each reservation of other requests. */
	private makePool(name: string): PoolBatches {
		const ids = new Set<string>();
		this.reserved.set(name, ids);
		return {
			isIdle: true,
			quote({requestId}) {
				ids.delete(requestId);
				const aheadMs = 100 * ids.size;
				ids.add(requestId);
				return {aheadMs, callMs: 370, lateAheadMs: undefined};
			},
			reserve: ({requestId, steps, isLate}) => {
				ids.delete(requestId);
				ids.add(requestId);
				this.repeated.push(`${name} ${requestId} ${steps.map(({stepKey}) => stepKey).join(' ')}${isLate ? ' late' : ''}`);
			},
			dropReservations() {
				ids.clear();
			},
			forgo(requestId) {
				ids.delete(requestId);
			},
			admittedLate: requestId => {
				this.late.push(`${name} ${requestId}`);
			},
			add({requestId}) {
				ids.delete(requestId!);
			},
			sweepReservations: () => {
				this.sweepCount++;
			},
			cancel: () => undefined,
			handOver: () => undefined,
			release: () => undefined,
			waitMs: () => 0,
			dispose: () => undefined,
		};
	}
}

/** Hosts that are connected by links of one direction. */
class Hosts {
	readonly clock = ManualClock.create();
	readonly live = new Map<string, Host>();
	/** Hosts that are about to stop. */
	readonly leaving = new Set<string>();
	readonly held: Array<() => void> = [];
	/** Messages sent, as `type from to`. */
	readonly sent: string[] = [];
	private readonly links = new Map<string, Link>();

	constructor(...names: string[]) {
		for (const name of names) {
			this.live.set(name, new Host(name, this));
		}
	}

	of(hostId: string): Host {
		return this.live.get(hostId)!;
	}

	setLink(from: string, to: string, link: Link): void {
		this.links.set(`${from} ${to}`, link);
	}

	kill(hostId: string): void {
		this.live.delete(hostId);
		for (const {lose} of this.live.values()) {
			lose.fire(hostId);
		}

		this.fireChange();
	}

	/** Lets a host announce that it is about to stop, or that it isn't any more, as after a restart. */
	setLeaving(hostId: string, isLeaving: boolean): void {
		if (isLeaving) {
			this.leaving.add(hostId);
		} else {
			this.leaving.delete(hostId);
		}

		this.fireChange();
	}

	deliver(from: string, to: string, message: Message): boolean {
		const parsed = parseMessage(message);
		if ('problem' in parsed) {
			throw new Error(parsed.problem);
		}

		this.sent.push(`${message.type} ${from} ${to}`);
		const receive = () => {
			this.live.get(to)?.receive.fire({hostId: from, message: parsed.message});
		};

		const link = this.links.get(`${from} ${to}`) ?? links.up;
		if (link === links.held) {
			this.held.push(receive);
		} else if (link === links.up) {
			receive();
		}

		return this.live.has(to);
	}

	countOf(sent: string): number {
		return this.sent.filter(line => line === sent).length;
	}

	/** Lets time pass in steps, so that each host runs its regular checks. */
	async pass(forMs: number): Promise<void> {
		for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
			this.clock.advance(100);
			await Promise.resolve();
			await Promise.resolve();
		}
	}

	/** Notifies all hosts of a change. */
	private fireChange(): void {
		for (const {change} of this.live.values()) {
			change.fire();
		}
	}
}

/** Returns a pool that a host schedules among the given ones. */
function poolOf(hostId: string, names: readonly string[], not = ''): string {
	return Array.from({length: 100}, (_, index) => `p${index}`).find(pool => pool !== not && rendezvousOwner(pool, names) === hostId)!;
}

function askOf(pool: string, requestId = 'r'): PoolAsk {
	return {
		pool, requestId, rank: 1, workspace: 'w', steps: [{stepKey: 'route/0', pieces: 2, resultBytes: 10}], readyInMs: 5,
	};
}

function reservationOf(requestId: string) {
	const {pool, ...reservation} = askOf('', requestId);
	return {...reservation, steps: [...reservation.steps]};
}

function workOf(pool: string, requestId = 'r'): BatchWork {
	return {
		workId: `${requestId}/1`, pool, callerRequestId: requestId, contentId: 'c'.repeat(32), pieceKey: 'k', step: 0, pieces: [0], inputs: undefined, resultBytes: 1, rank: 0,
		dueMs: 1, lateDueMs: 2, deadlineMs: 3, hall: '', crossingBytes: 0, requestId, stepKey: 'route/0', workspace: 'w',
	};
}

/** Checks that an ask ends without quotes once 60 ms have passed, not earlier. */
async function checkTimesOut(t: Test, hosts: Hosts, quotes: Promise<ReadonlyMap<string, Quote> | undefined>): Promise<void> {
	let isDone = false;
	void quotes.then(() => {
		isDone = true;
	});
	hosts.clock.advance(59);
	await Promise.resolve();
	t.notOk(isDone);
	hosts.clock.advance(1);
	t.equal(await quotes, undefined);
}

const names = ['a', 'b', 'c'];
const pool = poolOf('b', names);

t.test('a set of quotes from several hosts is complete, and a host asks itself without a message', async t => {
	const hosts = new Hosts(...names);
	const pools = [poolOf('a', names), pool, poolOf('c', names), poolOf('b', names, pool)];
	const quotes = await hosts.of('a').asks.ask(pools.map(name => askOf(name)));
	t.same([...quotes!.keys()].toSorted(), pools.toSorted());
	t.same(quotes!.get(pool), {aheadMs: 0, callMs: 370, lateAheadMs: undefined});
	t.equal(hosts.countOf('batchAsk a b'), 2);
	t.notOk(hosts.sent.some(line => line.endsWith('a a')));
	hosts.of('a').asks.forgo('r', pools);
	t.same([...hosts.live.values()].map(host => host.reservedCount), [0, 0, 0]);
});

t.test('requests of two hosts with the same ID hold separate reservations, and each ends with its own work', async t => {
	const hosts = new Hosts(...names);
	await hosts.of('a').asks.ask([askOf(pool)]);
	const quotes = await hosts.of('c').asks.ask([askOf(pool)]);
	t.equal(quotes!.get(pool)!.aheadMs, 100);
	hosts.of('a').handler.submit(workOf(pool), () => undefined);
	t.equal(hosts.of('b').reservedCount, 1);
	hosts.of('c').asks.forgo('r', [pool]);
	t.equal(hosts.of('b').reservedCount, 0);
	await hosts.of('b').asks.ask([askOf(pool)]);
	hosts.of('b').handler.submit(workOf(pool), () => undefined);
	t.equal(hosts.of('b').reservedCount, 0, 'the host\'s own work');
});

t.test('a repeated ask replaces its reservation', async t => {
	const hosts = new Hosts(...names);
	const otherPool = poolOf('c', names);
	await hosts.of('a').asks.ask([askOf(pool), askOf(otherPool)]);
	const quotes = await hosts.of('a').asks.ask([askOf(pool)]);
	t.equal(quotes!.get(pool)!.aheadMs, 0);
	t.equal(hosts.of('b').reservedCount, 1);
	t.equal(hosts.of('c').reservedCount, 0, 'a pool that is not asked again holds nothing');
});

t.test('after a scheduler is killed between two asks, the new one answers', async t => {
	const hosts = new Hosts(...names);
	await hosts.of('a').asks.ask([askOf(pool)]);
	hosts.kill('b');
	const owner = rendezvousOwner(pool, ['a', 'c'])!;
	const asking = owner === 'a' ? 'c' : 'a';
	const quotes = await hosts.of(asking).asks.ask([askOf(pool, 'r2')]);
	t.equal(quotes!.get(pool)!.aheadMs, 100, 'behind the reservation that was repeated to it');
	t.equal(hosts.of(owner).reservedCount, 2);
});

t.test('an ask to a scheduler that is killed ends at once', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.cut);
	const quotes = hosts.of('a').asks.ask([askOf(pool)]);
	hosts.kill('b');
	t.equal(await quotes, undefined);
});

t.test('after lost asks a scheduler is not asked for 500 ms, and the other pools hold nothing', async t => {
	const hosts = new Hosts(...names);
	const otherPool = poolOf('c', names);
	hosts.setLink('a', 'b', links.cut);
	await checkTimesOut(t, hosts, hosts.of('a').asks.ask([askOf(pool), askOf(otherPool)]));
	t.equal(hosts.of('c').reservedCount, 0);
	hosts.setLink('a', 'b', links.up);
	hosts.clock.advance(499);
	t.equal(await hosts.of('a').asks.ask([askOf(otherPool), askOf(pool)]), undefined, 'at once, without a timer');
	t.equal(hosts.countOf('batchAsk a b'), 1);
	t.ok(await hosts.of('a').asks.ask([askOf(otherPool)]), 'hosts that answered are asked');
	t.ok(await hosts.of('c').asks.ask([askOf(pool)]), 'the scheduler is unreachable for one host only');
	hosts.clock.advance(1);
	t.ok(await hosts.of('a').asks.ask([askOf(pool)]));
});

t.test('lost quotes leave no reservations', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.cut);
	const quotes = hosts.of('a').asks.ask([askOf(pool)]);
	t.equal(hosts.of('b').reservedCount, 1);
	await checkTimesOut(t, hosts, quotes);
	t.equal(hosts.of('b').reservedCount, 0);
});

t.test('late quotes of a frozen scheduler are forgone', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.held);
	await checkTimesOut(t, hosts, hosts.of('a').asks.ask([askOf(pool)]));
	// The scheduler reserves again, as if it had read the ask after the message that ended it.
	hosts.deliver('a', 'b', messageOfAsk(askOf(pool)));
	t.equal(hosts.of('b').reservedCount, 1);
	for (const receive of hosts.held.splice(0)) {
		receive();
	}

	t.equal(hosts.of('b').reservedCount, 0);
});

t.test('a host that was frozen itself reads its sockets before it takes a scheduler for silent', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.held);
	const quotes = hosts.of('a').asks.ask([askOf(pool)]);
	hosts.clock.suspend(2000);
	hosts.held[0]();
	t.ok(await quotes);
	const missing = hosts.of('a').asks.ask([askOf(pool, 'r2')]);
	hosts.clock.suspend(2000);
	hosts.clock.advance(5);
	t.equal(await missing, undefined);
});

t.test('quotes that arrive out of order and twice complete their own requests, and forgo no reservation in use', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.held);
	const asks = ['r1', 'r2'].map(async requestId => hosts.of('a').asks.ask([askOf(pool, requestId)]));
	for (const receive of [...hosts.held.toReversed(), ...hosts.held]) {
		receive();
	}

	const [first, second] = await Promise.all(asks);
	t.equal(first!.get(pool)!.aheadMs, 0);
	t.equal(second!.get(pool)!.aheadMs, 100);
	t.equal(hosts.of('b').reservedCount, 2);
	hosts.of('a').asks.forgo('r1', [pool]);
	hosts.held[0]();
	t.equal(hosts.of('b').reservedCount, 1, 'a quote for a request that was refused is forgone');
});

t.test('a quote of another host than the asked one is not used', async t => {
	const hosts = new Hosts(...names);
	hosts.setLink('b', 'a', links.cut);
	const quotes = hosts.of('a').asks.ask([askOf(pool)]);
	hosts.deliver('c', 'a', messageOfQuote({pool, requestId: 'r'}, {aheadMs: 0, callMs: 1, lateAheadMs: undefined}));
	t.equal(hosts.countOf('batchForgo a c'), 1);
	await checkTimesOut(t, hosts, quotes);
});

/*
Guards against reservations of late requests that stay among those in time: each scheduler that gave a quote must be told, also after
the pool has moved to another host.
*/
t.test('the hosts that gave the quotes are told of a late admission', async t => {
	const hosts = new Hosts(...names);
	const ownPool = poolOf('a', names);
	const {asks} = hosts.of('a');
	await asks.ask([askOf(pool), askOf(ownPool)]);
	await hosts.of('c').asks.ask([askOf(pool)]);
	hosts.live.delete('c');
	asks.admittedLate('r', [pool, ownPool]);
	t.same([hosts.of('a').late, hosts.of('b').late], [[`${ownPool} a\nr`], [`${pool} a\nr`]], 'the request of another host with the same ID is not concerned');
	t.equal(hosts.countOf('batchAdmittedLate a b'), 1);
	asks.admittedLate('r', ['other']);
	asks.admittedLate('unknown', [pool]);
	t.equal(hosts.sent.filter(line => line.startsWith('batchAdmittedLate')).length, 1, 'nothing is sent for what was not quoted');
});

/*
Load: late requests with a start in several seconds, whose host is lost. Guards against reservations that are forgotten here before the
ledger drops them, so that those of a lost host would stay.
*/
t.test('the reservations of requests admitted late are remembered until they end', async t => {
	const clock = ManualClock.create();
	const lose = Emitter.create<string>();
	const receive = Emitter.create<PeerMessage>();
	const forgone: string[] = [];
	const quoting: QuotingPool = {
		quote: () => ({aheadMs: 0, callMs: 1, lateAheadMs: 10_000}),
		reserve: () => undefined,
		dropReservations: () => undefined,
		forgo(requestId) {
			forgone.push(requestId);
		},
		admittedLate: () => undefined,
		sweepReservations: () => undefined,
	};
	const quotes = BatchQuotes.create({
		hostId: 'b', mesh: {onDidReceive: receive.event, onDidLose: lose.event, send: () => true}, clock,
		isOwner: () => true, pools: new Map([['p', quoting]]), poolOf: () => quoting,
	});
	for (const requestId of ['late', 'inTime']) {
		receive.fire({hostId: 'a', message: messageOfAsk(askOf('p', requestId))});
	}

	receive.fire({hostId: 'a', message: {type: 'batchAdmittedLate', pool: 'p', requestId: 'late'}});
	clock.advance(13_000);
	quotes.sweep();
	lose.fire('a');
	t.same(forgone, ['a\nlate'], 'the ledger holds it until 13 s after its quote');
});

t.test('the reservations of a lost entry host are dropped, those of others are not', async t => {
	const hosts = new Hosts(...names);
	await hosts.of('a').asks.ask([askOf(pool), askOf(poolOf('b', names, pool))]);
	await hosts.of('c').asks.ask([askOf(pool)]);
	t.equal(hosts.of('b').reservedCount, 3);
	// Every pool stays with its scheduler, since the lost host schedules none of them.
	hosts.kill('a');
	t.equal(hosts.of('b').reservedCount, 1);
});

t.test('a host that does not schedule a pool gives no quote', async t => {
	const hosts = new Hosts(...names);
	hosts.deliver('a', 'c', messageOfAsk(askOf(pool)));
	t.equal(hosts.countOf('batchQuote c a'), 0);
	t.equal(hosts.of('c').reservedCount, 0);
});

t.test('reservations that are not used are swept regularly', async t => {
	const hosts = new Hosts(...names);
	await hosts.of('a').asks.ask([askOf(pool)]);
	hosts.clock.advance(100);
	t.equal(hosts.of('b').sweepCount, 1);
});

/** `second` schedules the pool when `b` does not, and `entry` only when it is alone. */
const [second, entry] = rendezvousOwner(pool, ['a', 'c']) === 'a' ? ['a', 'c'] : ['c', 'a'];

/*
Load: a scheduler that is killed in a burst. Guards against a new scheduler whose quotes are too short, because it doesn't know what
was admitted before and has not been submitted.
*/
t.test('a scheduler killed between admission and submission: the first quote of the new one counts the reservations of two hosts', async t => {
	const hosts = new Hosts(...names, 'd');
	const ownedPool = Array.from({length: 100}, (_, index) => `q${index}`).find(name => rendezvousOwner(name, [...names, 'd']) === 'b' && rendezvousOwner(name, ['a', 'c', 'd']) === 'c')!;
	await hosts.of('a').asks.ask([askOf(ownedPool), askOf(poolOf('d', [...names, 'd']))]);
	await hosts.of('c').asks.ask([askOf(ownedPool)]);
	hosts.of('c').asks.admittedLate('r', [ownedPool]);
	hosts.kill('b');
	t.same(hosts.of('c').repeated.toSorted(), [`${ownedPool} a\nr route/0`, `${ownedPool} c\nr route/0 late`]);
	t.equal(hosts.countOf('batchReserve a c'), 1);
	t.same(hosts.of('d').repeated, [], 'the other pool has the same scheduler as before');
	const quotes = await hosts.of('d').asks.ask([askOf(ownedPool)]);
	t.equal(quotes!.get(ownedPool)!.aheadMs, 200);
	await hosts.pass(1000);
	t.equal(hosts.countOf('batchReserve a c'), 1, 'repeated once');
});

/* Guards against reservations that are lost or stay at both hosts when a scheduler stops as planned, and against messages that go to the former one. */
t.test('a planned stop of the scheduler moves the reservations of other hosts and its own', async t => {
	const hosts = new Hosts(...names);
	await hosts.of(entry).asks.ask([askOf(pool)]);
	await hosts.of('b').asks.ask([askOf(pool)]);
	hosts.setLeaving('b', true);
	t.same([hosts.of('b').reservedCount, hosts.of(second).reservedCount], [0, 2]);
	hosts.of(entry).asks.forgo('r', [pool]);
	t.equal(hosts.of(second).reservedCount, 1, 'the request ends at the new scheduler');
	hosts.of('b').handler.submit(workOf(pool), () => undefined);
	t.equal(hosts.of(second).reservedCount, 0, 'the work ends the reservation');
});

/* Guards against a host that is about to stop and keeps its own reservations: no event tells it that it schedules no pool any more. */
t.test('a host that is about to stop hands over without an event', async t => {
	const hosts = new Hosts(...names);
	await hosts.of('b').asks.ask([askOf(pool)]);
	hosts.leaving.add('b');
	hosts.clock.advance(100);
	t.same([hosts.of('b').reservedCount, hosts.of(second).reservedCount], [0, 1]);
});

/* Guards against reservations of requests that no one will submit: they would lengthen the quotes of the new scheduler for 3 s. */
t.test('a request that ended meanwhile is not repeated, nor one whose reservation has ended', async t => {
	const hosts = new Hosts(...names);
	const {asks} = hosts.of(entry);
	for (const requestId of ['ended', 'open', 'expired']) {
		await asks.ask([{...askOf(pool, requestId), readyInMs: requestId === 'expired' ? 0 : 1000}]);
	}

	asks.forgo('ended', [pool]);
	await hosts.pass(3900);
	t.equal(asks.openCount, 1, 'reservations end 3 s after their work was expected');
	hosts.kill('b');
	t.same(hosts.of(second).repeated, [`${pool} ${entry}\nopen route/0`]);
	await hosts.pass(100);
	t.equal(asks.openCount, 0, 'nothing is remembered for longer than the ledger holds it');
});

/* Guards against work that counts twice: in the queue of the new scheduler and as reserved there. */
t.test('a step that is already submitted is not repeated', async t => {
	const hosts = new Hosts(...names);
	const {asks} = hosts.of(entry);
	const steps = ['route/0', 'route/1'].map(stepKey => ({stepKey, pieces: 1, resultBytes: 1}));
	await asks.ask([{...askOf(pool, 'both'), steps}]);
	await asks.ask([{...askOf(pool, 'one'), steps}]);
	for (const stepKey of ['route/0', 'route/1']) {
		asks.submitted('both', pool, stepKey);
	}

	asks.submitted('one', pool, 'route/0');
	asks.submitted('unknown', pool, 'route/0');
	hosts.kill('b');
	t.same(hosts.of(second).repeated, [`${pool} ${entry}\none route/1`]);
	asks.submitted('one', pool, 'route/1');
	t.equal(asks.openCount, 0);
});

/* Guards against reservations of ended requests that a former scheduler still holds when it schedules the pool again. */
t.test('ownership that goes back and forth leaves no stale reservation', async t => {
	const hosts = new Hosts(...names);
	const {asks} = hosts.of(entry);
	await asks.ask([askOf(pool, 'r1')]);
	await asks.ask([askOf(pool, 'r2')]);
	hosts.setLeaving('b', true);
	asks.forgo('r1', [pool]);
	hosts.setLeaving('b', false);
	t.same([hosts.of('b').reservedCount, hosts.of(second).reservedCount], [1, 0], 'the request that is open, at one host');
	asks.forgo('r2', [pool]);
	t.same([hosts.of('b').reservedCount, hosts.of(second).reservedCount], [0, 0]);
	hosts.setLeaving('b', true);
	t.equal(hosts.of(second).reservedCount, 0);
});

/* Guards against reservations that are lost because the new scheduler notices the change later than their host does. */
t.test('a reservation that arrives before its host schedules the pool is held, for a second', async t => {
	const hosts = new Hosts(...names);
	const reserve = () => hosts.deliver(entry, second, {type: 'batchReserve', pool, reservations: [{...reservationOf('early'), isLate: false}]});
	reserve();
	await hosts.pass(900);
	t.equal(hosts.of(second).reservedCount, 1);
	reserve();
	hosts.setLeaving('b', true);
	await hosts.pass(1500);
	t.equal(hosts.of(second).reservedCount, 1, 'the host schedules the pool now');
	hosts.setLeaving('b', false);
	reserve();
	await hosts.pass(1100);
	t.equal(hosts.of(second).reservedCount, 0, 'the host did not become the scheduler');
});

/* Guards against reservations that are taken for held by a scheduler that dropped them when it lost this host. */
t.test('reservations are repeated to a scheduler that was lost and is connected again', async t => {
	const hosts = new Hosts(...names);
	await hosts.of(entry).asks.ask([askOf(pool)]);
	hosts.of('b').lose.fire(entry);
	t.equal(hosts.of('b').reservedCount, 0);
	hosts.of(entry).lose.fire('b');
	t.equal(hosts.of('b').reservedCount, 1);
});

/* Load: hundreds of open reservations in a burst. Guards against messages above the bounds of the protocol: the receiver would close the connection. */
t.test('many reservations are repeated in several messages', async t => {
	const hosts = new Hosts(...names);
	const {asks} = hosts.of(entry);
	for (let index = 0; index < 300; index++) {
		await asks.ask([askOf(pool, `r${index}`)]);
	}

	const steps = Array.from({length: 250}, (_, index) => ({stepKey: `route/${index}`, pieces: 1, resultBytes: 1}));
	for (let index = 0; index < 5; index++) {
		await asks.ask([{...askOf(pool, `large${index}`), steps}]);
	}

	hosts.kill('b');
	t.equal(hosts.of(second).reservedCount, 305);
	t.equal(hosts.countOf(`batchReserve ${entry} ${second}`), 3, '256 requests, then 44 with 3 large ones, then 2 large ones');
});

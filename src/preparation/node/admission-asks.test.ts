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
	/** IDs of the reservations by pool, in the order of their quotes. */
	readonly reserved = new Map<string, Set<string>>();
	/** IDs of the requests that the pools were told are admitted late. */
	readonly late: string[] = [];
	sweepCount = 0;
	readonly handler: BatchHandler;
	readonly asks: AdmissionAsks;

	constructor(readonly hostId: string, hosts: Hosts) {
		const {clock} = hosts;
		const mesh = {
			onDidReceive: this.receive.event,
			onDidLose: this.lose.event,
			onDidChange: Emitter.create<void>().event,
			get liveCapacities() {
				return new Map([...hosts.live.keys()].filter(other => other !== hostId).map(other => [other, 1]));
			},
			send: (to: string, message: Message) => hosts.deliver(hostId, to, message),
			broadcast: () => undefined,
		};
		this.handler = BatchHandler.create({
			hostId, capacity: 1, mesh, clock, log: silentLoggers.for('test'), isLeaving: () => false, makePool: pool => this.makePool(pool),
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
	t.equal(quotes!.get(pool)!.aheadMs, 0);
	t.equal(hosts.of(owner).reservedCount, 1);
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

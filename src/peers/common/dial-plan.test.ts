/**
All hosts of a fleet start at once, as after a power failure, and discover each other through three seeds. The cost of a
start grows with the number of connections that each host makes, at the time when its processor is needed most.
*/
import t from 'tap';
import {DialPlan} from './dial-plan.js';

/** Time between the rounds in which hosts report addresses to each other. */
const roundMs = 500;

/** Hosts that dial and report addresses in rounds; a dial is answered within its round. */
class Fleet {
	readonly endpoints: readonly string[];
	dials = 0;
	/** The hosts that each host is connected to. */
	readonly connectedTo = new Map<string, Set<string>>();
	private readonly plans = new Map<string, DialPlan>();
	private nowMs = 0;

	constructor(count: number) {
		this.endpoints = Array.from({length: count}, (_, index) => `10.0.${Math.floor(index / 250)}.${index % 250}:7740`);
		for (const endpoint of this.endpoints) {
			this.start(endpoint);
		}
	}

	get isFullyConnected(): boolean {
		return this.endpoints.every(endpoint => this.connectedTo.get(endpoint)!.size === this.endpoints.length - 1);
	}

	start(endpoint: string): void {
		const plan = DialPlan.create(endpoint);
		for (const seed of this.endpoints.slice(0, 3)) {
			plan.add(seed, true, this.nowMs);
		}

		this.plans.set(endpoint, plan);
		for (const others of this.connectedTo.values()) {
			others.delete(endpoint);
		}

		this.connectedTo.set(endpoint, new Set());
	}

	runRound(): void {
		for (const [endpoint, plan] of this.plans) {
			const connected = this.connectedTo.get(endpoint)!;
			for (const other of plan.due(each => connected.has(each), this.nowMs)) {
				this.dials++;
				connected.add(other);
				this.connectedTo.get(other)!.add(endpoint);
			}
		}

		for (const [endpoint, connected] of this.connectedTo) {
			for (const other of connected) {
				for (const reported of connected) {
					this.plans.get(other)!.add(reported, false, this.nowMs);
				}

				this.plans.get(other)!.add(endpoint, false, this.nowMs);
			}
		}

		this.nowMs += roundMs;
	}
}

for (const count of [8, 68, 370]) {
	t.test(`${count} hosts that start at once are all connected after two rounds, with one connection per pair`, async t => {
		const fleet = new Fleet(count);
		fleet.runRound();
		fleet.runRound();
		t.ok(fleet.isFullyConnected);
		t.equal(fleet.dials, count * (count - 1) / 2);
	});
}

t.test('a restarted host is connected to all others again, whichever side dials first', async t => {
	const fleet = new Fleet(12);
	fleet.runRound();
	fleet.runRound();
	fleet.start(fleet.endpoints[7]);
	fleet.runRound();
	fleet.runRound();
	t.ok(fleet.isFullyConnected);
});

t.test('if the first of a pair does not dial, the other does after a delay', async t => {
	const names = ['10.0.0.1:1', '10.0.0.2:1'];
	const [first, second] = names.toSorted((left, right) => dueAtOnce(right, left).length - dueAtOnce(left, right).length);
	t.same(dueAtOnce(first, second), [second]);
	t.same(dueAtOnce(second, first), []);
	const plan = DialPlan.create(second);
	plan.add(first, false, 0);
	t.same(plan.due(() => false, 1400), []);
	t.same(plan.due(() => false, 1500), [first]);
});

t.test('the same delay applies again to an address whose host was connected and is lost', async t => {
	const names = ['10.0.0.1:1', '10.0.0.2:1'];
	const second = names.find(name => dueAtOnce(name, names.find(other => other !== name)!).length === 0)!;
	const first = names.find(name => name !== second)!;
	const plan = DialPlan.create(second);
	plan.add(first, false, 0);
	plan.due(() => true, 60_000);
	t.same(plan.due(() => false, 61_000), []);
	t.same(plan.due(() => false, 61_500), [first]);
});

t.test('an address that peers reported becomes a seed when the settings name it', async t => {
	const plan = DialPlan.create('10.0.0.1:1');
	const others = ['10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1', '10.0.0.5:1'];
	for (const other of others) {
		plan.add(other, false, 0);
		t.notOk(plan.isSeed(other));
		plan.add(other, true, 10);
		plan.add(other, false, 20);
		t.ok(plan.isSeed(other));
	}

	t.same(plan.due(() => false, 20), others, 'seeds are dialed at once');
});

/** Returns what a host dials as soon as another host is reported to it. */
function dueAtOnce(ownEndpoint: string, other: string): string[] {
	const plan = DialPlan.create(ownEndpoint);
	plan.add(other, false, 0);
	return plan.due(() => false, 0);
}

/*
All hosts start at once, and each reports to all others the hosts that it is connected to, several times until all are connected. With 31
hosts that makes 30 reports of 30 addresses each, and each search for addresses to dial goes through all known ones.
*/
t.test('addresses that are reported again are not new: a start searches for addresses to dial only as often as one is new', async t => {
	const hostCount = 31;
	const addresses = Array.from({length: hostCount}, (_, index) => `10.0.0.${index}:1`);
	const plan = DialPlan.create(addresses[0]);
	let searches = 0;
	for (let report = 1; report < hostCount; report++) {
		const newAddresses = addresses.filter(address => plan.add(address, false, report));
		searches += newAddresses.length > 0 ? 1 : 0;
	}

	t.equal(searches, 1);
	t.equal(plan.add(addresses[5], true, 50), true, 'an address that becomes a seed is new');
	t.equal(plan.add(addresses[0], true, 50), false, 'the own address is never new');
});

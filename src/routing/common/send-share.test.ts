/**
Guards against hosts that together exceed the bound of an upstream. A cold or limited upstream looks idle, so that every host would send it all
its requests, while hosts join, leave, are partitioned in groups, or all restart. Setup: 31 hosts in three data halls with one seed host each. A cold
upstream tolerates 9.1 requests per second, and 1.5 times that plus 5 are allowed; with a limit, one and a half times what it allows in 4 s plus 5
are allowed. Partitions last up to 12 s. Hosts exchange the names of known hosts every 100 ms.
*/
import fc from 'fast-check';
import t from 'tap';
import {FleetTracker} from '../../peers/common/fleet-tracker.js';
import {
	coldUpstreamBound, limitBound, boundPerS, type RateBound,
} from './rate-bound.js';
import {SendShare} from './send-share.js';

const toleratedPerS = 9.1;
const bounds = {excess: 1.5, tolerance: 5};
const maxPerS = (toleratedPerS * bounds.excess) + bounds.tolerance;
const coldBound = coldUpstreamBound(toleratedPerS, bounds);
const secondMs = 1000;
const limitSpanMs = 4000;
const maxSendsAtLimit = (perS: number) => (1.5 * perS * limitSpanMs / secondMs) + 5;
const anyWork = {isSoleSender: false};
const hallCount = 3;
const stepMs = 50;
const gossipMs = 100;

type Host = {readonly name: string; readonly hall: number; memory: FleetTracker; share: SendShare; upAtMs: number};

/** A temporary network partition: hosts of a data hall are isolated from all other hosts (`isAlone`), or only from the hosts of other data halls. */
type Partition = {readonly atMs: number; readonly forMs: number; readonly hall: number; readonly isAlone: boolean};
type Restart = {readonly atMs: number; readonly hosts: readonly number[]; readonly spreadMs: number};

class Fleet {
	static create(hostCount: number, startMs: readonly number[], bound = coldBound): Fleet {
		const fleet = new Fleet(bound);
		for (let index = 0; index < hostCount; index++) {
			fleet.hosts.push(fleet.makeHost(index, startMs[index] ?? 0));
		}

		return fleet;
	}

	readonly hosts: Host[] = [];
	readonly sentMs: number[] = [];
	partitions: readonly Partition[] = [];
	nowMs = 0;

	private constructor(private readonly bound: RateBound) {}

	/** Restarts hosts without their state. */
	restart({hosts, spreadMs}: Restart): void {
		for (const [turn, index] of hosts.entries()) {
			if (index < this.hosts.length) {
				this.hosts[index] = this.makeHost(index, this.nowMs + ((turn * 97) % (spreadMs + 1)));
			}
		}
	}

	run(untilMs: number, restarts: readonly Restart[]): void {
		const due = restarts.toSorted((left, right) => left.atMs - right.atMs);
		for (; this.nowMs < untilMs; this.nowMs += stepMs) {
			while (due.length > 0 && due[0].atMs <= this.nowMs) {
				this.restart(due.shift()!);
			}

			if (this.nowMs % gossipMs === 0) {
				this.gossip();
			}

			this.sendAll();
		}
	}

	/** Maximum number of sends within any time span of this length. */
	maxSendsWithin(spanMs: number): number {
		let maxCount = 0;
		let first = 0;
		for (const [index, atMs] of this.sentMs.entries()) {
			while (atMs - this.sentMs[first] >= spanMs) {
				first++;
			}

			maxCount = Math.max(maxCount, index - first + 1);
		}

		return maxCount;
	}

	private makeHost(index: number, upAtMs: number): Host {
		const name = `10.0.0.${index}:1`;
		const memory = FleetTracker.create(name, upAtMs);
		const seeds = Array.from({length: hallCount}, (_, hall) => `10.0.0.${hall}:1`);
		return {
			name, hall: index % hallCount, memory, share: SendShare.create(nowMs => memory.view(seeds, nowMs)), upAtMs,
		};
	}

	private gossip(): void {
		const up = this.hosts.filter(({upAtMs}) => upAtMs <= this.nowMs);
		const connectedNames = new Map(up.map(host => [host, up.filter(other => other !== host && this.areConnected(host, other)).map(({name}) => name)]));
		for (const host of up) {
			for (const other of up.filter(each => connectedNames.get(host)!.includes(each.name))) {
				host.memory.recordSeen([other.name, ...connectedNames.get(other)!], this.nowMs);
			}
		}
	}

	private areConnected(left: Host, right: Host): boolean {
		return this.partitions.every(({atMs, forMs, hall, isAlone}) => {
			const isOver = this.nowMs < atMs || this.nowMs >= atMs + forMs;
			const touches = left.hall === hall || right.hall === hall;
			return isOver || !touches || (!isAlone && left.hall === right.hall);
		});
	}

	private sendAll(): void {
		for (const {share, upAtMs} of this.hosts) {
			while (upAtMs <= this.nowMs && share.remaining('cold', this.bound, anyWork, this.nowMs) > 0) {
				share.sent('cold', this.nowMs);
				this.sentMs.push(this.nowMs);
			}
		}
	}
}

const partitionArbitrary = fc.record({
	atMs: fc.nat(20_000), forMs: fc.integer({min: 1000, max: 12_000}), hall: fc.nat(hallCount - 1), isAlone: fc.boolean(),
});
const restartArbitrary = fc.oneof(
	fc.record({atMs: fc.nat(20_000), hosts: fc.constant(Array.from({length: 31}, (_, index) => index)), spreadMs: fc.nat(1600)}),
	fc.record({atMs: fc.nat(20_000), hosts: fc.uniqueArray(fc.nat(30), {maxLength: 12}), spreadMs: fc.nat(1600)}),
);

const changesArbitrary = fc.tuple(
	fc.integer({min: 1, max: 31}),
	fc.array(partitionArbitrary, {maxLength: 3}),
	fc.array(restartArbitrary, {maxLength: 3}),
	fc.array(fc.nat(15_000), {maxLength: 8}),
);

function simulate([hostCount, cuts, restarts, lateStartsMs]: typeof changesArbitrary extends fc.Arbitrary<infer T> ? T : never, bound: RateBound): Fleet {
	const fleet = Fleet.create(hostCount, Array.from({length: hostCount}, (_, index) => index < hallCount ? 0 : lateStartsMs[index - hallCount] ?? 0), bound);
	fleet.partitions = cuts;
	fleet.run(28_000, restarts);
	return fleet;
}

t.test('all hosts together stay within the bound of a cold upstream during partitions, joins and restarts', async t => {
	fc.assert(fc.property(changesArbitrary, changes => {
		const maxSends = simulate(changes, coldBound).maxSendsWithin(secondMs);
		t.ok(maxSends <= maxPerS, `${maxSends} of ${changes[0]} hosts`);
	}), {seed: 1, numRuns: 40});
});

t.test('all hosts together stay within the bound of a limit during partitions, joins and restarts', async t => {
	fc.assert(fc.property(changesArbitrary, fc.constantFrom(0, 0.2, 0.7, 1, 2, 4, 25), (changes, perS) => {
		const maxSends = simulate(changes, limitBound(perS)).maxSendsWithin(limitSpanMs);
		t.ok(maxSends <= maxSendsAtLimit(perS), `${maxSends} of ${changes[0]} hosts at a limit of ${perS}`);
	}), {seed: 2, numRuns: 15});
});

t.test('a cold upstream receives as many requests as its bound allows, for any number of hosts', async t => {
	for (const hostCount of [1, 2, 3, 31]) {
		const fleet = Fleet.create(hostCount, []);
		fleet.run(hostCount < hallCount ? 40_000 : 10_000, []);
		t.equal(fleet.maxSendsWithin(secondMs), 9, `${hostCount} hosts`);
	}
});

t.test('a limited upstream receives at least 70 % of its limit for any number of hosts, without idle gaps longer than a window', async t => {
	for (const hostCount of [3, 8, 31, 200]) {
		for (const perS of hostCount > 31 ? [1, 25] : [0.2, 0.5, 1, 2, 4, 25]) {
			const hosts = Array.from({length: hostCount}, (_, index) => `10.0.0.${index}:1`);
			const bound = limitBound(perS);
			const shares = hosts.map(own => SendShare.create(() => ({
				ownName: own, hosts, isSettled: true, unseenSeedCount: 0,
			})));
			const sentMs: number[] = [];
			for (let nowMs = 0; nowMs < 20_000; nowMs += stepMs) {
				for (const share of shares.filter(each => each.remaining('s', bound, anyWork, nowMs) > 0)) {
					share.sent('s', nowMs);
					sentMs.push(nowMs);
				}
			}

			const name = `${hostCount} hosts at a limit of ${perS}`;
			t.ok(sentMs.length >= 0.7 * perS * 20, `${sentMs.length} in 20 s of ${name}`);
			const gapsMs = sentMs.map((atMs, index) => atMs - (sentMs[index - 1] ?? 0));
			t.ok(Math.max(...gapsMs) <= bound.windowMs, `${Math.max(...gapsMs)} ms without any of ${name}`);
		}
	}
});

t.test('a sole sender has the whole bound, spread over the window', async t => {
	const bound = limitBound(2);
	const hosts = Array.from({length: 31}, (_, index) => `h${index}`);
	const soleWork = {isSoleSender: true};
	for (const own of hosts) {
		const share = SendShare.create(() => ({
			ownName: own, hosts, isSettled: true, unseenSeedCount: 0,
		}));
		let sent = 0;
		for (let nowMs = 0; nowMs < bound.windowMs; nowMs += stepMs) {
			t.ok(share.remaining('s', bound, soleWork, nowMs) <= 2);
			while (share.remaining('s', bound, soleWork, nowMs) > 0) {
				share.sent('s', nowMs);
				sent++;
			}
		}

		t.equal(sent, bound.maxRequests);
	}

	const unsettled = SendShare.create(() => ({
		ownName: 'h1', hosts, isSettled: false, unseenSeedCount: 0,
	}));
	t.equal(unsettled.remaining('s', bound, soleWork, 0), 0, 'a host that is not settled has no quota');
});

t.test('a limit of less than one request per window is one request in a longer window', async t => {
	t.equal(limitBound(0.2).maxRequests, 1);
	t.equal(limitBound(0.2).windowMs, 5000);
	t.same(limitBound(0), limitBound(0.2));
	t.same(limitBound(1), {maxRequests: 4, windowMs: 4000, isPaced: true});
	t.equal(boundPerS(limitBound(4)), 3.5, 'half of the tolerated requests');
});

t.test('the next send is due when the oldest send leaves the window', async t => {
	const share = SendShare.create(() => ({
		ownName: 'a', hosts: ['a'], isSettled: true, unseenSeedCount: 0,
	}));
	const bound = {maxRequests: 2, windowMs: 1000, isPaced: false};
	share.sent('s', 0);
	share.sent('s', 300);
	t.equal(share.remaining('s', bound, anyWork, 300), 0);
	t.equal(share.nextSendInMs('s', bound, anyWork, 400), 600);
	const paced = {maxRequests: 2, windowMs: 1000, isPaced: true};
	t.equal(share.nextSendInMs('t', paced, anyWork, 400), 0);
	share.sent('t', 400);
	t.equal(share.nextSendInMs('t', paced, anyWork, 400), 500, 'half of the window for each of two');
	const unsettled = SendShare.create(() => ({
		ownName: 'a', hosts: ['a'], isSettled: false, unseenSeedCount: 0,
	}));
	t.equal(unsettled.nextSendInMs('s', bound, anyWork, 400), undefined);
});

/**
Pattern: a cold upstream that is idle, so that every host would send to it all it has, while hosts come, go, are cut off from
each other in groups, and all start anew. Figures: 31 hosts in three halls with a seed in each, an upstream that bears 9.1 requests a
second, 1.5 times that and 5 besides allowed; cuts of up to 12 s. Hosts tell each other whom they know every 100 ms.
*/
import fc from 'fast-check';
import t from 'tap';
import {FleetMemory} from '../../peers/common/fleet-memory.js';
import {ColdShare} from './cold-share.js';

const bearsPerS = 9.1;
const bounds = {excess: 1.5, tolerance: 5};
const mostPerS = (bearsPerS * bounds.excess) + bounds.tolerance;
const hallCount = 3;
const stepMs = 50;
const gossipMs = 100;

type Host = {readonly name: string; readonly hall: number; memory: FleetMemory; share: ColdShare; upAtMs: number};

/** Hosts that are cut off for a time: from all others, or only their hall from the other halls. */
type Cut = {readonly atMs: number; readonly forMs: number; readonly hall: number; readonly isAlone: boolean};
type Restart = {readonly atMs: number; readonly hosts: readonly number[]; readonly spreadMs: number};

class Fleet {
	static create(hostCount: number, startMs: readonly number[]): Fleet {
		const fleet = new Fleet();
		for (let index = 0; index < hostCount; index++) {
			fleet.hosts.push(fleet.makeHost(index, startMs[index] ?? 0));
		}

		return fleet;
	}

	readonly hosts: Host[] = [];
	readonly sentMs: number[] = [];
	cuts: readonly Cut[] = [];
	nowMs = 0;

	/** Hosts lose all they knew. */
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

	/** Most sends within any one second. */
	get mostInOneSecond(): number {
		let most = 0;
		let first = 0;
		for (const [index, atMs] of this.sentMs.entries()) {
			while (atMs - this.sentMs[first] >= 1000) {
				first++;
			}

			most = Math.max(most, index - first + 1);
		}

		return most;
	}

	private makeHost(index: number, upAtMs: number): Host {
		const name = `10.0.0.${index}:1`;
		const memory = FleetMemory.create(name, upAtMs);
		const seeds = Array.from({length: hallCount}, (_, hall) => `10.0.0.${hall}:1`);
		return {
			name, hall: index % hallCount, memory, share: ColdShare.create(bounds, nowMs => memory.view(seeds, nowMs)), upAtMs,
		};
	}

	private gossip(): void {
		const up = this.hosts.filter(({upAtMs}) => upAtMs <= this.nowMs);
		const met = new Map(up.map(host => [host, up.filter(other => other !== host && this.isMet(host, other)).map(({name}) => name)]));
		for (const host of up) {
			for (const other of up.filter(each => met.get(host)!.includes(each.name))) {
				host.memory.seen([other.name, ...met.get(other)!], this.nowMs);
			}
		}
	}

	private isMet(left: Host, right: Host): boolean {
		return this.cuts.every(({atMs, forMs, hall, isAlone}) => {
			const isOver = this.nowMs < atMs || this.nowMs >= atMs + forMs;
			const touches = left.hall === hall || right.hall === hall;
			return isOver || !touches || (!isAlone && left.hall === right.hall);
		});
	}

	private sendAll(): void {
		for (const {share, upAtMs} of this.hosts) {
			while (upAtMs <= this.nowMs && share.left('cold', bearsPerS, {isUrgent: true}, this.nowMs) > 0) {
				share.sent('cold', this.nowMs);
				this.sentMs.push(this.nowMs);
			}
		}
	}
}

const cutArbitrary = fc.record({
	atMs: fc.nat(20_000), forMs: fc.integer({min: 1000, max: 12_000}), hall: fc.nat(hallCount - 1), isAlone: fc.boolean(),
});
const restartArbitrary = fc.oneof(
	fc.record({atMs: fc.nat(20_000), hosts: fc.constant(Array.from({length: 31}, (_, index) => index)), spreadMs: fc.nat(1600)}),
	fc.record({atMs: fc.nat(20_000), hosts: fc.uniqueArray(fc.nat(30), {maxLength: 12}), spreadMs: fc.nat(1600)}),
);

t.test('all hosts together send less than a cold upstream bears, whoever is cut off, comes or starts anew', async t => {
	fc.assert(fc.property(
		fc.integer({min: 1, max: 31}),
		fc.array(cutArbitrary, {maxLength: 3}),
		fc.array(restartArbitrary, {maxLength: 3}),
		fc.array(fc.nat(15_000), {maxLength: 8}),
		(hostCount, cuts, restarts, lateStartsMs) => {
			const fleet = Fleet.create(hostCount, Array.from({length: hostCount}, (_, index) => index < hallCount ? 0 : lateStartsMs[index - hallCount] ?? 0));
			fleet.cuts = cuts;
			fleet.run(28_000, restarts);
			t.ok(fleet.mostInOneSecond <= mostPerS, `${fleet.mostInOneSecond} of ${hostCount} hosts`);
		},
	), {seed: 1, numRuns: 40});
});

t.test('a cold upstream gets its part, however many hosts there are', async t => {
	for (const hostCount of [1, 2, 3, 31]) {
		const fleet = Fleet.create(hostCount, []);
		fleet.run(hostCount < hallCount ? 40_000 : 10_000, []);
		t.equal(fleet.mostInOneSecond, hostCount === 2 ? 8 : 9, `${hostCount} hosts`);
	}
});

t.test('what is not bounded is not counted', async t => {
	const share = ColdShare.create(undefined, () => ({own: 'a', hosts: ['a', 'b'], isSettled: false}));
	t.equal(share.left('cold', 0, {isUrgent: false}, 0), Infinity);
});

t.test('one send of several is kept for the most urgent work; where there is but one, who comes first has it', async t => {
	const view = () => ({own: 'a', hosts: ['a'], isSettled: true});
	const several = ColdShare.create({excess: 2, tolerance: 0}, view);
	t.equal(several.left('s', 4, {isUrgent: true}, 0), 4);
	t.equal(several.left('s', 4, {isUrgent: false}, 0), 3);
	const single = ColdShare.create({excess: 1, tolerance: 0}, view);
	t.equal(single.left('s', 1, {isUrgent: false}, 0), 1);
	single.sent('s', 0);
	t.equal(single.left('s', 1, {isUrgent: true}, 0), 0);
});

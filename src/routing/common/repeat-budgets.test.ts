import t, {type Test} from 'tap';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import {SeededRandom} from '../../base/common/random.js';
import {FleetTracker} from '../../peers/common/fleet-tracker.js';
import {RepeatBudgets} from './repeat-budgets.js';
import {SlackShare} from './slack-share.js';
import type {RepeatBounds} from './windowed-budget.js';

const pool = 'p';
const windowMs = 10_000;
const stepMs = 250;
const exchangeIntervalMs = 1000;
const seedCount = 3;

type Host = {readonly name: string; upAtMs: number; tracker: FleetTracker; budgets: RepeatBudgets; group: number};
type Scene = {
	readonly hostCount: number; readonly slack: number; readonly seed: number; readonly forMs: number;
	/** Probability of a kill and of a partition in each second. */
	readonly killShare: number; readonly cutShare: number;
	/** Requests of each host per step; every request fails and is repeated as often as is allowed. */
	readonly requestsPerStep: number;
};

/** Hosts that are killed, started again and partitioned at random, and that repeat as much as they may. */
class RepeatingFleet {
	readonly requests: number[] = [];
	readonly repeats: number[] = [];
	private readonly hosts: Host[];
	private readonly random: SeededRandom;
	private cutUntilMs = 0;

	constructor(private readonly scene: Scene) {
		this.random = SeededRandom.create(scene.seed);
		this.hosts = Array.from({length: scene.hostCount}, (_, index) => this.start(`10.0.${Math.floor(index / 200)}.${index % 200}:1`, 0));
	}

	run(): void {
		for (let nowMs = 0; nowMs < this.scene.forMs; nowMs += stepMs) {
			if (nowMs % exchangeIntervalMs === 0) {
				this.disturb(nowMs);
				this.exchange(nowMs);
			}

			this.requests.push(0);
			this.repeats.push(0);
			for (const host of this.hosts) {
				if (nowMs >= host.upAtMs) {
					this.serve(host, nowMs);
				}
			}
		}
	}

	/** The window that exceeds the bound most, or comes closest to it. */
	worst({ratio, slack}: RepeatBounds): {readonly repeats: number; readonly allowed: number} {
		const steps = windowMs / stepMs;
		const sumOf = (counts: readonly number[], end: number) => counts.slice(Math.max(0, end - steps), Math.max(0, end)).reduce((sum, count) => sum + count, 0);
		const windows = this.repeats.map((_, index) => {
			const requests = Math.max(sumOf(this.requests, index + 1), sumOf(this.requests, index + 1 - steps), sumOf(this.requests, index + 1 - (steps / 2)));
			return {repeats: sumOf(this.repeats, index + 1), allowed: (ratio * requests) + slack};
		});
		return windows.toSorted((left, right) => (right.repeats - right.allowed) - (left.repeats - left.allowed))[0];
	}

	private get seeds(): string[] {
		return this.hosts.slice(0, seedCount).map(({name}) => name);
	}

	private start(name: string, nowMs: number): Host {
		const tracker = FleetTracker.create(name, nowMs);
		const budgets = RepeatBudgets.create({
			bounds: {ratio: 0.2, slack: this.scene.slack, windowMs},
			slack: SlackShare.create({viewOf: atMs => tracker.view(this.seeds, atMs), startedMs: nowMs, isFirstStart: false}),
			log: silentLoggers.for('test'),
			metrics: noMetrics,
		});
		return {
			name, upAtMs: nowMs, tracker, budgets, group: 0,
		};
	}

	private disturb(nowMs: number): void {
		const {random, scene} = this;
		if (random.next() < scene.killShare) {
			const share = random.next();
			for (const [index, host] of this.hosts.entries()) {
				if (random.next() < share) {
					this.hosts[index] = {...this.start(host.name, nowMs + (random.next() * 1500)), group: host.group};
				}
			}
		}

		if (nowMs >= this.cutUntilMs && random.next() < scene.cutShare) {
			this.cutUntilMs = nowMs + 2000 + (random.next() * 15_000);
			const groups = 1 + Math.floor(random.next() * scene.hostCount);
			for (const host of this.hosts) {
				host.group = Math.floor(random.next() * groups);
			}
		} else if (nowMs >= this.cutUntilMs) {
			for (const host of this.hosts) {
				host.group = 0;
			}
		}
	}

	/** Hosts of a group tell each other whom they are connected to. */
	private exchange(nowMs: number): void {
		const up = this.hosts.filter(({upAtMs}) => upAtMs <= nowMs);
		for (const group of new Set(up.map(host => host.group))) {
			const members = up.filter(host => host.group === group);
			const names = members.map(({name}) => name);
			for (const {tracker} of members) {
				tracker.recordSeen(names, nowMs);
			}
		}
	}

	private serve({budgets}: Host, nowMs: number): void {
		for (let index = 0; index < this.scene.requestsPerStep; index++) {
			this.requests[this.requests.length - 1]++;
			budgets.countFirstSends(pool, nowMs);
			while (budgets.tryWithdraw(pool, nowMs)) {
				this.repeats[this.repeats.length - 1]++;
			}
		}
	}
}

function run(t: Test, scene: Scene) {
	const fleet = new RepeatingFleet(scene);
	fleet.run();
	const {repeats, allowed} = fleet.worst({ratio: 0.2, slack: scene.slack, windowMs});
	t.ok(repeats <= allowed, `${scene.hostCount} hosts, seed ${scene.seed}: ${repeats} repeats, allowed ${allowed.toFixed(1)}`);
	return fleet;
}

t.test('hosts that are killed, start again and are partitioned stay within the bound together', async t => {
	for (let seed = 1; seed <= 50; seed++) {
		run(t, {
			hostCount: 5, slack: 58, seed, forMs: 60_000, killShare: 0.4, cutShare: 0.2, requestsPerStep: seed % 3,
		});
	}

	for (const seed of [1, 2, 3]) {
		run(t, {
			hostCount: 838, slack: 400, seed, forMs: 30_000, killShare: 0.3, cutShare: 0.2, requestsPerStep: seed % 2,
		});
	}
});

t.test('most of the bound can be used by hosts that are connected, few or many', async t => {
	for (const [hostCount, slack] of [[1, 50], [5, 58], [68, 176], [838, 400]]) {
		const fleet = run(t, {
			hostCount, slack, seed: 1, forMs: 25_000, killShare: 0, cutShare: 0, requestsPerStep: 1,
		});
		const used = fleet.repeats.slice(-windowMs / stepMs).reduce((sum, count) => sum + count, 0);
		const allowed = (0.2 * hostCount * windowMs / stepMs) + slack;
		t.ok(used >= 0.7 * allowed, `${hostCount} hosts: ${used} of ${allowed} used`);
	}
});

t.test('hosts that were added get their part, and the others give it up', async t => {
	const names = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'];
	const tracker = FleetTracker.create(names[0], 0);
	const share = SlackShare.create({viewOf: nowMs => tracker.view(names.slice(0, 2), nowMs), startedMs: 0, isFirstStart: false});
	t.equal(share.partOf(pool, 60, 5000), undefined, 'a seed was not reached yet');
	t.equal(share.partOf(pool, 60, 60_000), undefined, 'it has seeds but knows nobody');
	tracker.recordSeen(names.slice(1, 3), 60_000);
	t.equal(Math.floor(share.partOf(pool, 60, 63_000) ?? 0), 20);
	tracker.recordSeen(names.slice(1), 64_000);
	t.equal(Math.floor(share.partOf(pool, 60, 64_000) ?? 0), 15);
	t.equal(Math.floor(share.partOf(pool, 60, 94_000) ?? 0), 15, 'hosts that can\'t be reached still count');
});

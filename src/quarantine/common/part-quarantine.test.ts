import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {PartQuarantine} from './part-quarantine.js';

const updateDelayMs = 20;
/** Time after which a part is barred at the latest if nothing clears it, and after which it is tried. */
const barDelayMs = 800;
const trialDelayMs = 1600;

function serverOf(serverId: string): UpstreamServer {
	return {
		serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'h', slots: 1, isLeaving: false,
	};
}

/** Hosts that tell each other what they observe. */
class Hosts {
	readonly clock = ManualClock.create();
	readonly parts: PartQuarantine[] = [];
	readonly barred: string[] = [];
	private readonly didCrash: Array<Emitter<string>> = [];
	private readonly didConclude: Array<Emitter<string>> = [];
	private crashCount = 0;

	constructor(count: number) {
		for (let index = 0; index < count; index++) {
			this.start();
		}
	}

	start(): PartQuarantine {
		const [crashed, concluded] = [Emitter.create<string>(), Emitter.create<string>()];
		const host = PartQuarantine.create({
			crashDetector: {connectionLost: () => true, onDidCrash: crashed.event, onDidConclude: concluded.event}, clock: this.clock, log: silentLoggers.for('test'), metrics: noMetrics,
		});
		host.handlePeerReport(this.parts[0]?.all() ?? [], 'first');
		host.onDidObserve(update => {
			this.clock.setTimer(updateDelayMs, () => {
				for (const other of this.parts.filter(each => each !== host)) {
					other.handlePeerReport([update], 'peer');
				}
			});
		});
		host.onDidBar(part => {
			this.barred.push(part);
		});
		this.parts.push(host);
		this.didCrash.push(crashed);
		this.didConclude.push(concluded);
		return host;
	}

	/** Sends a request whose server crashes, and returns whether it was sent. */
	crash(index: number, parts: readonly string[], ...beside: ReadonlyArray<readonly string[]>): boolean {
		const host = this.parts[index];
		if (host.barredPartOf(parts)) {
			return false;
		}

		this.crashCount++;
		const serverId = `s${this.crashCount}`;
		host.sent(parts);
		for (const each of [parts, ...beside]) {
			host.connectionLost(serverId, each, this.clock.nowMs());
		}

		this.end(index, serverId, true);
		return true;
	}

	end(index: number, serverId: string, hasCrashed: boolean): void {
		if (hasCrashed) {
			this.didCrash[index].fire(serverId);
		}

		this.didConclude[index].fire(serverId);
	}

	/** Returns for each host whether a request is refused. */
	refusals(parts: readonly string[]): boolean[] {
		return this.parts.map(host => host.barredPartOf(parts) !== undefined);
	}

	/** Bars a part with three crashes seen by different hosts. */
	bar(parts: readonly string[]): void {
		for (const index of [0, 1, 2]) {
			this.crash(index % this.parts.length, parts);
			this.clock.advance(100);
		}

		this.clock.advance(barDelayMs);
	}
}

t.test('a part is barred on all hosts after three crashes that different hosts saw, and on a host that starts later', async t => {
	const hosts = new Hosts(3);
	hosts.crash(0, ['dead', 'a']);
	hosts.crash(1, ['b', 'dead']);
	hosts.clock.advance(1000);
	t.same(hosts.refusals(['dead']), [false, false, false]);
	hosts.crash(2, ['dead']);
	hosts.clock.advance(barDelayMs);
	t.same(hosts.refusals(['x', 'dead', 'y']), [true, true, true]);
	t.same(hosts.barred, ['dead', 'dead', 'dead']);
	t.ok(hosts.start().barredPartOf(['dead']));
	t.same(hosts.refusals(['a', 'b']), [false, false, false, false], 'the other parts are not barred');
});

t.test('a part with which a request completes is not barred, at whatever host', async t => {
	const hosts = new Hosts(2);
	for (let count = 0; count < 20; count++) {
		hosts.crash(0, ['dead', 'shared']);
		hosts.clock.advance(300);
		hosts.parts[1].completed(['shared']);
		hosts.clock.advance(300);
	}

	t.same(hosts.barred.filter(part => part !== 'dead'), []);
	t.same(hosts.refusals(['shared']), [false, false]);
});

t.test('servers that crash at the same moment bar no part that completes shortly afterwards', async t => {
	const hosts = new Hosts(2);
	for (let count = 0; count < 6; count++) {
		hosts.crash(count % 2, ['shared']);
	}

	hosts.clock.advance(500);
	t.same(hosts.refusals(['shared']), [false, false]);
	hosts.parts[0].completed(['shared']);
	hosts.clock.advance(5000);
	t.same(hosts.barred, []);
});

t.test('a sound part that always came with the cause is cleared by a trial request, and the cause is not', async t => {
	const hosts = new Hosts(3);
	hosts.bar(['rare', 'dead']);
	t.same(hosts.refusals(['rare']), [true, true, true]);
	hosts.clock.advance(trialDelayMs);
	t.same(hosts.refusals(['rare', 'dead']), [true, true, true], 'a request with both would not show which is the cause');
	t.notOk(hosts.parts[1].barredPartOf(['rare']));
	hosts.parts[1].sent(['rare']);
	hosts.clock.advance(updateDelayMs);
	t.same(hosts.refusals(['rare']), [true, true, true], 'one request is tried at a time');
	hosts.parts[1].completed(['rare']);
	hosts.clock.advance(updateDelayMs);
	t.same(hosts.refusals(['rare']), [false, false, false]);
	t.ok(hosts.crash(2, ['rare', 'dead']), 'then the other part is tried');
	hosts.clock.advance(updateDelayMs);
	t.same(hosts.refusals(['rare', 'dead']), [true, true, true]);
	t.same(hosts.refusals(['rare']), [false, false, false]);
});

t.test('a part that keeps crashing servers is tried at increasing intervals, once for all hosts', async t => {
	const hosts = new Hosts(5);
	hosts.bar(['dead']);
	const startMs = hosts.clock.nowMs();
	const crashedAfterS: number[] = [];
	for (let count = 0; count < 6000; count++) {
		if (hosts.crash(count % 5, ['dead', `own-${count}`])) {
			crashedAfterS.push(Math.round((hosts.clock.nowMs() - startMs) / 1000));
		}

		hosts.clock.advance(100);
	}

	t.same(crashedAfterS, [1, 61, 181, 421]);
});

t.test('a trial that shows nothing is followed by another one soon', async t => {
	const hosts = new Hosts(2);
	hosts.bar(['part']);
	hosts.clock.advance(trialDelayMs);
	hosts.parts[0].sent(['part']);
	hosts.clock.advance(4000);
	t.same(hosts.refusals(['part']), [true, true]);
	hosts.clock.advance(1100);
	t.same(hosts.refusals(['part']), [false, false]);
	hosts.parts[1].completed(['part']);
	hosts.clock.advance(updateDelayMs);
	t.same(hosts.refusals(['part']), [false, false], 'it is let in again');
});

t.test('a response that ends with its connection clears its parts only if the server is still there', async t => {
	const hosts = new Hosts(1);
	for (const [serverId, hasCrashed] of [['first', true], ['second', false]] as const) {
		hosts.crash(0, ['part']);
		hosts.parts[0].completedWithConnection(['part'], serverOf(serverId), hosts.clock.nowMs());
		hosts.end(0, serverId, hasCrashed);
		hosts.clock.advance(1000);
		t.equal(hosts.parts[0].all().some(({part}) => part === 'part'), hasCrashed);
	}
});

t.test('many parts do not evict one that is barred', async t => {
	const hosts = new Hosts(1);
	hosts.bar(['dead']);
	for (let from = 0; from < 12_000; from += 60) {
		hosts.crash(0, Array.from({length: 60}, (_, index) => `p${from + index}`));
	}

	t.equal(hosts.parts[0].all().length, 10_000);
	t.ok(hosts.parts[0].barredPartOf(['dead']));
});

/**
Requests that crash servers, simulated without a network: several hosts with a quarantine each, servers that crash, and updates
that arrive with a delay.

Guards against a caller that repeats a fatal request at any host, while harmless requests run on the same servers and are lost in
the same crashes. Three crashes bar a request, as the users require. Hosts receive each other's updates within milliseconds; the
tests assume 60 ms.
*/
import fc from 'fast-check';
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import {noMetrics} from '../../base/common/metrics.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {PartQuarantine} from './part-quarantine.js';
import {Quarantine, type CompletedResponse} from './quarantine.js';
import {contentIdOf, type ContentSource} from './request-content.js';

const updateDelayMs = 60;

function sourceOf(body: string, workspace = 'w'): ContentSource {
	return {
		workspace, http: {
			method: 'POST', path: '/p', headers: [{name: 'Host', value: 'h'}], body: new TextEncoder().encode(body),
		},
	};
}

function serverOf(serverId: string): UpstreamServer {
	return {
		serverId, instanceId: serverId, startedMs: 0, pool: 'p', address: '127.0.0.1', port: 1, hall: 'h', slots: 1, isLeaving: false,
	};
}

const wholeResponse: CompletedResponse = {
	server: serverOf('live'), sentMs: 0, isSuccess: true, endsWithConnection: false,
};

/** A host. The test decides whether a server whose connection was lost has crashed. */
class Host {
	readonly didCrash = Emitter.create<string>();
	readonly didConclude = Emitter.create<string>();
	readonly suspectServers = new Set<string>();
	readonly barred: string[] = [];
	readonly quarantine: Quarantine;

	constructor(clock: ManualClock) {
		const crashDetector = {
			connectionLost: ({serverId}: UpstreamServer) => {
				this.suspectServers.add(serverId);
				return true;
			},
			isBeingChecked: (serverId: string) => this.suspectServers.has(serverId),
			onDidCrash: this.didCrash.event,
			onDidConclude: this.didConclude.event,
		};
		const common = {clock, log: silentLoggers.for('test'), metrics: noMetrics};
		this.quarantine = Quarantine.create({crashDetector, parts: PartQuarantine.create({crashDetector, ...common}), ...common});
		this.quarantine.onDidBar(contentId => {
			this.barred.push(contentId);
		});
	}

	/** Ends the check of a suspect server. */
	conclude(serverId: string, hasCrashed: boolean): void {
		this.suspectServers.delete(serverId);
		if (hasCrashed) {
			this.didCrash.fire(serverId);
		}

		this.didConclude.fire(serverId);
	}
}

function makeHosts(count: number) {
	const clock = ManualClock.create();
	const hosts: Host[] = [];
	/** Starts or restarts a host, which gets the full record from another host. */
	const startHost = (index: number) => {
		const host = new Host(clock);
		const known = hosts.find((_, other) => other !== index);
		host.quarantine.handlePeerReport(known?.quarantine.all() ?? [], 'peer');
		hosts[index] = host;
		host.quarantine.onDidObserve(update => {
			clock.setTimer(updateDelayMs, () => {
				for (const other of hosts) {
					other.quarantine.handlePeerReport([update], 'peer');
				}
			});
		});
	};

	for (let index = 0; index < count; index++) {
		startHost(index);
	}

	return {clock, hosts, startHost};
}

/** Simulates a server that crashes while it runs requests of a host. */
function crashServer(host: Host, serverId: string, ...sources: ContentSource[]): void {
	for (const source of sources) {
		host.quarantine.connectionLost(contentIdOf(source), serverOf(serverId), 'r');
	}

	host.conclude(serverId, true);
}

t.test('three crashes on three hosts bar a request on all hosts; requests with another body or workspace are not affected', async t => {
	const {clock, hosts} = makeHosts(4);
	for (const index of [0, 1, 2]) {
		crashServer(hosts[index], `s${index}`, sourceOf('fatal'));
		clock.advance(updateDelayMs);
	}

	t.same(hosts.map(({quarantine}) => quarantine.standingOf(sourceOf('fatal')).type), ['barred', 'barred', 'barred', 'barred']);
	t.same(hosts.map(({barred}) => barred), hosts.map(() => [contentIdOf(sourceOf('fatal'))]));
	t.equal(hosts[0].quarantine.standingOf(sourceOf('other')).type, 'clear');
	t.equal(hosts[0].quarantine.standingOf(sourceOf('fatal', 'someone else')).type, 'clear', 'a workspace can\'t get the requests of another workspace barred');
	const late = new Host(clock);
	late.quarantine.handlePeerReport(hosts[3].quarantine.all(), 'peer');
	t.equal(late.quarantine.standingOf(sourceOf('fatal')).type, 'barred', 'on a host that starts later');
});

t.test('a request that may have crashed its third server waits until that is known', async t => {
	const {hosts: [host]} = makeHosts(1);
	crashServer(host, 's0', sourceOf('fatal'));
	crashServer(host, 's1', sourceOf('fatal'));
	host.quarantine.connectionLost(contentIdOf(sourceOf('fatal')), serverOf('s2'), 'r');
	t.equal(host.quarantine.standingOf(sourceOf('fatal')).type, 'inDoubt');
	host.conclude('s2', false);
	t.equal(host.quarantine.standingOf(sourceOf('fatal')).type, 'clear', 'only the connection was lost');
});

t.test('a request that gets a complete response is cleared on all hosts, although it was barred', async t => {
	const {clock, hosts} = makeHosts(2);
	for (const serverId of ['s0', 's1', 's2']) {
		crashServer(hosts[0], serverId, sourceOf('polled'));
	}

	clock.advance(updateDelayMs);
	t.equal(hosts[1].quarantine.standingOf(sourceOf('polled')).type, 'barred');
	hosts[1].quarantine.completed(sourceOf('polled'), wholeResponse);
	clock.advance(updateDelayMs);
	t.same(hosts.map(({quarantine}) => quarantine.standingOf(sourceOf('polled')).type), ['clear', 'clear']);
});

t.test('after a minute one host tries a barred request, and no other host does at the same time', async t => {
	const {clock, hosts} = makeHosts(3);
	for (const serverId of ['s0', 's1', 's2']) {
		crashServer(hosts[0], serverId, sourceOf('unlucky'));
	}

	clock.advance(60_000 + updateDelayMs);
	t.equal(hosts[1].quarantine.standingOf(sourceOf('unlucky')).type, 'clear');
	hosts[1].quarantine.sent(sourceOf('unlucky'));
	clock.advance(updateDelayMs);
	t.same(hosts.map(({quarantine}) => quarantine.standingOf(sourceOf('unlucky')).type), ['barred', 'barred', 'barred']);
	hosts[1].quarantine.completed(sourceOf('unlucky'), wholeResponse);
	clock.advance(updateDelayMs);
	t.same(hosts.map(({quarantine}) => quarantine.standingOf(sourceOf('unlucky')).type), ['clear', 'clear', 'clear']);
});

/** One request of a random sequence. */
type Attempt = {
	readonly host: number;
	readonly body: string;
	/** Harmless requests that run on the same server at the same time. */
	readonly beside: readonly string[];
	/** Whether the connection is lost while the server keeps running. */
	readonly isCut: boolean;
	/** Whether the host restarts afterwards. */
	readonly startsAnew: boolean;
};

/**
Sends the requests 0.1 s apart, then each harmless request once a second for two minutes. Returns how many servers crashed, and
whether all harmless requests were served in the last second.
*/
function playAttempts(attempts: readonly Attempt[]) {
	const {clock, hosts, startHost} = makeHosts(5);
	let crashCount = 0;
	const play = ({host: index, body, beside, isCut}: Attempt) => {
		const {quarantine} = hosts[index];
		const source = sourceOf(body);
		if (quarantine.standingOf(source).type !== 'clear') {
			return false;
		}

		quarantine.sent(source);
		if (body === 'fatal') {
			crashCount++;
			crashServer(hosts[index], `s${crashCount}`, source, ...beside.map(item => sourceOf(item)));
		} else if (isCut) {
			quarantine.connectionLost(contentIdOf(source), serverOf(`live-${body}`), 'r');
			hosts[index].conclude(`live-${body}`, false);
		} else {
			quarantine.completed(source, wholeResponse);
		}

		return true;
	};

	for (const item of attempts) {
		clock.advance(100);
		play(item);
		if (item.startsAnew) {
			startHost(item.host);
		}
	}

	let isServed = false;
	for (let second = 0; second < 120; second++) {
		clock.advance(1000);
		isServed = ['a', 'b', 'c'].map(body => play({
			host: second % 5, body, beside: [], isCut: false, startsAnew: false,
		})).every(Boolean);
	}

	return {crashCount, isServed};
}

t.test('random sequences: a fatal request reaches three servers at most, and harmless requests are served in the end', async () => {
	const attemptsArbitrary = fc.array(fc.record({
		host: fc.nat(4), body: fc.constantFrom('fatal', 'fatal', 'a', 'b', 'c'), beside: fc.subarray(['a', 'b', 'c']), isCut: fc.boolean(), startsAnew: fc.nat(9).map(value => value === 0),
	}), {minLength: 60, maxLength: 60});
	fc.assert(fc.property(attemptsArbitrary, attempts => {
		const {crashCount, isServed} = playAttempts(attempts);
		return crashCount <= 3 && isServed;
	}), {seed: 1, numRuns: 300});
});

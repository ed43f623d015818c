/**
Tests streams that callers resume at other hosts while servers of two software versions run, with real hosts.

Guards against streams with events of two software versions over a caller's tries, and against streams that are lost although servers of their version run.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {waitUntil, type RunningEntry} from './direct-harness.js';
import {addHosts, makeFleet} from './direct-load.js';
import {readStream} from './stream-caller.js';
import {
	checkAllWhole, checkNotMixed, countLines, countOf, eventCount, leaveOneOfEach, makeVersionedFleet, readStreams, stepMs, waitUntilLogged,
} from './versioned-fleet.js';

/** Longer than a caller may wait that states 4.5 s of the route's limit of 5 s, and a margin of 5 s. */
const observationMs = 6500;

/** A host that is started when the first caller needs it. */
class LateHost {
	private host: RunningEntry | undefined;
	private starting: Promise<void> | undefined;

	constructor(private readonly startHost: () => Promise<RunningEntry>) {}

	get running(): RunningEntry {
		return this.host!;
	}

	get callers(): RunningEntry['callers'] {
		return this.running.callers;
	}

	async start(): Promise<void> {
		this.starting ??= this.startOnce();
		await this.starting;
	}

	private async startOnce(): Promise<void> {
		this.host = await this.startHost();
	}
}

t.test('streams that callers break off twice are continued at other hosts at the same software version', async t => {
	const {old, fresh, fleet, hosts} = await makeVersionedFleet(t, 3);
	let startedCount = 0;
	const outcomes = await readStreams(60, index => {
		startedCount++;
		if (startedCount === 30) {
			leaveOneOfEach({fleet, old, fresh});
		}

		return {id: `left-${index}`, hosts: [0, 1, 2].map(offset => hosts[(index + offset) % 3]), breaksOffAfter: 2};
	});
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
});

t.test('streams of a host that is lost are continued at the other hosts at the same software version', async t => {
	const {hosts} = await makeVersionedFleet(t, 3);
	let begunCount = 0;
	const outcomes = await Promise.all(Array.from({length: 60}, async (_, index) => readStream({
		id: `lost-${index}`,
		hosts: [hosts[0], hosts[1 + (index % 2)]],
		onFirstEvent() {
			begunCount++;
			if (begunCount === 60) {
				setTimeout(() => {
					hosts[0].entry.lifecycle.stopNow();
				}, stepMs);
			}
		},
	})));
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
	const continuedTries = outcomes.reduce((sum, outcome) => sum + outcome.continuedTries, 0);
	t.equal(countOf(hosts.slice(1), 'resumptions', 'continued'), continuedTries, 'each resumption is counted');
	t.equal(countLines(hosts.slice(1), 'A caller resumes a stream.'), continuedTries, 'and logged');
});

t.test('streams are continued at a host that started after they began, at the same software version', async t => {
	const {fleet, old, fresh, hosts} = await makeVersionedFleet(t, 2);
	const late = new LateHost(async () => {
		leaveOneOfEach({fleet, old, fresh});
		return fleet.addReadyEntry();
	});
	const outcomes = await readStreams(60, index => ({
		id: `late-${index}`, hosts: [hosts[index % 2], late], breaksOffAfter: 2, beforeResuming: async () => late.start(),
	}));
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
});

t.test('streams without prompts are continued at the same software version while the store does not respond', async t => {
	const {fleet, hosts} = await makeVersionedFleet(t, 3);
	for (const server of fleet.servers) {
		server.cutsStream = id => Number(id.split('-')[1]) % 2 === 0;
	}

	fleet.store.mode = 'silent';
	const outcomes = await readStreams(60, index => ({
		id: `plain-${index}`, headers: {'prompt-prefix': ''}, hosts: [0, 1, 2].map(offset => hosts[(index + offset) % 3]), breaksOffAfter: 5,
	}));
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
});

t.test('streams are continued at a host that started while the store was unavailable, at the same software version', async t => {
	const {fleet, hosts} = await makeVersionedFleet(t, 2);
	const late = new LateHost(async () => {
		fleet.store.mode = 'busy';
		fleet.store.forgetHistory();
		return fleet.addReadyEntry();
	});
	const outcomes = await readStreams(60, index => ({
		id: `away-${index}`, hosts: [hosts[index % 2], late], breaksOffAfter: 2, beforeResuming: async () => late.start(),
	}));
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
});

t.test('streams are continued at the host at which they began after it has restarted, at the same software version', async t => {
	const {fleet, hosts} = await makeVersionedFleet(t, 3);
	const restarted = new LateHost(async () => {
		hosts[0].entry.lifecycle.stopNow();
		return fleet.addReadyEntry({hostId: 'entry-0'});
	});
	let begunCount = 0;
	const outcomes = await Promise.all(Array.from({length: 60}, async (_, index) => readStream({
		id: `restart-${index}`,
		hosts: [hosts[0], restarted],
		breaksOffAfter: 2,
		onFirstEvent() {
			begunCount++;
		},
		async beforeResuming() {
			await waitUntil(() => begunCount === 60);
			await restarted.start();
		},
	})));
	checkNotMixed(t, outcomes);
	checkAllWhole(t, outcomes);
});

t.test('a host that is cut off from the others continues only streams that it knows', async t => {
	const {fleet, hosts} = await makeVersionedFleet(t, 2);
	const cutOff = await fleet.addReadyEntry({wireSecret: 'another secret'});
	const all = [cutOff, ...hosts];
	const known = await readStreams(30, index => ({id: `known-${index}`, hosts: [cutOff, cutOff], breaksOffAfter: 2}));
	checkNotMixed(t, known);
	checkAllWhole(t, known);
	const unknown = await readStreams(30, index => ({id: `other-${index}`, hosts: index % 2 === 0 ? [hosts[0], cutOff] : [cutOff, hosts[1]], breaksOffAfter: 2}));
	checkNotMixed(t, unknown);
	t.ok(unknown.every(({statuses}) => statuses.at(-1) === 503), 'what began on the other side is refused');
	t.equal(countOf(all, 'resumptions', 'continued'), 30);
	t.equal(countOf(all, 'resumptions', 'unknown'), 30, 'each refusal is counted');
	t.equal(countLines(all, '"outcome":"unknown"'), 30, 'and logged');
});

/*
Guards against streams that are lost with all hosts although their servers run on, and against those that are continued then at another version.
*/
t.test('streams of the only software version are continued after the loss of all hosts, others are not', async t => {
	const fleet = await makeFleet(t);
	const servers = await fleet.addModels('v1.1', 3, stepMs);
	t.teardown(() => {
		for (const server of servers) {
			server.dispose();
		}
	});
	for (const server of servers) {
		server.eventCount = eventCount;
	}

	const hosts = await addHosts(fleet, 2);
	// Hosts claim that there was a single version only for the time in which they have observed it.
	await sleep(observationMs);
	const loseAndResume = async (prefix: string, lost: readonly RunningEntry[], change: () => Promise<void>) => {
		let begunCount = 0;
		const started = new LateHost(async () => {
			await change();
			for (const {entry} of lost) {
				entry.lifecycle.stopNow();
			}

			return fleet.addReadyEntry();
		});
		const outcomes = await Promise.all(Array.from({length: 30}, async (_, index) => readStream({
			id: `${prefix}-${index}`,
			hosts: [lost[index % lost.length], started],
			isUnnamed: index % 3 === 0,
			breaksOffAfter: 2,
			onFirstEvent() {
				begunCount++;
			},
			async beforeResuming() {
				await waitUntil(() => begunCount === 30);
				await started.start();
			},
		})));
		return {outcomes, started};
	};

	const sole = await loseAndResume('sole', hosts, async () => undefined);
	checkNotMixed(t, sole.outcomes);
	t.equal(sole.outcomes.filter(({continuedTries}) => continuedTries === 0).length, 0, 'all streams are continued');

	const replaced = await loseAndResume('replaced', [sole.started.running], async () => {
		const [fresh] = await fleet.addModels('v1.2', 1, stepMs);
		fresh.eventCount = eventCount;
		await waitUntilLogged([sole.started.running], `"${fresh.serverId}"`);
		for (const {serverId} of servers) {
			fleet.store.remove('servers', serverId);
		}

		fleet.servers.splice(0, servers.length);
		await waitUntil(() => fleet.store.textOf('versions', 'history').includes('"lastMs"'));
	});
	checkNotMixed(t, replaced.outcomes);
	t.ok(replaced.outcomes.every(({statuses}) => statuses.at(-1) === 503), 'the version that began them is gone');
});

/*
Guards against answers joined of two versions after the loss of all hosts: streams were taken for younger than they were, as their callers wait for longer than the route's
limit or state another time limit at each try, so that only the newer version seemed to have served since they began.
*/
t.test('streams are not continued at another version after the loss of all hosts, whatever their callers state of their time', async t => {
	const fleet = await makeFleet(t);
	const old = await fleet.addModels('v1.1', 3, stepMs);
	t.teardown(() => {
		for (const server of old) {
			server.dispose();
		}
	});
	for (const server of old) {
		server.eventCount = eventCount;
	}

	const hosts = await addHosts(fleet, 2);
	let begunCount = 0;
	const started = new LateHost(async () => {
		const [fresh] = await fleet.addModels('v1.2', 1, stepMs);
		fresh.eventCount = eventCount;
		await waitUntilLogged(hosts, `"${fresh.serverId}"`);
		for (const {serverId} of old) {
			fleet.store.remove('servers', serverId);
		}

		fleet.servers.splice(0, old.length);
		await waitUntil(() => fleet.store.textOf('versions', 'history').includes('"lastMs"'));
		for (const {entry} of hosts) {
			entry.lifecycle.stopNow();
		}

		const host = await fleet.addReadyEntry({isFirstStart: false});
		await sleep(observationMs);
		return host;
	});
	const statedMs = ['60000', '4500', ''];
	const count = 40;
	const outcomes = await Promise.all(Array.from({length: count}, async (_, index) => readStream({
		id: `older-${index}`,
		hosts: [hosts[index % 2], started],
		isUnnamed: index % 3 === 0,
		headers: {'deadline-ms': statedMs[index % statedMs.length]},
		breaksOffAfter: 2,
		onFirstEvent() {
			begunCount++;
		},
		async beforeResuming() {
			await waitUntil(() => begunCount === count);
			await started.start();
		},
	})));
	checkNotMixed(t, outcomes);
	t.ok(outcomes.every(({statuses}) => statuses.at(-1) === 503), 'they are refused as not run');
});

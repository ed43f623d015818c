/**
Tests streams that callers resume at other hosts while servers of two software versions run, with real hosts.

Guards against streams with events of two software versions over a caller's tries, and against streams that are lost although servers of their version run.
*/
import t from 'tap';
import {waitUntil, type RunningEntry} from './direct-harness.js';
import {readStream} from './stream-caller.js';
import {
	checkAllWhole, checkNotMixed, countLines, countOf, leaveOneOfEach, makeVersionedFleet, readStreams, stepMs,
} from './versioned-fleet.js';

/** A host that is started when the first caller needs it. */
class LateHost {
	private host: RunningEntry | undefined;
	private starting: Promise<void> | undefined;

	constructor(private readonly startHost: () => Promise<RunningEntry>) {}

	get callers(): RunningEntry['callers'] {
		return this.host!.callers;
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

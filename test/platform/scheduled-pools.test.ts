/**
Tests pools whose scheduler admits requests by quotes, with three real hosts and a chain of two pools.

Guards, under a burst of twice the capacity, against requests that end twice or never, refusals whose work was run, urgent requests that
are refused beside a crowd, and reservations or queued work of requests that have ended, also when the scheduling host stops or fails.
*/
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {SeededRandom} from '../../src/base/common/random.js';
import {requestLogMessages} from '../../src/request/common/request-log-messages.js';
import {rendezvousOwner} from '../../src/routing/common/rendezvous.js';
import {
	completeStream, configOf, sendRequest, streamCall, type CallerResponse, type DirectFleet, type RunningEntry,
} from './direct-harness.js';
import {addHosts, makeFleet} from './direct-load.js';
import type {ServerStandin} from './server-standin.js';

/** Pools of the two steps. Different hosts schedule them. */
const pools = ['detect', 'encode'];
const callMs = 40;
const itemMs = 5;
const batchSize = 4;
const fullCallMs = callMs + (batchSize * itemMs);
const serversPerPool = 2;
const piecesPerStep = 2;
/** Requests per second that the pools can do. */
const capacityPerS = serversPerPool * batchSize / piecesPerStep * 1000 / fullCallMs;
/** The pools are scheduled if this is at least 7/3 of the full calls of the chain, 280 ms. */
const targetMs = 1000;
/** All callers state the time limit of their route, so that none is taken for a returning one. */
const timeoutMs = 4000;
const urgentShare = 1 / 12;
/** Requests that the pools do within a third of the target, so that they are all in time unless other work is before them. */
const probeCount = 18;
/** The reservations of a pool are logged once a second, and end 3 s after they should have been used. */
const reservationsLoggedMs = 1100;

type Kind = 'urgent' | 'crowd';
type Sent = {readonly id: string; readonly kind: Kind; readonly host: RunningEntry; readonly response: Promise<CallerResponse | 'cut'>};
type Answered = Omit<Sent, 'response'> & {readonly answer: CallerResponse | 'cut'};
type LogLine = {readonly message: string; readonly request?: string; readonly reason?: string; readonly pool?: string};

const route = (name: Kind, prio: number) => ({
	name, hostname: 'site.example', pathPrefix: `/${name}/`, routeType: 'streaming', timeoutMs, goalMs: targetMs, prio, backend: 'model', maxAttempts: 1, isPublic: false, canResume: true,
	phases: pools.map((backend, step) => ({backend, sinceRev: step === 0 ? [] : [step - 1], byteCount: 1000})),
});

/** Three hosts, the stand-ins of both pools and of the model, and the requests that were sent. */
class ScheduledFleet {
	static async create(t: Test): Promise<ScheduledFleet> {
		const fleet = await makeFleet(t);
		const config = configOf(2);
		fleet.store.put('op', 'config', {
			...config,
			routes: [route('urgent', 0), route('crowd', 2)],
			backends: [...config.backends, ...pools.map(name => ({
				name, maxConns: 50, segments: {
					slotCount: 1, queueName: 2, batchSize, callMs, itemMs, headroomMb: 1, sessionTtlS: 4, linkMbps: 1000,
				},
			}))],
		});
		const stages: ServerStandin[] = [];
		for (const pool of pools) {
			stages.push(...await fleet.addServers(pool, serversPerPool, fullCallMs));
		}

		const [model] = await fleet.addServers('model', 1);
		return new ScheduledFleet(fleet, stages, model, await addHosts(fleet, 3));
	}

	readonly sent: Sent[] = [];

	private constructor(readonly fleet: DirectFleet, readonly stages: readonly ServerStandin[], readonly model: ServerStandin, readonly hosts: readonly RunningEntry[]) {}

	/** The host that schedules the first pool, where the queue of a burst is. */
	get scheduler(): RunningEntry {
		const [first, second] = pools.map(pool => rendezvousOwner(pool, this.hosts.map((_, index) => `entry-${index}`))!);
		if (first === second) {
			throw new Error('One host schedules both pools');
		}

		return this.hosts[Number(first.split('-')[1])];
	}

	send(host: RunningEntry, kind: Kind, signal?: AbortSignal): Sent {
		const id = `${kind}-${this.sent.length}`;
		const call = streamCall(`/${kind}/1`, {
			id, signal, deadlineMs: timeoutMs, headers: {'chunk-count': `${piecesPerStep},${piecesPerStep}`, 'chunk-key': id, 'prompt-prefix': `${id}:10`},
		});
		const sent = {
			id, kind, host, response: sendRequest(host, call).catch(() => 'cut' as const),
		};
		this.sent.push(sent);
		return sent;
	}

	/**
	Sends twice as many requests as the pools can do, at random times, to hosts in random order.
	@param seed - seed of the times, hosts and kinds.
	@param forS - duration in seconds.
	@param onHalf - called once half of the requests are sent; returns the hosts that get the others.
	*/
	async burst(seed: number, forS: number, onHalf?: () => readonly RunningEntry[]): Promise<void> {
		const random = SeededRandom.create(seed);
		const count = Math.round(2 * capacityPerS * forS);
		const startMs = performance.now();
		let {hosts} = this;
		let dueMs = 0;
		for (let index = 0; index < count; index++) {
			dueMs += 2 * random.next() * forS * 1000 / count;
			await sleep(Math.max(0, startMs + dueMs - performance.now()));
			if (index === Math.floor(count / 2)) {
				hosts = onHalf?.() ?? hosts;
			}

			this.send(hosts[random.int(hosts.length)], random.next() < urgentShare ? 'urgent' : 'crowd');
		}
	}

	/** Returns the IDs of the requests of which pieces were sent to an upstream, one for each piece. */
	piecesSent(): string[] {
		return this.stages.flatMap(({stageCalls}) => stageCalls.flat().map(({instanceId}) => String(instanceId)));
	}

	/** Returns the IDs of the requests that were sent to the model, one for each call. */
	modelCalls(): string[] {
		return this.model.seen.map(({id}) => id);
	}

	/**
	Asserts that each request ended once, and that it got an answer of its own or was refused as not run, on admission or as late.
	@param mayBeCut - whether the connection of a request may close without a response.
	*/
	async assertEnds(t: Test, mayBeCut: (sent: Pick<Sent, 'host'>) => boolean = () => false): Promise<Answered[]> {
		const answers: Answered[] = await Promise.all(this.sent.map(async ({response, ...sent}) => ({...sent, answer: await response})));
		const calls = this.modelCalls();
		t.equal(new Set(calls).size, calls.length, 'no request runs twice on the model');
		const called = new Set(calls);
		const problems = answers.flatMap(({id, host, answer}) => {
			if (answer === 'cut' || !answer.isWhole) {
				return mayBeCut({host}) ? [] : [`${id} has no whole response`];
			}

			const {status, headers, text} = answer;
			const isServed = status === 200 && called.has(id) && headers['attempt-id'] === id && text === completeStream;
			const isRefused = status === 503 && !called.has(id) && text.startsWith('Not run') && Number(headers['retry-after']) > 0;
			const ends = parseLines(host).filter(line => line.request === id && endMessages.has(line.message)).map(({message}) => message);
			// On a busy machine calls take longer than quoted, and work that was admitted may become late; it is refused then.
			const hasOneEnd = ends.length === 1 && (isServed || text.includes('came to nothing: late')) === (ends[0] === requestLogMessages.ended);
			return (isServed || isRefused) && (hasOneEnd || mayBeCut({host})) ? [] : [`${id}: ${status} ${text.slice(0, 80)} ${ends.join(' ')}`];
		});
		t.same(problems, [], 'each request ends once, with its own answer or not run');
		t.same(this.foreignInputs(), [], 'no request gets results of another one');
		return answers;
	}

	/** Asserts that nothing remains of the requests that have ended: no host logs reservations, and new requests are admitted in time. */
	async assertIdle(t: Test, hosts: readonly RunningEntry[]): Promise<void> {
		const single = this.send(hosts[0], 'crowd');
		t.match(await single.response, {status: 200, text: completeStream}, 'a new request is served');
		const lineCounts = hosts.map(({lines}) => lines.length);
		const newLines = () => hosts.flatMap((host, index) => parseLines(host, lineCounts[index]));
		const isReservations = ({message}: LogLine) => message === 'Requests have reserved work in a pool.';
		t.ok(hosts.some(host => parseLines(host).some(line => isReservations(line))), 'reservations were logged before');
		await sleep(reservationsLoggedMs);
		t.same(newLines().filter(line => isReservations(line)), [], 'no request holds a reservation');
		const probes = Array.from({length: probeCount}, (_, index) => this.send(hosts[index % hosts.length], 'crowd'));
		for (const {id, response} of probes) {
			t.match(await response, {status: 200, text: completeStream, headers: {'attempt-id': id}}, id);
		}

		const ids = new Set(probes.map(({id}) => id));
		t.same(newLines().filter(line => ids.has(line.request ?? '') && 'latePredictedMs' in line), [], 'none is admitted late');
	}

	/** Returns the IDs of the requests for which the model or the second pool read results that were computed for another request. */
	private foreignInputs(): string[] {
		// A stand-in numbers its results in the order of its pieces.
		const owners = new Map(this.stages.flatMap(({address, serverId, stageCalls}) => stageCalls.flat().map(({instanceId}, index) => [`${address}/${serverId}-${index + 1}`, instanceId])));
		const reads = [
			...this.model.seen.map(({id, headers}) => ({id, inputs: String(headers['input-count']).split(',')})),
			...this.stages.flatMap(({stageCalls}) => stageCalls.flat().map(({instanceId, inputList}) => ({id: String(instanceId), inputs: (inputList ?? []) as string[]}))),
		];
		return reads.filter(({id, inputs}) => inputs.some(input => owners.get(input) !== id)).map(({id}) => id);
	}
}

const endMessages = new Set<string>([requestLogMessages.ended, requestLogMessages.refusedByQuotes, requestLogMessages.refusedForPredictedWait, requestLogMessages.refusedOnAdmission]);

function parseLines({lines}: RunningEntry, from = 0): LogLine[] {
	return lines.slice(from).map(line => JSON.parse(line) as LogLine);
}

/*
Guards against urgent requests that are refused or starve beside a crowd, refusals of requests whose steps were run, and refusals that
do not say why and when to return.
*/
t.test('a burst of twice the capacity is admitted by rank; what is refused is not run', async t => {
	const fleet = await ScheduledFleet.create(t);
	await fleet.burst(1, 2);
	const answers = await fleet.assertEnds(t);
	const refused = answers.filter(({answer}) => answer !== 'cut' && answer.status === 503);
	const ran = new Set(fleet.piecesSent());
	t.same(refused.filter(({id}) => ran.has(id)).map(({id}) => id), [], 'no step of a refused request ran');
	t.same(refused.filter(({kind}) => kind === 'urgent').map(({id}) => id), [], 'urgent requests are served');
	t.ok(answers.some(({kind}) => kind === 'urgent') && refused.length > 0, `${refused.length} of ${answers.length} are refused`);
	const byQuotes = fleet.hosts.flatMap(host => parseLines(host)).filter(({message}) => message === requestLogMessages.refusedByQuotes);
	t.ok(byQuotes.length > 0, `${byQuotes.length} are refused by quotes`);
	t.ok(byQuotes.every(({reason, pool}) => ['overTarget', 'noCapacity'].includes(reason!) && pools.includes(pool!)), 'the log names the reason and the pool');
});

/* Guards against requests that are lost or run twice when the queue and the reservations of a pool move to another host. */
t.test('the scheduler of a pool stops during a burst', async t => {
	const fleet = await ScheduledFleet.create(t);
	const {scheduler} = fleet;
	let stopped: Promise<void> | undefined;
	await fleet.burst(2, 1.5, () => {
		stopped = scheduler.entry.lifecycle.stop();
		return fleet.hosts;
	});
	await fleet.assertEnds(t);
	await fleet.assertIdle(t, fleet.hosts.filter(host => host !== scheduler));
	await stopped;
	t.match(parseLines(scheduler).find(({message}) => message === 'The entry has stopped.'), {open: 0});
});

/* Guards against requests of other hosts that are lost or run twice with the host that queued their steps, and reservations of its requests that remain. */
t.test('the scheduler of a pool is lost during a burst', async t => {
	const fleet = await ScheduledFleet.create(t);
	const {scheduler} = fleet;
	const others = fleet.hosts.filter(host => host !== scheduler);
	await fleet.burst(3, 1.5, () => {
		scheduler.entry.lifecycle.stopNow();
		return others;
	});
	const answers = await fleet.assertEnds(t, ({host}) => host === scheduler);
	t.ok(answers.some(({answer}) => answer === 'cut'), 'the lost host had open requests');
	await fleet.assertIdle(t, others);
});

/* Guards against work for callers that have left, which delays others, and against reservations that they leave behind. */
t.test('nothing is sent for callers that leave while they wait for quotes or in the queue', async t => {
	const fleet = await ScheduledFleet.create(t);
	const random = SeededRandom.create(4);
	const leaving = new Map<string, AbortController>();
	const sendLeaving = (host: RunningEntry) => {
		const controller = new AbortController();
		leaving.set(fleet.send(host, 'crowd', controller.signal).id, controller);
		return controller;
	};

	for (let index = 0; index < 80; index++) {
		const host = fleet.hosts[random.int(3)];
		if (index % 2 === 1) {
			sendLeaving(host);
		} else {
			fleet.send(host, 'crowd');
		}
	}

	await sleep(2 * fullCallMs);
	const ran = new Set(fleet.piecesSent());
	const closedIds = new Set(fleet.hosts.flatMap(host => parseLines(host)).filter(({message}) => endMessages.has(message)).map(({request}) => request));
	const waiting = [...leaving.keys()].filter(id => !ran.has(id) && !closedIds.has(id));
	t.ok(waiting.length > 5, `${waiting.length} callers leave while their requests are queued`);
	for (const controller of leaving.values()) {
		controller.abort();
	}

	// A request takes a few turns of the event loop until its quotes are there; the callers leave after different numbers of turns.
	for (let index = 0; index < 40; index++) {
		const controller = sendLeaving(fleet.hosts[index % 3]);
		for (let turn = 0; turn < index / 2; turn++) {
			await nextTurn();
		}

		controller.abort();
	}

	await sleep(500);
	const callCounts = fleet.stages.map(({stageCalls}) => stageCalls.length);
	const modelCount = fleet.model.seen.length;
	const staying = fleet.sent.filter(({id}) => !leaving.has(id));
	const answers = await Promise.all(staying.map(async ({response}) => response));
	t.ok(answers.every(answer => answer !== 'cut' && [200, 503].includes(answer.status)), 'the others are answered');
	await fleet.assertIdle(t, fleet.hosts);
	const later = [...fleet.stages.flatMap(({stageCalls}, index) => stageCalls.slice(callCounts[index]).flat().map(({instanceId}) => String(instanceId))), ...fleet.modelCalls().slice(modelCount)];
	t.ok(later.length > 0);
	t.same(later.filter(id => leaving.has(id)), [], 'nothing is sent half a second after they left');
});

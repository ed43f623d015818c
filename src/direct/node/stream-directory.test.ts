/**
Guards against streams that callers can't resume at another host, or resume at another software version: a host that knows nothing of a stream must
find out from the others where it began, and must not answer before it can know that none of them knows. What a stream costs must not grow
with the number of hosts.
*/
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {keeperCount} from '../common/stream-keepers.js';
import type {StreamRecord} from '../common/stream-origins.js';
import type {PeerMessage} from '../../peers/node/peer-mesh.js';
import type {Message} from '../../wire/common/messages.js';
import {StreamDirectory} from './stream-directory.js';

const v1 = {pool: 'p', softwareVersion: 'v1'};
const lifeMs = 10_000;

type Host = {readonly directory: StreamDirectory; readonly receive: Emitter<PeerMessage>; readonly connect: Emitter<string>; receivedCount: number};

/** Hosts whose messages arrive immediately, unless a host is cut off from the others. */
class Hosts {
	readonly clock = ManualClock.create();
	readonly cutOff = new Set<string>();
	isSettled = true;
	private readonly hosts = new Map<string, Host>();

	constructor(count: number) {
		for (let index = 0; index < count; index++) {
			this.add(`h${index}`);
		}
	}

	get names(): string[] {
		return [...this.hosts.keys()];
	}

	get messageCount(): number {
		let sum = 0;
		for (const {receivedCount} of this.hosts.values()) {
			sum += receivedCount;
		}

		return sum;
	}

	/** Starts a host, which has no connection yet. */
	add(hostId: string): StreamDirectory {
		const receive = Emitter.create<PeerMessage>();
		const connect = Emitter.create<string>();
		const peersOf = () => this.peersOf(hostId);
		const allNames = () => this.names;
		const isFleetSettled = () => this.isSettled;
		const directory = StreamDirectory.create({
			hostId,
			clock: this.clock,
			mesh: {
				onDidReceive: receive.event,
				onDidConnect: connect.event,
				get liveHosts() {
					return peersOf();
				},
				fleetView: () => ({
					ownName: hostId, hosts: allNames(), isSettled: isFleetSettled(), unseenSeedCount: 0,
				}),
				send: (to, message) => this.deliver(hostId, to, message),
			},
		});
		this.hosts.set(hostId, {
			directory, receive, connect, receivedCount: 0,
		});
		return directory;
	}

	of(hostId: string): StreamDirectory {
		return this.hosts.get(hostId)!.directory;
	}

	lose(hostId: string): void {
		this.hosts.get(hostId)?.directory.dispose();
		this.hosts.delete(hostId);
	}

	/** Connects a host to all others. */
	reconnect(hostId: string): void {
		this.cutOff.delete(hostId);
		for (const other of this.peersOf(hostId)) {
			this.hosts.get(other)!.connect.fire(hostId);
			this.hosts.get(hostId)!.connect.fire(other);
		}
	}

	private peersOf(hostId: string): string[] {
		return this.cutOff.has(hostId) ? [] : this.names.filter(other => other !== hostId && !this.cutOff.has(other));
	}

	private deliver(from: string, to: string, message: Message): boolean {
		const host = this.hosts.get(to);
		if (!host || !this.peersOf(from).includes(to)) {
			return false;
		}

		host.receivedCount++;
		host.receive.fire({hostId: from, message});
		return true;
	}
}

type Answer = {isThere: boolean; record: StreamRecord | undefined};

/** Starts to look up a stream. */
function startLookup(directory: StreamDirectory, streamId: string): Answer {
	const answer: Answer = {isThere: false, record: undefined};
	void (async () => {
		answer.record = await directory.lookUp(streamId);
		answer.isThere = true;
	})();

	return answer;
}

const turn = async () => new Promise(resolve => {
	setImmediate(resolve);
});

t.test('any host finds a stream, after the loss of the host at which it began and of others', async t => {
	for (const count of [3, 5, 40]) {
		const hosts = new Hosts(count);
		const ids = Array.from({length: 60}, (_, index) => `s${index}`);
		for (const [index, id] of ids.entries()) {
			hosts.of(`h${index % 2}`).recordBegun(id, v1, lifeMs);
		}

		hosts.lose('h0');
		hosts.lose('h1');
		const found = await Promise.all(ids.map(async (id, index) => hosts.of(hosts.names[index % hosts.names.length]).lookUp(id)));
		t.equal(found.filter(record => record?.origin?.softwareVersion === 'v1').length, ids.length, `${count} hosts`);
	}
});

t.test('a host that has just started finds streams that began before, and remembers its part once it is connected', async t => {
	const hosts = new Hosts(4);
	hosts.of('h0').recordBegun('s', v1, lifeMs);
	hosts.isSettled = false;
	const fresh = hosts.add('fresh');
	hosts.cutOff.add('fresh');
	const found = startLookup(fresh, 's');
	await turn();
	t.notOk(found.isThere, 'it does not answer before it has asked');
	hosts.reconnect('fresh');
	await turn();
	t.match(found.record, {origin: v1});
	for (const other of ['h0', 'h1', 'h2', 'h3']) {
		hosts.lose(other);
	}

	t.match(await fresh.lookUp('s'), {origin: v1});
});

t.test('a stream that no host knows is unknown at once where all keepers have answered, otherwise after a bounded time', async t => {
	const hosts = new Hosts(5);
	t.equal(await hosts.of('h0').lookUp('never'), undefined, 'without a wait');
	hosts.of('h1').recordBegun('s', v1, lifeMs);
	hosts.add('alone');
	hosts.cutOff.add('alone');
	const found = startLookup(hosts.of('alone'), 's');
	hosts.clock.advance(400);
	await turn();
	t.notOk(found.isThere);
	hosts.clock.advance(200);
	await turn();
	t.ok(found.isThere);
	t.equal(found.record, undefined, 'a host that is cut off refuses');
});

t.test('a stream that begins at a host that is cut off is known to the others once it is connected', async t => {
	const hosts = new Hosts(5);
	hosts.cutOff.add('h0');
	hosts.of('h0').recordBegun('s', v1, lifeMs);
	t.equal(await Promise.race([hosts.of('h1').lookUp('s'), turn()]), undefined);
	hosts.reconnect('h0');
	t.match(await hosts.of('h2').lookUp('s'), {origin: v1});
});

t.test('two hosts that report different origins of one id leave it without one', async t => {
	const hosts = new Hosts(5);
	hosts.of('h0').recordBegun('s', v1, lifeMs);
	hosts.of('h1').recordBegun('s', {...v1, softwareVersion: 'v2'}, lifeMs);
	t.equal((await hosts.of('h2').lookUp('s'))?.origin, undefined);
});

t.test('the messages for a stream do not grow with the number of hosts', async t => {
	for (const count of [5, 68, 838]) {
		const hosts = new Hosts(count);
		hosts.of('h0').recordBegun('s', v1, lifeMs);
		t.equal(hosts.messageCount, keeperCount, `${count} hosts: reports of a stream`);
		await hosts.of(`h${count - 1}`).lookUp('s');
		t.ok(hosts.messageCount <= 3 * keeperCount, `${count} hosts: ${hosts.messageCount} messages with a question`);
	}
});

/**
Guards against floods of prompt updates where many hosts send prompts to the same engines. The number of updates that a host
receives must not grow with the number of hosts, or hosts with low capacity spend all their time on updates. Each send must be
reported only once, or engines appear busier than they are.
*/
import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import type {PeerMessage} from '../../peers/node/peer-mesh.js';
import {makePrompt} from '../../routing/common/engine-loads.js';
import {parseMessage, type Message} from '../../wire/common/messages.js';
import {PromptUpdates} from './prompt-updates.js';

/** Hosts that notify each other of sends; messages arrive immediately. */
class Hosts {
	readonly clock = ManualClock.create();
	/** Number of messages that each host received. */
	readonly received = new Map<string, number>();
	/** Engines of the sends that were reported to each host. */
	readonly reported = new Map<string, string[]>();
	readonly updates = new Map<string, PromptUpdates>();
	private readonly receivers = new Map<string, Emitter<PeerMessage>>();

	constructor(readonly names: readonly string[]) {
		for (const hostId of names) {
			const receive = Emitter.create<PeerMessage>();
			this.receivers.set(hostId, receive);
			this.received.set(hostId, 0);
			this.reported.set(hostId, []);
			this.updates.set(hostId, PromptUpdates.create({
				hostId,
				capacity: 1,
				mesh: {
					onDidReceive: receive.event,
					liveCapacities: new Map(names.filter(other => other !== hostId).map(other => [other, 1])),
					send: (to, message) => this.deliver(hostId, to, message),
					broadcast: message => {
						for (const other of names.filter(each => each !== hostId)) {
							this.deliver(hostId, other, message);
						}
					},
				},
				onPeerPrompt: serverId => {
					this.reported.get(hostId)!.push(serverId);
				},
				clock: this.clock,
			}));
		}
	}

	private deliver(from: string, to: string, message: Message): boolean {
		this.received.set(to, this.received.get(to)! + 1);
		this.receivers.get(to)!.fire({hostId: from, message});
		return true;
	}
}

/** Sends two prompts from each host within a second. */
function simulateSecond(hosts: Hosts): void {
	for (const half of [0, 1]) {
		for (const [index, name] of hosts.names.entries()) {
			hosts.updates.get(name)!.add(`${name} ${half}`, [{key: index, tokens: 1}]);
			hosts.clock.advance(500 / hosts.names.length);
		}
	}

	hosts.clock.advance(100);
}

for (const count of [32, 68, 370]) {
	t.test(`each of ${count} hosts receives every other's sends once, in few messages`, async t => {
		const hosts = new Hosts(Array.from({length: count}, (_, index) => `host-${index}`));
		simulateSecond(hosts);
		for (const name of hosts.names) {
			const reported = hosts.reported.get(name)!;
			t.equal(reported.length, 2 * (count - 1), name);
			t.equal(new Set(reported).size, reported.length, name);
		}

		const busiest = [...hosts.received.values()].toSorted((left, right) => right - left);
		t.ok(busiest[1] <= 22, 'all hosts except the relay');
		t.ok(busiest[0] <= 2 * count, 'the relay receives one message for each send');
	});
}

t.test('few hosts notify each other directly, without a relay', async t => {
	const hosts = new Hosts(Array.from({length: 31}, (_, index) => `host-${index}`));
	hosts.updates.get('host-0')!.add('engine', [{key: 1, tokens: 1}]);
	hosts.clock.advance(10);
	for (const name of hosts.names.slice(1)) {
		t.same(hosts.reported.get(name), ['engine'], name);
	}
});

// Guards against prompts with many parts, on which peers close the connection because the message is not valid.
t.test('the update about a prompt is valid however many parts it has, and names all of its tokens', async t => {
	for (const count of [1, 63, 64, 65, 70, 4000]) {
		const clock = ManualClock.create();
		const sent: Message[] = [];
		const updates = PromptUpdates.create({
			hostId: 'a', capacity: 1, clock, onPeerPrompt: () => undefined,
			mesh: {
				onDidReceive: Emitter.create<PeerMessage>().event, liveCapacities: new Map([['b', 1]]), send: () => false,
				broadcast(message) {
					sent.push(message);
				},
			},
		});
		const prompt = makePrompt(Array.from({length: count}, (_, index) => ({id: String(index), tokens: 2})));
		updates.add('engine', prompt);
		clock.advance(1000);
		t.match(sent.map(message => parseMessage(message)), [{message: {type: 'promptsSent'}}], `${count} parts`);
		const [message] = sent;
		const parts = message.type === 'promptsSent' ? message.prompts[0].parts : [];
		t.same(parts.slice(0, 63), prompt.slice(0, 63));
		t.same([parts.at(-1)?.key, parts.reduce((sum, {tokens}) => sum + tokens, 0)], [prompt.at(-1)?.key, 2 * count]);
		updates.dispose();
	}
});

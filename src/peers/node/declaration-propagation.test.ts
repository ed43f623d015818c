/*
Guards against declarations that overload slow links. A declaration of 4,249 routes never came into force on the 15 of 21 hosts whose links carry
7 Mbit/s; the links stayed full until the end of the day, and requests were handled by the previous version, and late. Each host requested
every version completely, 1.4 MB, even if one setting had changed; after 400 ms without a reply it asked another host, whose copy shared the link
with the first. So the data sent for a change grew with the whole declaration, and more was requested the slower it arrived. The simulated network
below, where nothing else is sent and nothing is lost, reproduced what the hosts' logs showed.
*/
import t from 'tap';
import {ManualClock, setRepeating} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {silentLoggers} from '../../base/common/logger.js';
import {SeededRandom} from '../../base/common/random.js';
import type {Deployment, Route} from '../../deployment/common/declaration.js';
import {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import {HallDrains} from '../../deployment/common/hall-drains.js';
import {ServerRegistry} from '../../deployment/common/server-registry.js';
import {encodeFrame} from '../../wire/common/frame-codec.js';
import type {Message} from '../../wire/common/messages.js';
import type {PeerMessage} from './peer-mesh.js';
import {StateExchange} from './state-exchange.js';

/** Hosts of the deployment in which the fault occurred: three that read the store, three more with the same capacity, and low-capacity ones. */
const readerCount = 3;
const fastHostCount = 6;
const hostCount = 21;
/** Bandwidth of the links: 140 and 7 Mbit/s. */
const fastBytesPerMs = 17_500;
const slowBytesPerMs = 875;
const stepMs = 5;
const heartbeatIntervalMs = 500;
/** A change must be in force this long after its confirmation; half of that is reserved for requests and slow processors. */
const timeLimitMs = 3000;

/** Messages in transit from one host to another, in order. */
type Flow = {readonly from: Host; readonly to: Host; readonly frames: Array<{readonly message: Message; remainingBytes: number}>};

/** A host that receives versions from its peers; the test gives the readers what they read from the store. */
class Host {
	static create(network: Network, hostId: string, bytesPerMs: number): Host {
		return new Host(network, hostId, bytesPerMs);
	}

	readonly tracker = DeploymentTracker.create(silentLoggers.for('test'));
	readonly received = Emitter.create<PeerMessage>();
	receivedBytes = 0;

	private constructor(private readonly network: Network, readonly hostId: string, readonly bytesPerMs: number) {
		const log = silentLoggers.for('test');
		StateExchange.create({
			mesh: {
				onDidReceive: this.received.event,
				announce: () => {
					this.sendHeartbeats();
				},
				send: (to, message) => network.send(this, to, message),
			},
			tracker: this.tracker,
			registry: ServerRegistry.create({log, leavingWithinMs: timeLimitMs}),
			drains: HallDrains.create(),
			isListUnavailable: () => false,
			clock: network.clock,
			log,
		});
		setRepeating(network.clock, () => heartbeatIntervalMs, () => {
			this.sendHeartbeats();
		});
	}

	private sendHeartbeats(): void {
		for (const {hostId} of this.network.hosts) {
			this.network.send(this, hostId, {
				type: 'peerBeat', endpoint: '', knownEndpoints: [], deploymentVersion: this.tracker.version, listRevision: 0, isLeaving: false,
			});
		}
	}
}

/** Links that are shared evenly by all messages that are sent and received on them; nothing else delays a message. */
class Network {
	static create(): Network {
		return new Network();
	}

	readonly clock = ManualClock.create();
	readonly hosts: Host[];
	private readonly flows = new Map<string, Flow>();

	private constructor() {
		this.hosts = Array.from({length: hostCount}, (_, index) =>
			Host.create(this, `host-${index}`, index < fastHostCount ? fastBytesPerMs : slowBytesPerMs));
	}

	send(from: Host, hostId: string, message: Message): boolean {
		const to = this.hosts.find(host => host.hostId === hostId);
		if (!to || to === from) {
			return false;
		}

		const key = `${from.hostId} ${hostId}`;
		const flow = this.flows.get(key) ?? {from, to, frames: []};
		this.flows.set(key, flow);
		flow.frames.push({message, remainingBytes: encodeFrame(message).byteLength});
		return true;
	}

	/** Advances the clock and transfers bytes. */
	async advanceTime(durationMs: number): Promise<void> {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			this.transfer();
			// Repeating timers are armed again asynchronously.
			await Promise.resolve();
		}
	}

	private transfer(): void {
		const busy = [...this.flows.values()].filter(({frames}) => frames.length > 0);
		for (const flow of busy) {
			const outShare = flow.from.bytesPerMs / busy.filter(({from}) => from === flow.from).length;
			const inShare = flow.to.bytesPerMs / busy.filter(({to}) => to === flow.to).length;
			this.deliver(flow, Math.min(outShare, inShare) * stepMs);
		}
	}

	private deliver({from, to, frames}: Flow, maxBytes: number): void {
		let bytes = maxBytes;
		while (frames.length > 0 && bytes > 0) {
			const [frame] = frames;
			const sentBytes = Math.min(bytes, frame.remainingBytes);
			frame.remainingBytes -= sentBytes;
			bytes -= sentBytes;
			to.receivedBytes += sentBytes;
			if (frame.remainingBytes === 0) {
				frames.shift();
				to.received.fire({hostId: from.hostId, message: frame.message});
			}
		}
	}
}

const random = SeededRandom.create(1);

/** Returns random letters and digits; like real names, they can hardly be compressed. */
function randomWord(length: number): string {
	return Array.from({length}, () => random.int(36).toString(36)).join('');
}

function makeRoute(): Route {
	return {
		name: `r-${randomWord(7)}`,
		hostName: 'site.example',
		pathPrefix: `/${randomWord(8)}/`,
		kind: 'repeatable',
		timeoutMs: 2000,
		targetMs: 120,
		rank: 2,
		targets: [{pool: 'plain', weight: 1}],
		maxAttempts: 2,
		steps: [],
		isPublic: false,
		hasAffinity: false,
		isResumable: false,
	};
}

/** Creates a declaration as a host reads it anew: it shares no objects with the previous one. */
function makeDeployment(version: number, routes: readonly Route[], idleTimeoutMs: number): Deployment {
	return structuredClone({
		version,
		routes: [...routes],
		pools: [{name: 'plain', maxConnections: 190}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs,
		},
		workspaces: [{name: 'buyers', keys: ['key']}],
	});
}

/** Makes all readers receive a version from the store at the same time. */
function declare(network: Network, deployment: Deployment): void {
	for (const {tracker} of network.hosts.slice(0, readerCount)) {
		tracker.offer(structuredClone(deployment), 'store');
	}
}

/** Returns how many hosts have each version in force, as `version x hosts`. */
function versionsInForce({hosts}: Network): string {
	const versions = [...new Set(hosts.map(({tracker}) => tracker.version))].toSorted((left, right) => left - right);
	return versions.map(version => `${version} x ${hosts.filter(({tracker}) => tracker.version === version).length}`).join(', ');
}

t.test('a large declaration and the small change after it are in force on hosts with slow links within half of the time limit', async t => {
	const network = Network.create();
	const routes = Array.from({length: 2850}, makeRoute);
	for (const {tracker} of network.hosts) {
		tracker.offer(makeDeployment(14, routes, 15_000), 'store');
	}

	await network.advanceTime(1000);
	routes.push(...Array.from({length: 1400}, makeRoute));
	declare(network, makeDeployment(17, routes, 15_000));
	await network.advanceTime(timeLimitMs / 2);
	t.equal(versionsInForce(network), `17 x ${hostCount}`);
	await network.advanceTime(2000);
	const slowHost = network.hosts.at(-1)!;
	slowHost.receivedBytes = 0;
	const changed = makeDeployment(19, routes, 12_000);
	declare(network, changed);
	await network.advanceTime(timeLimitMs / 2);
	t.equal(versionsInForce(network), `19 x ${hostCount}`);
	t.same(slowHost.tracker.current?.deployment, changed, 'each host has the same declaration, in the same order');
	t.ok(slowHost.receivedBytes < 50_000, `${Math.round(slowHost.receivedBytes)} bytes were received for a change of one setting`);
});

/*
Seen: a declaration of 4,249 routes never came into force on the 15 of 21 hosts whose links carry 7 Mbit/s; the links stayed
full until the day's end, and requests were handled by the version before, and late.
How it came about: each host asked for the whole of every version, 1.4 MB, even where one setting had changed; after 400 ms
without the answer it asked another host, whose copy shared the link with the first.
Cause: what is sent for a change grows with all that is declared, and more is asked for the slower it comes.
Proof: this network, where nothing else is sent and nothing is lost, shows the same as the hosts' logs.
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

/** Hosts of the deployment in which it was seen: three that read the store, three more with their room, and thin ones. */
const readerCount = 3;
const roomyCount = 6;
const hostCount = 21;
/** 140 and 7 Mbit/s. */
const roomyBytesPerMs = 17_500;
const thinBytesPerMs = 875;
const stepMs = 5;
const beatMs = 500;
/** A change must be in force this long after its confirmation; half of that is left for requests and slow processors. */
const boundMs = 3000;

/** Bytes on their way from one host to another, in order. */
type Flow = {readonly from: Host; readonly to: Host; readonly frames: Array<{readonly message: Message; leftBytes: number}>};

/** A host that reads nothing itself: all it learns comes from its peers. */
class Host {
	static create(network: Network, hostId: string, bytesPerMs: number): Host {
		return new Host(network, hostId, bytesPerMs);
	}

	readonly board = DeploymentTracker.create(silentLoggers.for('test'));
	readonly received = Emitter.create<PeerMessage>();
	heardBytes = 0;

	private constructor(private readonly network: Network, readonly hostId: string, readonly bytesPerMs: number) {
		const log = silentLoggers.for('test');
		StateExchange.create({
			mesh: {
				onDidReceive: this.received.event,
				announce: () => {
					this.tellAll();
				},
				send: (to, message) => network.send(this, to, message),
			},
			board: this.board,
			registry: ServerRegistry.create({log, leavingWithinMs: boundMs}),
			drains: HallDrains.create(),
			isListAway: () => false,
			clock: network.clock,
			log,
		});
		setRepeating(network.clock, () => beatMs, () => {
			this.tellAll();
		});
	}

	private tellAll(): void {
		for (const {hostId} of this.network.hosts) {
			this.network.send(this, hostId, {
				type: 'peerBeat', endpoint: '', knownEndpoints: [], deploymentVersion: this.board.version, listRevision: 0, isLeaving: false,
			});
		}
	}
}

/** Links that are shared evenly by all that comes and goes on them; nothing else slows a message. */
class Network {
	static create(): Network {
		return new Network();
	}

	readonly clock = ManualClock.create();
	readonly hosts: Host[];
	private readonly flows = new Map<string, Flow>();

	private constructor() {
		this.hosts = Array.from({length: hostCount}, (_, index) =>
			Host.create(this, `host-${index}`, index < roomyCount ? roomyBytesPerMs : thinBytesPerMs));
	}

	send(from: Host, hostId: string, message: Message): boolean {
		const to = this.hosts.find(host => host.hostId === hostId);
		if (!to || to === from) {
			return false;
		}

		const key = `${from.hostId} ${hostId}`;
		const flow = this.flows.get(key) ?? {from, to, frames: []};
		this.flows.set(key, flow);
		flow.frames.push({message, leftBytes: encodeFrame(message).byteLength});
		return true;
	}

	/** Lets time pass and bytes flow. */
	async pass(durationMs: number): Promise<void> {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			this.carry();
			// What repeats is armed again in a later turn.
			await Promise.resolve();
		}
	}

	private carry(): void {
		const busy = [...this.flows.values()].filter(({frames}) => frames.length > 0);
		for (const flow of busy) {
			const outShare = flow.from.bytesPerMs / busy.filter(({from}) => from === flow.from).length;
			const inShare = flow.to.bytesPerMs / busy.filter(({to}) => to === flow.to).length;
			this.deliver(flow, Math.min(outShare, inShare) * stepMs);
		}
	}

	private deliver({from, to, frames}: Flow, mostBytes: number): void {
		let bytes = mostBytes;
		while (frames.length > 0 && bytes > 0) {
			const [frame] = frames;
			const takenBytes = Math.min(bytes, frame.leftBytes);
			frame.leftBytes -= takenBytes;
			bytes -= takenBytes;
			to.heardBytes += takenBytes;
			if (frame.leftBytes === 0) {
				frames.shift();
				to.received.fire({hostId: from.hostId, message: frame.message});
			}
		}
	}
}

const random = SeededRandom.create(1);

/** Letters and digits by chance, as names are: they can't be written much shorter. */
function wordOf(length: number): string {
	return Array.from({length}, () => random.int(36).toString(36)).join('');
}

function makeRoute(): Route {
	return {
		name: `r-${wordOf(7)}`,
		hostName: 'site.example',
		pathPrefix: `/${wordOf(8)}/`,
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

/** A declaration as a host reads it anew: it shares nothing with the one before. */
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

/** The readers learn of a version from the store, all at once. */
function declare(network: Network, deployment: Deployment): void {
	for (const {board} of network.hosts.slice(0, readerCount)) {
		board.offer(structuredClone(deployment), 'store');
	}
}

/** How many hosts have each version in force, as `version x hosts`. */
function inForce({hosts}: Network): string {
	const versions = [...new Set(hosts.map(({board}) => board.version))].toSorted((left, right) => left - right);
	return versions.map(version => `${version} x ${hosts.filter(({board}) => board.version === version).length}`).join(', ');
}

t.test('a large declaration and the small change behind it are in force on hosts with thin links in half of the bound', async t => {
	const network = Network.create();
	const routes = Array.from({length: 2850}, makeRoute);
	for (const {board} of network.hosts) {
		board.offer(makeDeployment(14, routes, 15_000), 'store');
	}

	await network.pass(1000);
	routes.push(...Array.from({length: 1400}, makeRoute));
	declare(network, makeDeployment(17, routes, 15_000));
	await network.pass(boundMs / 2);
	t.equal(inForce(network), `17 x ${hostCount}`);
	await network.pass(2000);
	const thin = network.hosts.at(-1)!;
	thin.heardBytes = 0;
	const changed = makeDeployment(19, routes, 12_000);
	declare(network, changed);
	await network.pass(boundMs / 2);
	t.equal(inForce(network), `19 x ${hostCount}`);
	t.same(thin.board.current?.deployment, changed, 'each host has the same, in the same order');
	t.ok(thin.heardBytes < 50_000, `${Math.round(thin.heardBytes)} bytes were heard for a change of one setting`);
});

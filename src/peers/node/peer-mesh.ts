/** Connections among the hosts of a deployment: found from a few seed addresses, each host telling the ones it knows. */
import type {InjectionToken} from 'tsyringe';
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import {encodeFrame} from '../../wire/common/frame-codec.js';
import {parseEndpoint} from '../../wire/common/endpoint.js';
import type {Message, PeerHeartbeat} from '../../wire/common/messages.js';
import type {WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {FleetView} from '../../routing/common/fleet-view.js';
import type {Endpoint, WireServer} from '../../wire/node/wire-server.js';
import {
	beatIntervalMs, beatMs, BeatNeed, longestSilenceMs,
} from '../common/beat-need.js';
import {FleetMemory} from '../common/fleet-memory.js';
import {PeerDials} from './peer-dials.js';

/** How often peers are told all addresses this host knows, beside those that are new: two hosts may have forgotten each other. */
const tellAllMs = 5000;
/** A tick that is this late means that this host itself stood still: what it has not read yet says nothing about peers. */
const ownPauseMs = 400;

/** What a host tells its peers of itself. */
export type OwnState = Pick<PeerHeartbeat, 'deploymentVersion' | 'listRevision' | 'isLeaving' | 'room' | 'storeAgeMs' | 'hallDrains'>;

/** A message of a peer. */
export type PeerMessage = {readonly hostId: string; readonly message: Message};

/** What the mesh is made of. */
export type PeerMeshOptions = {
	readonly server: WireServer;
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	readonly log: Logger;
	readonly ownState: () => OwnState;
};

type Way = {readonly connection: WireConnection; readonly beatNeed: BeatNeed; heardMs: number};
type Peer = {readonly hostId: string; readonly ways: Set<Way>; beat: PeerHeartbeat | undefined; beatHeardMs: number};

export const peerMeshToken: InjectionToken<PeerMesh> = Symbol('PeerMesh');

/** Knows the live peers of this host. */
export class PeerMesh implements Disposable {
	static create(options: PeerMeshOptions): PeerMesh {
		return new PeerMesh(options);
	}

	private readonly peers = new Map<string, Peer>();
	private readonly owned = DisposableStore.create();
	private readonly dials: PeerDials;
	/** All hosts of the deployment, met now or not. */
	private fleet: FleetMemory;
	private readonly didReceive = Emitter.create<PeerMessage>();
	private readonly didChange = Emitter.create<void>();
	private readonly didLose = Emitter.create<string>();
	private readonly didConnect = Emitter.create<string>();
	/** Where connected peers listen; absent since one came or went. */
	private endpoints: ReadonlySet<string> | undefined;
	/** Addresses that peers have been told of. */
	private toldEndpoints: ReadonlySet<string> = new Set();
	private toldAllMs = 0;
	/** Room of the roomiest peer. */
	private mostRoom = 0;
	private tickedMs = 0;

	private constructor(private readonly options: PeerMeshOptions) {
		const {server, wire, clock} = options;
		this.fleet = FleetMemory.create('', clock.nowMs());
		this.dials = this.owned.add(PeerDials.create({
			wire,
			clock,
			connected: connection => {
				this.adopt(connection);
			},
			metEndpoints: () => this.knownEndpoints(),
		}));
		this.owned.add(server.onDidConnect(connection => {
			this.adopt(connection);
		}));
	}

	get onDidReceive() {
		return this.didReceive.event;
	}

	/** Fires when a peer comes, goes or begins to leave. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** Fires with the host to which a connection has come about, the first one or another: what was sent before may be lost. */
	get onDidConnect() {
		return this.didConnect.event;
	}

	/** Fires with the host whose last connection was lost. */
	get onDidLose() {
		return this.didLose.event;
	}

	/** Hosts that take shared work, this one not among them. */
	get liveHosts(): string[] {
		return [...this.peers.values()].filter(peer => peer.ways.size > 0 && peer.beat?.isLeaving === false).map(peer => peer.hostId);
	}

	/** Rooms for shared work of the live hosts, this one not among them. */
	get liveRooms(): ReadonlyMap<string, number> {
		return new Map(this.liveHosts.map(hostId => [hostId, this.peers.get(hostId)?.beat?.room ?? 0]));
	}

	/**
	Gives the hosts among which this one shares what is bounded over all of them.
	@param nowMs - the time.
	*/
	fleetView(nowMs: number): FleetView {
		return this.fleet.view(this.dials.seeds, nowMs);
	}

	/** How long ago the store answered those live hosts that read it. */
	get storeAgesMs(): ReadonlyMap<string, number> {
		const nowMs = this.options.clock.nowMs();
		return new Map(this.liveHosts.flatMap(hostId => {
			const {beat, beatHeardMs} = this.peers.get(hostId)!;
			return beat?.storeAgeMs === undefined ? [] : [[hostId, beat.storeAgeMs + nowMs - beatHeardMs]];
		}));
	}

	/**
	Starts looking for peers.
	@param own - where this host listens for them.
	@param seeds - where some of them may listen.
	*/
	start(own: Endpoint, seeds: readonly Endpoint[]): void {
		this.dials.start(own);
		this.fleet = FleetMemory.create(this.dials.ownEndpoint, this.options.clock.nowMs());
		this.tickedMs = this.options.clock.nowMs();
		this.addSeeds(seeds);
		this.owned.add(setRepeating(this.options.clock, () => beatMs, () => {
			this.tick();
		}));
	}

	/**
	Adds addresses, as when the settings of the host have changed.
	@param seeds - where peers may listen.
	*/
	addSeeds(seeds: readonly Endpoint[]): void {
		this.dials.addSeeds(seeds);
	}

	/**
	Sends to one peer.
	@returns false if nothing was written.
	*/
	send(hostId: string, message: Message): boolean {
		const peer = this.peers.get(hostId);
		return peer !== undefined && this.sendFrame(peer, encodeFrame(message));
	}

	/** Sends to every peer. */
	broadcast(message: Message): void {
		const frame = encodeFrame(message);
		for (const peer of this.peers.values()) {
			this.sendFrame(peer, frame);
		}
	}

	/** Tells all peers at once what this host has in force. */
	announce(): void {
		this.tellState(() => true);
	}

	dispose(): void {
		this.owned.dispose();
	}

	private tick(): void {
		const {clock} = this.options;
		const nowMs = clock.nowMs();
		const wasPaused = nowMs - this.tickedMs > beatMs + ownPauseMs;
		this.tickedMs = nowMs;
		for (const peer of this.peers.values()) {
			for (const way of peer.ways) {
				if (wasPaused) {
					way.heardMs = nowMs;
				} else if (nowMs - way.heardMs > longestSilenceMs(peer.beat?.nextWithinMs)) {
					way.connection.close('the peer fell silent');
				}
			}
		}

		this.tellState((way, state, intervalMs) => way.beatNeed.isNeeded(state, intervalMs, nowMs));
		this.dials.dialDue();
		this.dials.forgetSilent(nowMs);
	}

	/** Sends what this host has in force, with the addresses that are new, on the connections that need it. */
	private tellState(isNeeded: (way: Way, state: string, intervalMs: number) => boolean): void {
		const nowMs = this.options.clock.nowMs();
		const known = this.knownEndpoints();
		const tellsAll = nowMs - this.toldAllMs >= tellAllMs;
		const news = tellsAll ? [...known] : [...known].filter(endpoint => !this.toldEndpoints.has(endpoint));
		this.toldEndpoints = known;
		this.fleet.seen(known, nowMs);
		this.toldAllMs = tellsAll ? nowMs : this.toldAllMs;
		const own = this.options.ownState();
		const ownState = JSON.stringify(own);
		const frames = new Map<number, Uint8Array>();
		for (const peer of this.peers.values()) {
			const intervalMs = this.beatIntervalOf(peer, own.room ?? 0);
			const state = `${intervalMs} ${ownState}`;
			for (const way of peer.ways) {
				// News of addresses go to all: who is left out now would not hear of them for long.
				if (news.length > 0 || isNeeded(way, state, intervalMs)) {
					const frame = frames.get(intervalMs) ?? encodeFrame(this.makeBeat(news, intervalMs));
					frames.set(intervalMs, frame);
					way.connection.sendFrame(frame);
					way.beatNeed.told(state, nowMs);
				}
			}
		}
	}

	private makeBeat(knownEndpoints: string[], nextWithinMs: number): PeerHeartbeat {
		return {
			type: 'peerBeat', endpoint: this.dials.ownEndpoint, knownEndpoints, nextWithinMs, ...this.options.ownState(),
		};
	}

	private beatIntervalOf({beat}: Peer, room: number): number {
		return beat?.room === undefined ? beatMs : beatIntervalMs([room, beat.room], Math.max(room, this.mostRoom));
	}

	/** Where connected peers listen. */
	private knownEndpoints(): ReadonlySet<string> {
		// Strange addresses are not passed on.
		this.endpoints ??= new Set([...this.peers.values()].flatMap(({beat}) => beat && parseEndpoint(beat.endpoint) ? [beat.endpoint] : []));
		return this.endpoints;
	}

	/** The newest connection goes first: the peer has opened it because an older one is dead, or it works as well. */
	private sendFrame({ways}: Peer, frame: Uint8Array): boolean {
		for (const {connection, beatNeed} of [...ways].toReversed()) {
			if (connection.sendFrame(frame)) {
				beatNeed.spoke(this.options.clock.nowMs());
				return true;
			}
		}

		return false;
	}

	private adopt(connection: WireConnection): void {
		const identity = connection.peer;
		if (!identity || identity.hostId === this.options.wire.identity.hostId) {
			return;
		}

		const {hostId} = identity;
		this.leaveFormer(hostId, identity.incarnation);
		const peer = this.peers.get(hostId) ?? {
			hostId, ways: new Set<Way>(), beat: undefined, beatHeardMs: 0,
		};
		const way: Way = {connection, beatNeed: BeatNeed.create(), heardMs: this.options.clock.nowMs()};
		this.peers.set(hostId, peer);
		peer.ways.add(way);
		this.options.log.info('A peer is connected.', {peer: hostId, hall: identity.hall, ways: peer.ways.size});
		// A message of thousands of routes takes longer to come, on a thin or a full link, than a lost peer is waited for.
		connection.onDidReceiveData(() => {
			way.heardMs = this.options.clock.nowMs();
		});
		connection.onDidReceive(message => {
			this.receive(peer, message);
		});
		connection.onDidClose(reason => {
			this.lost(peer, way, reason);
		});
		connection.send(this.makeBeat([...this.knownEndpoints()], beatMs));
		this.didConnect.fire(hostId);
	}

	/**
	A host that started anew has left its former connections, however they look: a host that lost power closes none. What
	it had in its hands is gone, and counts as lost before the new process is met.
	*/
	private leaveFormer(hostId: string, incarnation: string): void {
		for (const {connection} of this.peers.get(hostId)?.ways ?? []) {
			if (connection.peer?.incarnation !== incarnation) {
				connection.close('its host started anew');
			}
		}
	}

	private lost(peer: Peer, way: Way, reason: string): void {
		peer.ways.delete(way);
		if (peer.ways.size === 0) {
			this.peers.delete(peer.hostId);
			this.peersChanged();
			this.options.log.warn('A peer is lost.', {peer: peer.hostId, reason});
			this.didLose.fire(peer.hostId);
			this.didChange.fire();
		}
	}

	/** A peer came or went, or told something else of itself: hosts that start at once hear thousands of beats, few of which do. */
	private peersChanged(): void {
		this.endpoints = undefined;
		this.mostRoom = Math.max(0, ...[...this.peers.values()].map(({beat}) => beat?.room ?? 0));
	}

	private receive(peer: Peer, message: Message): void {
		if (message.type === 'peerBeat') {
			const {beat} = peer;
			const isChanged = beat?.isLeaving !== message.isLeaving;
			peer.beat = message;
			if (beat === undefined && !parseEndpoint(message.endpoint)) {
				this.options.log.warn('A peer tells of an address that can\'t be dialled; it is passed over.', {peer: peer.hostId, endpoint: message.endpoint});
			}

			if (beat?.endpoint !== message.endpoint || beat.room !== message.room) {
				this.peersChanged();
			}

			peer.beatHeardMs = this.options.clock.nowMs();
			this.dials.addKnown(message.knownEndpoints);
			this.fleet.seen([message.endpoint, ...message.knownEndpoints], peer.beatHeardMs);
			if (isChanged) {
				this.didChange.fire();
			}
		}

		this.didReceive.fire({hostId: peer.hostId, message});
	}
}

/** Connects the hosts of a deployment: peers are discovered from a few seed addresses, and each host reports the addresses it knows. */
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
	heartbeatIntervalMs, defaultHeartbeatIntervalMs, HeartbeatSchedule, maxSilenceMs,
} from '../common/heartbeat-schedule.js';
import {FleetTracker} from '../common/fleet-tracker.js';
import {PeerDialer} from './peer-dialer.js';

/** How often peers are sent all addresses that this host knows, in addition to new ones: two hosts may have forgotten each other. */
const fullAnnouncementIntervalMs = 5000;

/** The state of a host that it reports to its peers. */
export type OwnState = Pick<PeerHeartbeat, 'deploymentVersion' | 'listRevision' | 'isLeaving' | 'room' | 'storeAgeMs' | 'hallDrains'>;

/** A message received from a peer. */
export type PeerMessage = {readonly hostId: string; readonly message: Message};

/** Dependencies of `PeerMesh`. */
export type PeerMeshOptions = {
	readonly server: WireServer;
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	readonly log: Logger;
	readonly ownState: () => OwnState;
};

type PeerConnection = {readonly connection: WireConnection; readonly heartbeatSchedule: HeartbeatSchedule; lastReceivedMs: number};
type Peer = {readonly hostId: string; readonly connections: Set<PeerConnection>; lastHeartbeat: PeerHeartbeat | undefined; lastHeartbeatMs: number};

export const peerMeshToken: InjectionToken<PeerMesh> = Symbol('PeerMesh');

/** Keeps the connections to the peers of this host, and tracks which of them are live. */
export class PeerMesh implements Disposable {
	static create(options: PeerMeshOptions): PeerMesh {
		return new PeerMesh(options);
	}

	private readonly peers = new Map<string, Peer>();
	private readonly disposables = DisposableStore.create();
	private readonly dialer: PeerDialer;
	/** All hosts of the deployment, connected now or not. */
	private fleetTracker: FleetTracker;
	private readonly didReceive = Emitter.create<PeerMessage>();
	private readonly didChange = Emitter.create<void>();
	private readonly didLose = Emitter.create<string>();
	private readonly didConnect = Emitter.create<string>();
	/** Cached endpoints of the connected peers; cleared when a peer joins or is lost. */
	private cachedEndpoints: ReadonlySet<string> | undefined;
	/** Addresses that have been announced to peers. */
	private announcedEndpoints: ReadonlySet<string> = new Set();
	private lastFullAnnouncementMs = 0;
	/** Capacity of the peer that has the most, in cores. */
	private maxPeerCapacity = 0;

	private constructor(private readonly options: PeerMeshOptions) {
		const {server, wire, clock} = options;
		this.fleetTracker = FleetTracker.create('', clock.nowMs());
		this.dialer = this.disposables.add(PeerDialer.create({
			wire,
			clock,
			onConnected: connection => {
				this.addConnection(connection);
			},
			connectedEndpoints: () => this.knownEndpoints(),
		}));
		this.disposables.add(server.onDidConnect(connection => {
			this.addConnection(connection);
		}));
	}

	get onDidReceive() {
		return this.didReceive.event;
	}

	/** Fires when a peer joins, is lost or starts to leave. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** Fires with the host to which a connection was established, whether its first or a further one: messages sent before may be lost. */
	get onDidConnect() {
		return this.didConnect.event;
	}

	/** Fires with the host whose last connection was lost. */
	get onDidLose() {
		return this.didLose.event;
	}

	/** Hosts that accept shared work, without this one. */
	get liveHosts(): string[] {
		return [...this.peers.values()].filter(peer => peer.connections.size > 0 && peer.lastHeartbeat?.isLeaving === false).map(peer => peer.hostId);
	}

	/** Capacities for shared work of the live hosts, without this one, in cores; 0 for a host that reports none. */
	get liveCapacities(): ReadonlyMap<string, number> {
		return new Map(this.liveHosts.map(hostId => [hostId, this.peers.get(hostId)?.lastHeartbeat?.room ?? 0]));
	}

	/** The newest revision of the list of servers that a live host has reported; 0 if there is none. */
	get maxListRevision(): number {
		return Math.max(0, ...this.liveHosts.map(hostId => this.peers.get(hostId)?.lastHeartbeat?.listRevision ?? 0));
	}

	/**
	Returns the hosts with which this one shares what is limited across all of them.
	@param nowMs - the current time.
	*/
	fleetView(nowMs: number): FleetView {
		return this.fleetTracker.view(this.dialer.seeds, nowMs);
	}

	/** Time since the last response of the store to each live host that reads it, in milliseconds. */
	get storeAgesMs(): ReadonlyMap<string, number> {
		const nowMs = this.options.clock.nowMs();
		return new Map(this.liveHosts.flatMap(hostId => {
			const {lastHeartbeat, lastHeartbeatMs} = this.peers.get(hostId)!;
			return lastHeartbeat?.storeAgeMs === undefined ? [] : [[hostId, lastHeartbeat.storeAgeMs + nowMs - lastHeartbeatMs]];
		}));
	}

	/**
	Starts the discovery of peers.
	@param own - where this host listens for them.
	@param seeds - where some of them may listen.
	*/
	start(own: Endpoint, seeds: readonly Endpoint[]): void {
		this.dialer.start(own);
		this.fleetTracker = FleetTracker.create(this.dialer.ownEndpoint, this.options.clock.nowMs());
		this.addSeeds(seeds);
		this.disposables.add(setRepeating(this.options.clock, () => defaultHeartbeatIntervalMs, wasPaused => {
			this.tick(wasPaused);
		}));
	}

	/**
	Adds seed addresses, for example after a change of the host's settings.
	@param seeds - where peers may listen.
	*/
	addSeeds(seeds: readonly Endpoint[]): void {
		this.dialer.addSeeds(seeds);
	}

	/**
	Sends a message to one peer.
	@returns false if nothing was written.
	*/
	send(hostId: string, message: Message): boolean {
		const peer = this.peers.get(hostId);
		return peer !== undefined && this.sendFrame(peer, encodeFrame(message));
	}

	/** Sends a message to every peer. */
	broadcast(message: Message): void {
		const frame = encodeFrame(message);
		for (const peer of this.peers.values()) {
			this.sendFrame(peer, frame);
		}
	}

	/** Sends the state in force on this host to all peers at once. */
	announce(): void {
		this.sendHeartbeats(() => true);
	}

	dispose(): void {
		this.disposables.dispose();
	}

	/**
	Closes the connections to peers that are silent, and sends the heartbeats that are due.
	@param wasPaused - whether this host was paused: peers may have sent data that it has not read yet, so silence says nothing about them.
	*/
	private tick(wasPaused: boolean): void {
		const nowMs = this.options.clock.nowMs();
		for (const peer of this.peers.values()) {
			for (const peerConnection of peer.connections) {
				if (wasPaused) {
					peerConnection.lastReceivedMs = nowMs;
				} else if (nowMs - peerConnection.lastReceivedMs > maxSilenceMs(peer.lastHeartbeat?.nextWithinMs)) {
					peerConnection.connection.close('the peer sent nothing for too long');
				}
			}
		}

		this.sendHeartbeats((peerConnection, state, intervalMs) => peerConnection.heartbeatSchedule.isNeeded(state, intervalMs, nowMs));
		this.dialer.dialDue();
		this.dialer.forgetUnreachable(nowMs);
	}

	/** Sends the state in force on this host, with the addresses that are new, on the connections that need it. */
	private sendHeartbeats(isNeeded: (peerConnection: PeerConnection, state: string, intervalMs: number) => boolean): void {
		const nowMs = this.options.clock.nowMs();
		const known = this.knownEndpoints();
		const sendsAll = nowMs - this.lastFullAnnouncementMs >= fullAnnouncementIntervalMs;
		const newEndpoints = sendsAll ? [...known] : [...known].filter(endpoint => !this.announcedEndpoints.has(endpoint));
		this.announcedEndpoints = known;
		this.fleetTracker.recordSeen(known, nowMs);
		this.lastFullAnnouncementMs = sendsAll ? nowMs : this.lastFullAnnouncementMs;
		const ownState = this.options.ownState();
		const serializedState = JSON.stringify(ownState);
		const frames = new Map<number, Uint8Array>();
		for (const peer of this.peers.values()) {
			const intervalMs = this.heartbeatIntervalOf(peer, ownState.room ?? 0);
			const state = `${intervalMs} ${serializedState}`;
			for (const peerConnection of peer.connections) {
				// New addresses go to all peers: a peer that is left out now would not learn of them until the next full announcement.
				if (newEndpoints.length > 0 || isNeeded(peerConnection, state, intervalMs)) {
					const frame = frames.get(intervalMs) ?? encodeFrame(this.makeHeartbeat(newEndpoints, intervalMs));
					frames.set(intervalMs, frame);
					peerConnection.connection.sendFrame(frame);
					peerConnection.heartbeatSchedule.recordHeartbeat(state, nowMs);
				}
			}
		}
	}

	private makeHeartbeat(knownEndpoints: string[], nextWithinMs: number): PeerHeartbeat {
		return {
			type: 'peerBeat', endpoint: this.dialer.ownEndpoint, knownEndpoints, nextWithinMs, ...this.options.ownState(),
		};
	}

	private heartbeatIntervalOf({lastHeartbeat}: Peer, capacity: number): number {
		return lastHeartbeat?.room === undefined ? defaultHeartbeatIntervalMs : heartbeatIntervalMs([capacity, lastHeartbeat.room], Math.max(capacity, this.maxPeerCapacity));
	}

	/** Returns the endpoints of the connected peers. */
	private knownEndpoints(): ReadonlySet<string> {
		// Malformed addresses are not forwarded.
		this.cachedEndpoints ??= new Set([...this.peers.values()].flatMap(({lastHeartbeat}) => lastHeartbeat && parseEndpoint(lastHeartbeat.endpoint) ? [lastHeartbeat.endpoint] : []));
		return this.cachedEndpoints;
	}

	/** Tries the newest connection first: either the peer opened it because an older one is dead, or it works as well as the others. */
	private sendFrame({connections}: Peer, frame: Uint8Array): boolean {
		for (const {connection, heartbeatSchedule} of [...connections].toReversed()) {
			if (connection.sendFrame(frame)) {
				heartbeatSchedule.recordSend(this.options.clock.nowMs());
				return true;
			}
		}

		return false;
	}

	private addConnection(connection: WireConnection): void {
		const identity = connection.peer;
		if (!identity || identity.hostId === this.options.wire.identity.hostId) {
			return;
		}

		const {hostId} = identity;
		this.closeFormerConnections(hostId, identity.incarnation);
		const peer = this.peers.get(hostId) ?? {
			hostId, connections: new Set<PeerConnection>(), lastHeartbeat: undefined, lastHeartbeatMs: 0,
		};
		const peerConnection: PeerConnection = {connection, heartbeatSchedule: HeartbeatSchedule.create(), lastReceivedMs: this.options.clock.nowMs()};
		this.peers.set(hostId, peer);
		peer.connections.add(peerConnection);
		this.options.log.info('A peer is connected.', {peer: hostId, hall: identity.hall, ways: peer.connections.size});
		// Every received byte counts: on a slow or a busy link, a message with thousands of routes takes longer to arrive than
		// the silence after which a peer is considered lost.
		connection.onDidReceiveData(() => {
			peerConnection.lastReceivedMs = this.options.clock.nowMs();
		});
		connection.onDidReceive(message => {
			this.handleMessage(peer, message);
		});
		connection.onDidClose(reason => {
			this.handleClose(peer, peerConnection, reason);
		});
		connection.send(this.makeHeartbeat([...this.knownEndpoints()], defaultHeartbeatIntervalMs));
		this.didConnect.fire(hostId);
	}

	/**
	Closes the connections to former processes of a restarted host, whatever state they seem to be in: a host that lost power closes none. The work
	that the host held is gone, and is reported as lost before the new process is added.
	*/
	private closeFormerConnections(hostId: string, incarnation: string): void {
		for (const {connection} of this.peers.get(hostId)?.connections ?? []) {
			if (connection.peer?.incarnation !== incarnation) {
				connection.close('the host was restarted');
			}
		}
	}

	private handleClose(peer: Peer, peerConnection: PeerConnection, reason: string): void {
		peer.connections.delete(peerConnection);
		if (peer.connections.size === 0) {
			this.peers.delete(peer.hostId);
			this.updateDerivedState();
			this.options.log.warn('A peer is lost.', {peer: peer.hostId, reason});
			this.didLose.fire(peer.hostId);
			this.didChange.fire();
		}
	}

	/**
	Updates what is derived from the state of all peers. Called only after a peer joined, was lost or reported another endpoint or capacity:
	hosts that start at once receive thousands of heartbeats, few of which change anything.
	*/
	private updateDerivedState(): void {
		this.cachedEndpoints = undefined;
		this.maxPeerCapacity = Math.max(0, ...[...this.peers.values()].map(({lastHeartbeat}) => lastHeartbeat?.room ?? 0));
	}

	private handleMessage(peer: Peer, message: Message): void {
		if (message.type === 'peerBeat') {
			const {lastHeartbeat: previous} = peer;
			const isChanged = previous?.isLeaving !== message.isLeaving;
			peer.lastHeartbeat = message;
			if (previous === undefined && !parseEndpoint(message.endpoint)) {
				this.options.log.warn('A peer reported an address that can\'t be dialed; the address is ignored.', {peer: peer.hostId, endpoint: message.endpoint});
			}

			if (previous?.endpoint !== message.endpoint || previous.room !== message.room) {
				this.updateDerivedState();
			}

			peer.lastHeartbeatMs = this.options.clock.nowMs();
			this.dialer.addKnown(message.knownEndpoints);
			this.fleetTracker.recordSeen([message.endpoint, ...message.knownEndpoints], peer.lastHeartbeatMs);
			if (isChanged) {
				this.didChange.fire();
			}
		}

		this.didReceive.fire({hostId: peer.hostId, message});
	}
}

/** Connections of an entry to the agents: opened and closed according to the host list, monitored with pings. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {UpstreamTransport, UpstreamMessage} from '../../request/common/upstream-transport.js';
import type {Logger} from '../../base/common/logger.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {MemberTable} from '../../membership/common/member-table.js';
import type {HostList, ListedHost} from '../../store/common/host-list.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {SettingsSync} from '../../settings/node/settings-sync.js';
import {roles, serveStates, type Message} from '../../wire/common/messages.js';
import {WireClient, type WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {FleetRouter} from '../common/fleet-router.js';
import {pingIntervalMs, agentsForEntry} from '../common/fleet-share.js';

const listIntervalMs = 1000;
/** Number of ping intervals without a message after which an upstream counts as silent. */
const maxMissedPings = 3;
/** Minimum time without a message after which a connection is closed. */
const minSilenceTimeoutMs = 4000;
/** Number of consecutive reads of the host list that must lack a host before its link is removed. */
const missesBeforeRemoval = 10;
/** While more than this share of the linked hosts is missing from the list, the list is not trusted and no link is removed. */
const maxMissingShare = 0.5;

/** Dependencies of the links. */
export type FleetLinksOptions = {
	readonly hosts: HostList;
	readonly members: MemberTable;
	readonly router: FleetRouter;
	readonly settings: SettingsService;
	readonly sync: SettingsSync;
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

type AgentLink = {
	host: ListedHost;
	readonly client: WireClient;
	connection: WireConnection | undefined;
	lastReceivedMs: number;
	missCount: number;
};

/** Maintains the connections to agents. */
export class FleetLinks implements UpstreamTransport, Disposable {
	static create(options: FleetLinksOptions): FleetLinks {
		return new FleetLinks(options);
	}

	private readonly links = new Map<string, AgentLink>();
	private readonly connectionsByUpstream = new Map<string, WireConnection>();
	private readonly disposables = DisposableStore.create();
	private readonly didReceive = Emitter.create<UpstreamMessage>();
	private readonly didDisconnect = Emitter.create<string>();
	private readonly didReconnect = Emitter.create<string>();
	private readonly didReplaceIncarnation = Emitter.create<string>();
	private readonly didBecomeAvailable = Emitter.create<string>();
	private isDisposed = false;

	private constructor(private readonly options: FleetLinksOptions) {
		const {clock, random, settings} = options;
		this.disposables.add(setRepeating(clock, () => jitter(random, listIntervalMs), async () => this.readList()));
		this.disposables.add(setRepeating(clock, () => jitter(random, this.pingMs, 0.1), wasPaused => {
			this.ping(wasPaused);
		}));
		this.disposables.add(settings.onDidChangeRevision(() => {
			this.applySettings();
		}));
	}

	/** Fires for each message from an agent, except those about the connection itself (pings, load reports, settings). */
	get onDidReceive() {
		return this.didReceive.event;
	}

	/** Fires with the id of an upstream when the connection to its agent is lost. */
	get onDidDisconnect() {
		return this.didDisconnect.event;
	}

	/** Fires with the id of an upstream when its agent reconnects in the same incarnation. */
	get onDidReconnect() {
		return this.didReconnect.event;
	}

	/** Fires with the id of an upstream when its agent connects in another incarnation than before. */
	get onDidReplaceIncarnation() {
		return this.didReplaceIncarnation.event;
	}

	/** Fires with the id of an upstream that may be chosen from now on. */
	get onDidBecomeAvailable() {
		return this.didBecomeAvailable.event;
	}

	get connectedCount(): number {
		return this.connectionsByUpstream.size;
	}

	/**
	Sends a message to the agent of an upstream.
	@param upstreamId - id of the upstream.
	@param message - the message.
	@returns false if nothing was written.
	*/
	send(upstreamId: string, message: Message): boolean {
		return this.connectionsByUpstream.get(upstreamId)?.send(message) ?? false;
	}

	/** Reads the host list now, and opens and closes connections accordingly. */
	async readList(): Promise<void> {
		const hosts = await this.options.hosts.list();
		if (!hosts.ok) {
			// The entry keeps serving over its existing connections.
			return;
		}

		const agents = hosts.value.filter(host => host.role === roles.agent);
		const assigned = agentsForEntry(hosts.value, this.options.wire.identity.hostId);
		const assignedIds = new Set(assigned.map(host => host.hostId));
		for (const host of assigned) {
			this.options.members.applyListedState(host.hostId, host.state);
			this.ensureLink(host);
		}

		this.options.members.setHeartbeatTimeout(maxMissedPings * this.pingMs);

		const listedIds = new Set(agents.map(host => host.hostId));
		this.removeUnassigned([...this.links.values()].filter(link => listedIds.has(link.host.hostId) && !assignedIds.has(link.host.hostId)));
		const missing = [...this.links.values()].filter(link => !listedIds.has(link.host.hostId));
		if (missing.length <= this.links.size * maxMissingShare) {
			this.removeMissing(missing);
		}
	}

	dispose(): void {
		this.isDisposed = true;
		this.disposables.dispose();
		for (const link of this.links.values()) {
			link.client.dispose();
		}
	}

	private get pingMs(): number {
		return pingIntervalMs(this.links.size);
	}

	private ensureLink(host: ListedHost): void {
		const link = this.links.get(host.hostId);
		const isSameEndpoint = link?.host.address === host.address && link.host.port === host.port;
		if (link && isSameEndpoint) {
			link.host = host;
			link.missCount = 0;
			return;
		}

		link?.client.dispose();
		const client = WireClient.create({address: host.address, port: host.port}, this.options.wire);
		const created: AgentLink = {
			host, client, connection: undefined, lastReceivedMs: this.now(), missCount: 0,
		};
		this.links.set(host.hostId, created);
		client.onDidConnect(connection => {
			this.handleConnect(created, connection);
		});
	}

	/** Closes the links to hosts that are now assigned to other entries, once no request of this entry runs there. */
	private removeUnassigned(links: readonly AgentLink[]): void {
		for (const link of links) {
			const upstreamId = link.connection?.peer?.upstreamId;
			if (upstreamId === undefined || this.options.router.statsOf(upstreamId)?.inFlight === 0) {
				link.client.dispose();
				this.links.delete(link.host.hostId);
			}
		}
	}

	private removeMissing(missing: readonly AgentLink[]): void {
		for (const link of missing) {
			link.missCount++;
			if (link.missCount >= missesBeforeRemoval && !link.connection) {
				link.client.dispose();
				this.links.delete(link.host.hostId);
			}
		}
	}

	private handleConnect(link: AgentLink, connection: WireConnection): void {
		const {members, router, sync, log} = this.options;
		const {peer} = connection;
		const upstreamId = peer?.upstreamId;
		if (!peer || upstreamId === undefined) {
			connection.close('not an agent');
			return;
		}

		link.connection = connection;
		link.lastReceivedMs = this.now();
		const wasKnown = router.statsOf(upstreamId) !== undefined;
		const isNew = members.connected(peer, this.now());
		this.connectionsByUpstream.set(upstreamId, connection);
		connection.onDidClose(reason => {
			this.handleDisconnect(link, connection, reason);
		});
		sync.attach(connection);
		connection.onDidReceive(message => {
			link.lastReceivedMs = this.now();
			this.handleMessage(upstreamId, connection, message);
		});
		if (isNew) {
			log.info('Connected to an agent.', {upstream: upstreamId, pool: peer.pool, hall: peer.hall});
			const member = members.all().find(item => item.upstreamId === upstreamId)!;
			router.handleJoin(member);
			if (wasKnown) {
				this.didReplaceIncarnation.fire(upstreamId);
			}
		} else {
			this.didReconnect.fire(upstreamId);
		}

		this.didBecomeAvailable.fire(upstreamId);
	}

	private handleDisconnect(link: AgentLink, connection: WireConnection, reason: string): void {
		const {peer} = connection;
		if (link.connection === connection) {
			link.connection = undefined;
		}

		if (peer?.upstreamId !== undefined && this.connectionsByUpstream.get(peer.upstreamId) === connection) {
			this.connectionsByUpstream.delete(peer.upstreamId);
			this.options.members.disconnected(peer.upstreamId, peer.incarnation);
			if (!this.isDisposed) {
				this.options.log.warn('The connection to an agent was lost.', {upstream: peer.upstreamId, reason});
			}

			this.didDisconnect.fire(peer.upstreamId);
		}
	}

	private handleMessage(upstreamId: string, connection: WireConnection, message: Message): void {
		const {members, router} = this.options;
		const nowMs = this.now();
		switch (message.type) {
			case 'ping': {
				connection.send({
					type: 'pong', nonce: message.nonce, settingsRevision: this.revision, state: serveStates.serving,
				});
				break;
			}

			case 'pong':
			case 'report': {
				members.received(upstreamId, message.state, nowMs);
				router.observeLoad(upstreamId, message.load, nowMs);
				break;
			}

			case 'settingsRequest':
			case 'settingsReply': {
				break;
			}

			default: {
				members.received(upstreamId, undefined, nowMs);
				if ('load' in message) {
					router.observeLoad(upstreamId, message.load, nowMs);
				}

				this.didReceive.fire({upstreamId, message});
			}
		}
	}

	/**
	Closes the connections to agents that are silent, and sends a ping over the others.
	@param wasPaused - whether this process was paused: what agents have sent meanwhile is not read yet, so silence is counted from now on.
	*/
	private ping(wasPaused: boolean): void {
		const nowMs = this.now();
		for (const link of this.links.values()) {
			if (wasPaused) {
				link.lastReceivedMs = nowMs;
			}

			if (link.connection && nowMs - link.lastReceivedMs > Math.max(minSilenceTimeoutMs, maxMissedPings * this.pingMs)) {
				link.connection.close('silent');
			} else {
				link.connection?.send({type: 'ping', nonce: 0, settingsRevision: this.revision});
			}
		}
	}

	private applySettings(): void {
		const {tree} = this.options.settings;
		const pools = tree.paths.filter(path => path.startsWith('/pools/')).map(path => path.slice('/pools/'.length));
		this.options.members.setDrained(pools.flatMap(pool => tree.pool(pool)?.leavingUpstreams ?? []));
	}

	private get revision(): number {
		return this.options.settings.tree.revision;
	}

	private now(): number {
		return this.options.clock.nowMs();
	}
}

/** Connections of an entry to the agents: opened by the host list, watched by pings. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {UpstreamLinks, UpstreamMessage} from '../../request/common/upstream-links.js';
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
import {pingIntervalMs, shareOf} from '../common/fleet-share.js';

const listMs = 1000;
/** Pings missed before an upstream counts as silent. */
const missedPings = 3;
/** Silence after which a connection is given up. */
const silenceMs = 4000;
/** A host missing from the list this often in a row is let go, unless most are missing. */
const missesToDrop = 10;
const distrustShare = 0.5;

/** What the links need. */
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

type Link = {
	host: ListedHost;
	readonly client: WireClient;
	connection: WireConnection | undefined;
	lastHeardMs: number;
	misses: number;
};

/** Keeps connections to agents. */
export class FleetLinks implements UpstreamLinks, Disposable {
	static create(options: FleetLinksOptions): FleetLinks {
		return new FleetLinks(options);
	}

	private readonly links = new Map<string, Link>();
	private readonly byUpstream = new Map<string, WireConnection>();
	private readonly owned = DisposableStore.create();
	private readonly didReceive = Emitter.create<UpstreamMessage>();
	private readonly didLose = Emitter.create<string>();
	private readonly didReconnect = Emitter.create<string>();
	private readonly didReplace = Emitter.create<string>();
	private readonly didJoin = Emitter.create<string>();
	private isDisposed = false;

	private constructor(private readonly options: FleetLinksOptions) {
		const {clock, random, settings} = options;
		this.owned.add(setRepeating(clock, () => jitter(random, listMs), async () => this.readList()));
		this.owned.add(setRepeating(clock, () => jitter(random, this.pingMs, 0.1), () => {
			this.ping();
		}));
		this.owned.add(settings.onDidChangeRevision(() => {
			this.applySettings();
		}));
	}

	/** Fires for each message of an agent that is not about the connection itself. */
	get onDidReceive() {
		return this.didReceive.event;
	}

	/** Fires with an upstream whose connection was lost. */
	get onDidLose() {
		return this.didLose.event;
	}

	/** Fires with an upstream whose agent, in the same incarnation, is connected again. */
	get onDidReconnect() {
		return this.didReconnect.event;
	}

	/** Fires with an upstream whose agent is another incarnation than before. */
	get onDidReplace() {
		return this.didReplace.event;
	}

	/** Fires with an upstream that may be chosen from now on. */
	get onDidJoin() {
		return this.didJoin.event;
	}

	get connectedCount(): number {
		return this.byUpstream.size;
	}

	/**
	Sends a message to the agent of an upstream.
	@param upstreamId - which.
	@param message - what.
	@returns false if nothing was written.
	*/
	send(upstreamId: string, message: Message): boolean {
		return this.byUpstream.get(upstreamId)?.send(message) ?? false;
	}

	/** Reads the host list now, and opens and closes connections by it. */
	async readList(): Promise<void> {
		const hosts = await this.options.hosts.list();
		if (!hosts.ok) {
			// Serving goes on with the connections there are.
			return;
		}

		const agents = hosts.value.filter(host => host.role === roles.agent);
		const wanted = shareOf(hosts.value, this.options.wire.identity.hostId);
		const seen = new Set(wanted.map(host => host.hostId));
		for (const host of wanted) {
			this.options.members.applyListedState(host.hostId, host.state);
			this.ensureLink(host);
		}

		this.options.members.setHeartbeatTimeout(missedPings * this.pingMs);

		const listed = new Set(agents.map(host => host.hostId));
		this.dropUnshared([...this.links.values()].filter(link => listed.has(link.host.hostId) && !seen.has(link.host.hostId)));
		const missing = [...this.links.values()].filter(link => !listed.has(link.host.hostId));
		if (missing.length <= this.links.size * distrustShare) {
			this.dropMissing(missing);
		}
	}

	dispose(): void {
		this.isDisposed = true;
		this.owned.dispose();
		for (const link of this.links.values()) {
			link.client.dispose();
		}
	}

	private get pingMs(): number {
		return pingIntervalMs(this.links.size);
	}

	private ensureLink(host: ListedHost): void {
		const link = this.links.get(host.hostId);
		const isSamePlace = link?.host.address === host.address && link.host.port === host.port;
		if (link && isSamePlace) {
			link.host = host;
			link.misses = 0;
			return;
		}

		link?.client.dispose();
		const client = WireClient.create({address: host.address, port: host.port}, this.options.wire);
		const created: Link = {
			host, client, connection: undefined, lastHeardMs: this.now(), misses: 0,
		};
		this.links.set(host.hostId, created);
		client.onDidConnect(connection => {
			this.connected(created, connection);
		});
	}

	/** Hosts that are now others' share are let go once nothing of ours runs there. */
	private dropUnshared(links: readonly Link[]): void {
		for (const link of links) {
			const upstreamId = link.connection?.peer?.upstreamId;
			if (upstreamId === undefined || this.options.router.statsOf(upstreamId)?.inFlight === 0) {
				link.client.dispose();
				this.links.delete(link.host.hostId);
			}
		}
	}

	private dropMissing(missing: readonly Link[]): void {
		for (const link of missing) {
			link.misses++;
			if (link.misses >= missesToDrop && !link.connection) {
				link.client.dispose();
				this.links.delete(link.host.hostId);
			}
		}
	}

	private connected(link: Link, connection: WireConnection): void {
		const {members, router, sync, log} = this.options;
		const {peer} = connection;
		const upstreamId = peer?.upstreamId;
		if (!peer || upstreamId === undefined) {
			connection.close('not an agent');
			return;
		}

		link.connection = connection;
		link.lastHeardMs = this.now();
		const wasKnown = router.statsOf(upstreamId) !== undefined;
		const isNew = members.connected(peer, this.now());
		this.byUpstream.set(upstreamId, connection);
		connection.onDidClose(reason => {
			this.lost(link, connection, reason);
		});
		sync.attach(connection);
		connection.onDidReceive(message => {
			link.lastHeardMs = this.now();
			this.receive(upstreamId, connection, message);
		});
		if (isNew) {
			log.info('An agent is connected.', {upstream: upstreamId, pool: peer.pool, hall: peer.hall});
			const member = members.all().find(item => item.upstreamId === upstreamId)!;
			router.joined(member);
			if (wasKnown) {
				this.didReplace.fire(upstreamId);
			}
		} else {
			this.didReconnect.fire(upstreamId);
		}

		this.didJoin.fire(upstreamId);
	}

	private lost(link: Link, connection: WireConnection, reason: string): void {
		const {peer} = connection;
		if (link.connection === connection) {
			link.connection = undefined;
		}

		if (peer?.upstreamId !== undefined && this.byUpstream.get(peer.upstreamId) === connection) {
			this.byUpstream.delete(peer.upstreamId);
			this.options.members.disconnected(peer.upstreamId, peer.incarnation);
			if (!this.isDisposed) {
				this.options.log.warn('An agent\'s connection was lost.', {upstream: peer.upstreamId, reason});
			}

			this.didLose.fire(peer.upstreamId);
		}
	}

	private receive(upstreamId: string, connection: WireConnection, message: Message): void {
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

	private ping(): void {
		const nowMs = this.now();
		for (const link of this.links.values()) {
			if (link.connection && nowMs - link.lastHeardMs > Math.max(silenceMs, missedPings * this.pingMs)) {
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

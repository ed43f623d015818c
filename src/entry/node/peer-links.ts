/** Connections between entries, which carry only settings and their revisions. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {HostList} from '../../store/common/host-list.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {SettingsSync} from '../../settings/node/settings-sync.js';
import {roles, serveStates} from '../../wire/common/messages.js';
import {WireClient, type WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import type {WireServer} from '../../wire/node/wire-server.js';

const listIntervalMs = 2000;
const pingIntervalMs = 1000;
/** Maximum number of entries that this one connects to; a change still reaches all others through these. */
const maxPeers = 8;

/** Dependencies of the peer links. */
export type PeerLinksOptions = {
	readonly hosts: HostList;
	readonly settings: SettingsService;
	readonly sync: SettingsSync;
	readonly server: WireServer;
	readonly wire: WireClientOptions;
	readonly clock: Clock;
	readonly random: Random;
};

/** Maintains the connections to other entries. */
export class PeerLinks implements Disposable {
	static create(options: PeerLinksOptions): PeerLinks {
		return new PeerLinks(options);
	}

	private readonly clients = new Map<string, WireClient>();
	private readonly connections = new Set<WireConnection>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: PeerLinksOptions) {
		const {clock, random, server} = options;
		this.disposables.add(server.onDidConnect(connection => {
			this.handleConnect(connection);
		}));
		this.disposables.add(setRepeating(clock, () => jitter(random, listIntervalMs), async () => this.readList()));
		this.disposables.add(setRepeating(clock, () => jitter(random, pingIntervalMs), () => {
			this.ping();
		}));
	}

	/** Reads the host list now, and opens and closes connections to the listed entries accordingly. */
	async readList(): Promise<void> {
		const hosts = await this.options.hosts.list();
		if (!hosts.ok) {
			return;
		}

		const {hostId: ownId} = this.options.wire.identity;
		const entries = hosts.value.filter(host => host.role === roles.entry && host.hostId !== ownId);
		// Each host connects to those that follow it in the ring of sorted ids, so that all are reachable with few links per host.
		const sorted = entries.toSorted((a, b) => a.hostId.localeCompare(b.hostId));
		const following = sorted.filter(host => host.hostId > ownId);
		const chosen = [...following, ...sorted.filter(host => host.hostId < ownId)].slice(0, maxPeers);
		const wanted = new Map(chosen.map(({address, port}) => [`${address}:${port}`, {address, port}]));
		for (const [endpointKey, client] of this.clients) {
			if (!wanted.has(endpointKey)) {
				client.dispose();
				this.clients.delete(endpointKey);
			}
		}

		for (const [endpointKey, endpoint] of wanted) {
			if (!this.clients.has(endpointKey)) {
				const client = WireClient.create(endpoint, this.options.wire);
				this.clients.set(endpointKey, client);
				client.onDidConnect(connection => {
					this.handleConnect(connection);
				});
			}
		}
	}

	dispose(): void {
		this.disposables.dispose();
		for (const client of this.clients.values()) {
			client.dispose();
		}
	}

	private handleConnect(connection: WireConnection): void {
		this.connections.add(connection);
		connection.onDidClose(() => {
			this.connections.delete(connection);
		});
		this.options.sync.attach(connection);
		connection.onDidReceive(message => {
			if (message.type === 'ping') {
				connection.send({
					type: 'pong', nonce: message.nonce, settingsRevision: this.revision, state: serveStates.serving,
				});
			}
		});
	}

	private ping(): void {
		for (const connection of this.connections) {
			connection.send({type: 'ping', nonce: 0, settingsRevision: this.revision});
		}
	}

	private get revision(): number {
		return this.options.settings.tree.revision;
	}
}

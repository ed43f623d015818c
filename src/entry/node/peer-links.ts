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

const listMs = 2000;
const pingMs = 1000;
/** Maximum number of entries that this one connects to; a change still reaches all others through these. */
const mostPeers = 8;

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
	private readonly owned = DisposableStore.create();

	private constructor(private readonly options: PeerLinksOptions) {
		const {clock, random, server} = options;
		this.owned.add(server.onDidConnect(connection => {
			this.connected(connection);
		}));
		this.owned.add(setRepeating(clock, () => jitter(random, listMs), async () => this.readList()));
		this.owned.add(setRepeating(clock, () => jitter(random, pingMs), () => {
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
		const after = sorted.filter(host => host.hostId > ownId);
		const chosen = [...after, ...sorted.filter(host => host.hostId < ownId)].slice(0, mostPeers);
		const wanted = new Map(chosen.map(({address, port}) => [`${address}:${port}`, {address, port}]));
		for (const [place, client] of this.clients) {
			if (!wanted.has(place)) {
				client.dispose();
				this.clients.delete(place);
			}
		}

		for (const [place, endpoint] of wanted) {
			if (!this.clients.has(place)) {
				const client = WireClient.create(endpoint, this.options.wire);
				this.clients.set(place, client);
				client.onDidConnect(connection => {
					this.connected(connection);
				});
			}
		}
	}

	dispose(): void {
		this.owned.dispose();
		for (const client of this.clients.values()) {
			client.dispose();
		}
	}

	private connected(connection: WireConnection): void {
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

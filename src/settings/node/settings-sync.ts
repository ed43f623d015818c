/** Keeps the settings of a host up to date: polls the head revision in the store, and exchanges revisions with peers. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Message} from '../../wire/common/messages.js';
import type {WireConnection} from '../../wire/node/wire-connection.js';
import {RevisionTracker} from '../common/revision-tracker.js';
import type {SettingsService} from '../common/settings-service.js';

/** Dependencies and parameters of `SettingsSync`. */
export type SettingsSyncOptions = {
	readonly settings: SettingsService;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Interval between reads of the head in milliseconds, depending on the number of connected peers. */
	readonly pollMs: (peerCount: number) => number;
};

/** Synchronizes settings with the store and with peers. */
export class SettingsSync implements Disposable {
	static create(options: SettingsSyncOptions): SettingsSync {
		return new SettingsSync(options);
	}

	readonly revisionTracker = RevisionTracker.create();
	private readonly peers = new Set<WireConnection>();
	private readonly disposables = DisposableStore.create();
	private readonly requestedRevisions = new Map<WireConnection, number>();
	private isStoreUnavailable = false;

	private constructor(private readonly options: SettingsSyncOptions) {
		const {settings, clock, random, pollMs} = options;
		this.disposables.add(settings.onDidChangeRevision(() => {
			this.notifyPeers();
		}));
		this.disposables.add(setRepeating(clock, () => jitter(random, pollMs(this.peers.size)), async () => this.poll()));
	}

	/**
	Starts to exchange settings with a peer, until the connection closes.
	@param connection - an open connection to the peer.
	*/
	attach(connection: WireConnection): void {
		this.peers.add(connection);
		connection.onDidClose(() => {
			this.peers.delete(connection);
			this.requestedRevisions.delete(connection);
			if (connection.peer) {
				this.revisionTracker.removeHost(connection.peer.hostId);
			}
		});
		connection.onDidReceive(message => {
			this.handleMessage(connection, message);
		});
		this.notifyPeer(connection);
	}

	/** Reads the store now, and logs when it becomes unavailable or available again. */
	async poll(): Promise<void> {
		const result = await this.options.settings.refresh();
		if (result.ok === this.isStoreUnavailable) {
			this.isStoreUnavailable = !result.ok;
			const {log} = this.options;
			if (result.ok) {
				log.info('The settings store is available again.', {revision: result.value});
			} else {
				log.warn('The settings store is unavailable; the current settings stay in force.', {reason: result.error.message});
			}
		}
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private handleMessage(connection: WireConnection, message: Message): void {
		const {settings} = this.options;
		switch (message.type) {
			case 'settingsRequest': {
				connection.send(settings.createReply(message.fromRevision));
				break;
			}

			case 'settingsReply': {
				this.requestedRevisions.delete(connection);
				this.handleReply(message);
				break;
			}

			case 'ping':
			case 'pong':
			case 'report':
			case 'dispatch': {
				this.handlePeerRevision(connection, message.settingsRevision);
				break;
			}

			default: {
				break;
			}
		}
	}

	private handleReply(message: Extract<Message, {type: 'settingsReply'}>): void {
		try {
			this.options.settings.applyReply(message);
		} catch (error) {
			this.options.log.error('A peer sent malformed settings.', {reason: messageOf(error)});
		}
	}

	/** Records the revision that a peer reports; requests it if it is newer, at most once for each of the peer's revisions. */
	private handlePeerRevision(connection: WireConnection, revision: number): void {
		const ownRevision = this.options.settings.tree.revision;
		if (connection.peer) {
			this.revisionTracker.recordRevision(connection.peer, revision, this.options.clock.nowMs());
		}

		if (revision > ownRevision && (this.requestedRevisions.get(connection) ?? 0) < revision) {
			this.requestedRevisions.set(connection, revision);
			connection.send({type: 'settingsRequest', fromRevision: ownRevision});
		}
	}

	private notifyPeers(): void {
		for (const connection of this.peers) {
			this.notifyPeer(connection);
		}
	}

	private notifyPeer(connection: WireConnection): void {
		connection.send({type: 'ping', nonce: 0, settingsRevision: this.options.settings.tree.revision});
	}
}

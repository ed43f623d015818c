/** Exchanges the declaration and the server list between peers, so that no host falls behind while it can't reach the store. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import {applyDeploymentPatch, deploymentPatchSchema} from '../../deployment/common/deployment-patch.js';
import type {HallDrains} from '../../deployment/common/hall-drains.js';
import {listSources} from '../../deployment/common/list-source.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import {parseReportedServers} from '../../deployment/common/upstream-server.js';
import type {Message, PackedDeployment} from '../../wire/common/messages.js';
import {PeerRequestPacer} from '../common/peer-request-pacer.js';
import {unpackJson} from './packed-json.js';
import type {PeerMesh} from './peer-mesh.js';
import {StateReplyCache} from './state-reply-cache.js';

/** Changes of the server list are collected for this long before peers are notified, because servers often change together. */
const collectMs = 40;

/**
A host whose server list stays older than a peer's for this long requests the peer's list: its own connection to the store may have become
silent, which the host itself notices only after 2.7 s. Usually both hosts receive a change within milliseconds.
*/
const maxBehindMs = 300;

/** Dependencies of `StateExchange`. */
export type StateExchangeOptions = {
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'announce' | 'send'>;
	readonly tracker: DeploymentTracker;
	readonly registry: ServerRegistry;
	readonly drains: HallDrains;
	/** Whether this host knows that its own reading of the server list is interrupted. */
	readonly isListUnavailable: () => boolean;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Requests the state in force from peers, replies to their requests, and notifies them of changes. */
export class StateExchange implements Disposable {
	static create(options: StateExchangeOptions): StateExchange {
		return new StateExchange(options);
	}

	private readonly disposables = DisposableStore.create();
	/** Runs while changes of the server list are collected. */
	private collectTimer: Disposable | undefined;
	private readonly replyCache: StateReplyCache;
	private readonly deploymentPacer = PeerRequestPacer.create();
	private readonly serversPacer = PeerRequestPacer.create();
	/** The first revision of a peer's list that this host lacked, and when it was reported; kept until this host has caught up. */
	private firstMissing: {readonly revision: number; readonly sinceMs: number} | undefined;

	private constructor(private readonly options: StateExchangeOptions) {
		const {mesh, tracker, registry, drains} = options;
		this.replyCache = this.disposables.add(StateReplyCache.create(tracker, registry));
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			this.handleMessage(hostId, message);
		}));
		this.disposables.add(tracker.onDidChange(() => {
			mesh.announce();
		}));
		this.disposables.add(drains.onDidChange(() => {
			mesh.announce();
		}));
		this.disposables.add(registry.onDidChange(() => {
			this.scheduleAnnouncement();
		}));
	}

	dispose(): void {
		this.collectTimer?.dispose();
		this.disposables.dispose();
	}

	/** Schedules a notification of peers: those that do not read the store are notified of servers by those that do. */
	private scheduleAnnouncement(): void {
		const {clock, mesh, isListUnavailable} = this.options;
		if (!isListUnavailable()) {
			this.collectTimer ??= clock.setTimer(collectMs, () => {
				this.collectTimer = undefined;
				mesh.announce();
			});
		}
	}

	private handleMessage(hostId: string, message: Message): void {
		const {mesh, tracker, drains, clock} = this.options;
		switch (message.type) {
			case 'peerBeat': {
				const nowMs = clock.nowMs();
				drains.apply(message.hallDrains ?? [], listSources.peer);
				this.sendRequest(hostId, {
					wantsDeployment: message.deploymentVersion > tracker.version && this.deploymentPacer.maySend(nowMs),
					wantsServers: this.shouldRequestList(message.listRevision) && this.serversPacer.maySend(nowMs),
				});

				break;
			}

			case 'stateRequest': {
				const deployment = message.wantsDeployment ? this.replyCache.deployment(message.haveVersion) : undefined;
				mesh.send(hostId, {
					type: 'stateReply',
					...(deployment && {deployment}),
					...(message.wantsServers && {servers: this.replyCache.servers()}),
				});

				break;
			}

			case 'stateReply': {
				this.applyReply(hostId, message.deployment, message.servers);

				break;
			}
		// No default
		}
	}

	/** Whether a peer's list is newer and is not expected from this host's own reading. */
	private shouldRequestList(listRevision: number): boolean {
		const {registry, isListUnavailable, clock} = this.options;
		if (listRevision <= registry.revision) {
			return false;
		}

		const nowMs = clock.nowMs();
		if (!this.firstMissing || this.firstMissing.revision <= registry.revision) {
			this.firstMissing = {revision: listRevision, sinceMs: nowMs};
		}

		return isListUnavailable() || nowMs - this.firstMissing.sinceMs >= maxBehindMs;
	}

	private sendRequest(hostId: string, wants: {readonly wantsDeployment: boolean; readonly wantsServers: boolean}): void {
		const {mesh, tracker, clock} = this.options;
		if ((!wants.wantsDeployment && !wants.wantsServers) || !mesh.send(hostId, {type: 'stateRequest', ...wants, haveVersion: tracker.version})) {
			return;
		}

		const nowMs = clock.nowMs();
		if (wants.wantsDeployment) {
			this.deploymentPacer.recordRequest(hostId, nowMs);
		}

		if (wants.wantsServers) {
			this.serversPacer.recordRequest(hostId, nowMs);
		}
	}

	private applyReply(hostId: string, deployment: PackedDeployment | undefined, servers: Uint8Array | undefined): void {
		try {
			if (deployment !== undefined) {
				this.applyDeployment(hostId, deployment);
			}

			if (servers !== undefined) {
				this.applyServers(hostId, servers);
			}
		} catch (error) {
			this.options.log.error('A peer sent a state that can\'t be parsed; the state is ignored.', {peer: hostId, reason: messageOf(error)});
		}
	}

	private applyDeployment(hostId: string, {baseVersion, version, patch}: PackedDeployment): void {
		const {tracker, clock, log} = this.options;
		const tookMs = this.deploymentPacer.recordReply(hostId, clock.nowMs());
		const isNew = version > tracker.version;
		log.info('Received the declaration from a peer.', {
			peer: hostId, version, baseVersion, sizeBytes: patch.byteLength, isNews: isNew, ...(tookMs !== undefined && {tookMs: Math.round(tookMs)}),
		});
		// Late replies from peers to earlier requests are not decompressed, so they cost nothing more.
		if (!isNew) {
			return;
		}

		const result = applyDeploymentPatch(tracker.current?.deployment, deploymentPatchSchema.parse(unpackJson(patch)));
		if (result.ok) {
			tracker.offer(result.value, 'peer');
		} else {
			log.warn('A declaration patch from a peer does not apply to the version on this host; the declaration will be requested again.', {peer: hostId, reason: result.error.message});
		}
	}

	private applyServers(hostId: string, servers: Uint8Array): void {
		const {registry, clock, log} = this.options;
		this.serversPacer.recordReply(hostId, clock.nowMs());
		const {list, unreadableCount} = parseReportedServers(unpackJson(servers));
		if (unreadableCount > 0) {
			log.error('A peer reported servers that can\'t be parsed; the others are used.', {peer: hostId, revision: list.revision, count: unreadableCount});
		}

		registry.replaceAll(list, clock.nowMs(), listSources.peer);
	}
}

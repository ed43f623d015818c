/** What peers tell each other of the declaration and the servers, so that no host is left behind while the store is away from it. */
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
import {AskPace} from '../common/ask-pace.js';
import {unpackJson} from './packed-json.js';
import type {PeerMesh} from './peer-mesh.js';
import {StateReplies} from './state-replies.js';

/** Changes of the list are gathered for this long before peers are told that there are some: servers often change together. */
const gatherMs = 40;

/**
A host whose list stays older than a peer's for this long asks for the peer's: its own reading may have fallen
silent, which it notices itself only after 2.7 s. Usually both learn of a change within milliseconds.
*/
const behindMs = 300;

/** What the exchange is made of. */
export type StateExchangeOptions = {
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'announce' | 'send'>;
	readonly board: DeploymentTracker;
	readonly registry: ServerRegistry;
	readonly drains: HallDrains;
	/** Whether this host's own reading of the server list is interrupted. */
	readonly isListAway: () => boolean;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Asks peers for what they have in force, answers them, and tells them of changes. */
export class StateExchange implements Disposable {
	static create(options: StateExchangeOptions): StateExchange {
		return new StateExchange(options);
	}

	private readonly owned = DisposableStore.create();
	/** Runs while changes of the list are gathered. */
	private gatherTimer: Disposable | undefined;
	private readonly replies: StateReplies;
	private readonly deploymentPace = AskPace.create();
	private readonly serversPace = AskPace.create();
	/** The first revision of a peer's list that this host lacked, and when it was told; kept until it has caught up. */
	private lacked: {readonly revision: number; readonly sinceMs: number} | undefined;

	private constructor(private readonly options: StateExchangeOptions) {
		const {mesh, board, registry, drains} = options;
		this.replies = this.owned.add(StateReplies.create(board, registry));
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			this.receive(hostId, message);
		}));
		this.owned.add(board.onDidChange(() => {
			mesh.announce();
		}));
		this.owned.add(drains.onDidChange(() => {
			mesh.announce();
		}));
		this.owned.add(registry.onDidChange(() => {
			this.announceSoon();
		}));
	}

	dispose(): void {
		this.gatherTimer?.dispose();
		this.owned.dispose();
	}

	/** Peers that do not read the store learn of servers from those that do. */
	private announceSoon(): void {
		const {clock, mesh, isListAway} = this.options;
		if (!isListAway()) {
			this.gatherTimer ??= clock.setTimer(gatherMs, () => {
				this.gatherTimer = undefined;
				mesh.announce();
			});
		}
	}

	private receive(hostId: string, message: Message): void {
		const {mesh, board, drains, clock} = this.options;
		switch (message.type) {
			case 'peerBeat': {
				const nowMs = clock.nowMs();
				drains.apply(message.hallDrains ?? [], listSources.peer);
				this.ask(hostId, {
					wantsDeployment: message.deploymentVersion > board.version && this.deploymentPace.mayAsk(nowMs),
					wantsServers: this.lacks(message.listRevision) && this.serversPace.mayAsk(nowMs),
				});

				break;
			}

			case 'stateRequest': {
				const deployment = message.wantsDeployment ? this.replies.deployment(message.haveVersion) : undefined;
				mesh.send(hostId, {
					type: 'stateReply',
					...(deployment && {deployment}),
					...(message.wantsServers && {servers: this.replies.servers()}),
				});

				break;
			}

			case 'stateReply': {
				this.take(hostId, message.deployment, message.servers);

				break;
			}
		// No default
		}
	}

	/** Whether a peer's list is newer and this host's own reading won't bring it. */
	private lacks(listRevision: number): boolean {
		const {registry, isListAway, clock} = this.options;
		if (listRevision <= registry.revision) {
			return false;
		}

		const nowMs = clock.nowMs();
		if (!this.lacked || this.lacked.revision <= registry.revision) {
			this.lacked = {revision: listRevision, sinceMs: nowMs};
		}

		return isListAway() || nowMs - this.lacked.sinceMs >= behindMs;
	}

	private ask(hostId: string, wants: {readonly wantsDeployment: boolean; readonly wantsServers: boolean}): void {
		const {mesh, board, clock} = this.options;
		if ((!wants.wantsDeployment && !wants.wantsServers) || !mesh.send(hostId, {type: 'stateRequest', ...wants, haveVersion: board.version})) {
			return;
		}

		const nowMs = clock.nowMs();
		if (wants.wantsDeployment) {
			this.deploymentPace.ask(hostId, nowMs);
		}

		if (wants.wantsServers) {
			this.serversPace.ask(hostId, nowMs);
		}
	}

	private take(hostId: string, deployment: PackedDeployment | undefined, servers: Uint8Array | undefined): void {
		try {
			if (deployment !== undefined) {
				this.takeDeployment(hostId, deployment);
			}

			if (servers !== undefined) {
				this.takeServers(hostId, servers);
			}
		} catch (error) {
			this.options.log.error('A peer sent a state that can\'t be read; it is passed over.', {peer: hostId, reason: messageOf(error)});
		}
	}

	private takeDeployment(hostId: string, {baseVersion, version, patch}: PackedDeployment): void {
		const {board, clock, log} = this.options;
		const tookMs = this.deploymentPace.answered(hostId, clock.nowMs());
		const isNews = version > board.version;
		log.info('A peer told of the declaration.', {
			peer: hostId, version, baseVersion, sizeBytes: patch.byteLength, isNews, ...(tookMs !== undefined && {tookMs: Math.round(tookMs)}),
		});
		// Late answers of peers that were asked before cost nothing more.
		if (!isNews) {
			return;
		}

		const made = applyDeploymentPatch(board.current?.deployment, deploymentPatchSchema.parse(unpackJson(patch)));
		if (made.ok) {
			board.offer(made.value, 'peer');
		} else {
			log.warn('What a peer told of the declaration does not fit the version here; it is asked for again.', {peer: hostId, reason: made.error.message});
		}
	}

	private takeServers(hostId: string, servers: Uint8Array): void {
		const {registry, clock, log} = this.options;
		this.serversPace.answered(hostId, clock.nowMs());
		const {list, unreadableCount} = parseReportedServers(unpackJson(servers));
		if (unreadableCount > 0) {
			log.error('A peer told of servers that can\'t be read; the others are used.', {peer: hostId, revision: list.revision, count: unreadableCount});
		}

		registry.replaceAll(list, clock.nowMs(), listSources.peer);
	}
}

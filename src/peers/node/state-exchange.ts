/** What peers tell each other of the declaration and the servers, so that no host is left behind while the store is away from it. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import {deploymentSchema} from '../../deployment/common/declaration.js';
import type {DeploymentBoard} from '../../deployment/common/deployment-board.js';
import {listSources, type ServerRegistry} from '../../deployment/common/server-registry.js';
import {serverListSchema} from '../../deployment/common/upstream-server.js';
import type {Message} from '../../wire/common/messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** Changes of the list are gathered for this long before peers are told that there are some: servers often change together. */
const gatherMs = 40;

/**
A peer that was asked is given this long before another is: a declaration of many routes takes 100 ms and more
over the thinnest links, and every host that has it says so at once.
*/
const answerMs = 400;

/**
A host whose list stays older than a peer's for this long asks for the peer's: its own reading may have fallen
silent, which it notices itself only after 2.7 s. Usually both learn of a change within milliseconds.
*/
const behindMs = 300;

/** What the exchange is made of. */
export type StateExchangeOptions = {
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'announce' | 'send'>;
	readonly board: DeploymentBoard;
	readonly registry: ServerRegistry;
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
	/** When a peer was last asked for either and has not answered. */
	private deploymentAskedMs = -Infinity;
	private serversAskedMs = -Infinity;
	/** The first revision of a peer's list that this host lacked, and when it was told; kept until it has caught up. */
	private lacked: {readonly revision: number; readonly sinceMs: number} | undefined;

	private constructor(private readonly options: StateExchangeOptions) {
		const {mesh, board, registry} = options;
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			this.receive(hostId, message);
		}));
		this.owned.add(board.onDidChange(() => {
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
		const {mesh, board, registry, clock} = this.options;
		switch (message.type) {
			case 'peerBeat': {
				const askedBeforeMs = clock.nowMs() - answerMs;
				this.ask(hostId, {
					wantsDeployment: message.deploymentVersion > board.version && this.deploymentAskedMs <= askedBeforeMs,
					wantsServers: this.lacks(message.listRevision) && this.serversAskedMs <= askedBeforeMs,
				});

				break;
			}

			case 'stateRequest': {
				const deployment = message.wantsDeployment ? board.current?.deployment : undefined;
				mesh.send(hostId, {
					type: 'stateReply',
					...(deployment && {deployment: JSON.stringify(deployment)}),
					...(message.wantsServers && {servers: JSON.stringify(registry.snapshot())}),
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

	/** Asks one peer at a time: each answer is the whole of it. */
	private ask(hostId: string, wants: {readonly wantsDeployment: boolean; readonly wantsServers: boolean}): void {
		const {mesh, clock} = this.options;
		if ((!wants.wantsDeployment && !wants.wantsServers) || !mesh.send(hostId, {type: 'stateRequest', ...wants})) {
			return;
		}

		this.deploymentAskedMs = wants.wantsDeployment ? clock.nowMs() : this.deploymentAskedMs;
		this.serversAskedMs = wants.wantsServers ? clock.nowMs() : this.serversAskedMs;
	}

	private take(hostId: string, deployment: string | undefined, servers: string | undefined): void {
		const {board, registry, clock, log} = this.options;
		this.deploymentAskedMs = deployment === undefined ? this.deploymentAskedMs : -Infinity;
		this.serversAskedMs = servers === undefined ? this.serversAskedMs : -Infinity;
		try {
			if (deployment !== undefined) {
				board.offer(deploymentSchema.parse(JSON.parse(deployment)), 'peer');
			}

			if (servers !== undefined) {
				registry.replaceAll(serverListSchema.parse(JSON.parse(servers)), clock.nowMs(), listSources.peer);
			}
		} catch (error) {
			log.error('A peer sent a state that can\'t be read; it is passed over.', {peer: hostId, reason: messageOf(error)});
		}
	}
}

/**
Which starts of servers have said in an answer that they leave. That is final: the list may say otherwise, as an entry that was written
before, told by a peer, or kept over an outage of the store does. A later start of the same server has another `serverId`.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {UpstreamServer} from './upstream-server.js';

/** Starts that are remembered; beyond them the oldest are forgotten. */
const mostRemembered = 2000;

export const leavingServersToken: InjectionToken<LeavingServers> = Symbol('LeavingServers');

/** Knows the servers that said that they leave. */
export class LeavingServers {
	static create(log: Logger): LeavingServers {
		return new LeavingServers(log);
	}

	private readonly didSay = Emitter.create<string>();
	private readonly didLearn = Emitter.create<string>();
	/** By `serverId`; the one learned longest ago first. */
	private readonly known = new Set<string>();

	private constructor(private readonly log: Logger) {}

	/** Fires with the `serverId` of a server that told this host first. */
	get onDidSay() {
		return this.didSay.event;
	}

	/** Fires with each `serverId` that becomes known here, whoever told it. */
	get onDidLearn() {
		return this.didLearn.event;
	}

	/** All that are known, the one learned longest ago first. */
	get all(): readonly string[] {
		return [...this.known];
	}

	/**
	Tells whether a server has said that it leaves.
	@param serverId - the server.
	*/
	has(serverId: string): boolean {
		return this.known.has(serverId);
	}

	/**
	A server has told this host in an answer.
	@param server - the server.
	*/
	said({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>): void {
		if (this.learn(serverId)) {
			this.log.info('A server says in an answer that it leaves.', {server: serverId, pool});
			this.didSay.fire(serverId);
		}
	}

	/**
	A peer tells of servers that have said so.
	@param serverIds - the servers.
	@param peer - its name, for logs.
	*/
	hear(serverIds: readonly string[], peer: string): void {
		for (const serverId of serverIds) {
			if (this.learn(serverId)) {
				this.log.info('A peer tells that a server leaves.', {server: serverId, peer});
			}
		}
	}

	/** @returns whether this is news. */
	private learn(serverId: string): boolean {
		if (this.known.has(serverId)) {
			return false;
		}

		this.known.add(serverId);
		if (this.known.size > mostRemembered) {
			const [oldest] = this.known;
			this.known.delete(oldest);
		}

		this.didLearn.fire(serverId);
		return true;
	}
}

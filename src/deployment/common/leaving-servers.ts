/**
Tracks which starts of servers have reported in a response that they are leaving. A report is final, even if the list of servers disagrees: an entry
may have been written before the report, sent by a peer, or kept during an outage of the store. A later start of the same server has another `serverId`.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {UpstreamServer} from './upstream-server.js';

/** Maximum number of starts that are remembered; beyond it the oldest are evicted. */
const maxRemembered = 2000;

export const leavingServersToken: InjectionToken<LeavingServers> = Symbol('LeavingServers');

/** Keeps the servers that have reported that they are leaving. */
export class LeavingServers {
	static create(log: Logger): LeavingServers {
		return new LeavingServers(log);
	}

	private readonly didServerReport = Emitter.create<string>();
	private readonly didObserve = Emitter.create<string>();
	/** Values of `serverId`, oldest first. */
	private readonly known = new Set<string>();

	private constructor(private readonly log: Logger) {}

	/** Fires with the `serverId` of a server whose report reached this host in a response before any peer passed it on. */
	get onDidServerReport() {
		return this.didServerReport.event;
	}

	/** Fires with each `serverId` that becomes known here, whether from a response or from a peer. */
	get onDidObserve() {
		return this.didObserve.event;
	}

	/** All that are known, oldest first. */
	get all(): readonly string[] {
		return [...this.known];
	}

	/**
	Returns whether a server has reported that it is leaving.
	@param serverId - the start of the server.
	*/
	has(serverId: string): boolean {
		return this.known.has(serverId);
	}

	/**
	Handles a report that a server made in a response to this host.
	@param server - the server.
	*/
	handleServerReport({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>): void {
		if (this.add(serverId)) {
			this.log.info('A server reported in a response that it is leaving.', {server: serverId, pool});
			this.didServerReport.fire(serverId);
		}
	}

	/**
	Handles reports that a peer passed on.
	@param serverIds - the servers that are leaving.
	@param peer - its name, for logs.
	*/
	handlePeerReport(serverIds: readonly string[], peer: string): void {
		for (const serverId of serverIds) {
			if (this.add(serverId)) {
				this.log.info('A peer reported that a server is leaving.', {server: serverId, peer});
			}
		}
	}

	/** @returns whether the server was not known to be leaving before. */
	private add(serverId: string): boolean {
		if (this.known.has(serverId)) {
			return false;
		}

		this.known.add(serverId);
		if (this.known.size > maxRemembered) {
			const [oldest] = this.known;
			this.known.delete(oldest);
		}

		this.didObserve.fire(serverId);
		return true;
	}
}

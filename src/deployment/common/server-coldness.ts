/** Which servers are cold, and for how much longer: as their entries tell, and where a data hall was given back. */
import type {ListedServer} from './upstream-server.js';

/** Until when a server is cold, and by which writing of the platform's store. */
type Cold = {readonly revision: number; readonly untilMs: number};

/** Knows the cold servers. */
export class ServerColdness {
	static create(): ServerColdness {
		return new ServerColdness();
	}

	/** By `serverId`. */
	private readonly cold = new Map<string, Cold>();

	/**
	Tells how much longer a server is cold.
	@param serverId - the server.
	@param nowMs - the time.
	@returns 0 for one that is not.
	*/
	leftMs(serverId: string, nowMs: number): number {
		return Math.max(0, (this.cold.get(serverId)?.untilMs ?? 0) - nowMs);
	}

	/**
	An entry was read. One that was written before its hall was given back does not know whether its server went cold meanwhile.
	@param server - as its entry tells.
	@param nowMs - the time.
	@returns whether the server has turned cold.
	*/
	read({serverId, coldLeftMs, revision}: ListedServer, nowMs: number): boolean {
		if (coldLeftMs !== undefined) {
			return this.set(serverId, nowMs + coldLeftMs, revision, nowMs);
		}

		const known = this.cold.get(serverId);
		if (known && revision > known.revision) {
			this.cold.delete(serverId);
		}

		return false;
	}

	/**
	A server may have turned cold, as its hall was given back.
	@param serverId - the server.
	@param forMs - how long it is cold if it has.
	@param revision - the writing that gave the hall back.
	@param nowMs - the time.
	@returns whether it did not count as cold before.
	*/
	suspect(serverId: string, forMs: number, revision: number, nowMs: number): boolean {
		return this.set(serverId, nowMs + Math.max(forMs, this.leftMs(serverId, nowMs)), revision, nowMs);
	}

	/** A server is gone. */
	forget(serverId: string): void {
		this.cold.delete(serverId);
	}

	private set(serverId: string, untilMs: number, revision: number, nowMs: number): boolean {
		const isNews = this.leftMs(serverId, nowMs) === 0;
		this.cold.set(serverId, {revision, untilMs});
		return isNews;
	}
}

/** Tracks which servers are cold and for how much longer, according to their entries and to ended drains of data halls. */
import type {ListedServer} from './upstream-server.js';

/** Until when a server is cold, and the store revision from which this is known. */
type ColdPeriod = {readonly revision: number; readonly untilMs: number};

/** Keeps the cold servers. */
export class ServerColdness {
	static create(): ServerColdness {
		return new ServerColdness();
	}

	/** By `serverId`. */
	private readonly cold = new Map<string, ColdPeriod>();

	/**
	Returns for how much longer a server is cold.
	@param serverId - the server.
	@param nowMs - current time.
	@returns the remaining time; 0 for a server that is not cold.
	*/
	remainingMs(serverId: string, nowMs: number): number {
		return Math.max(0, (this.cold.get(serverId)?.untilMs ?? 0) - nowMs);
	}

	/**
	Applies an entry that was read. An entry that was written before the drain of its hall ended can't show whether its server became cold during the drain.
	@param server - the server according to its entry.
	@param nowMs - current time.
	@returns whether the server has become cold.
	*/
	applyEntry({serverId, coldLeftMs, revision}: ListedServer, nowMs: number): boolean {
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
	Treats a server as cold because it may have become cold while its hall was drained.
	@param serverId - the server.
	@param durationMs - how long the server is cold if it has become cold.
	@param revision - the store revision that ended the drain.
	@param nowMs - current time.
	@returns whether the server was not considered cold before.
	*/
	assumeCold(serverId: string, durationMs: number, revision: number, nowMs: number): boolean {
		return this.set(serverId, nowMs + Math.max(durationMs, this.remainingMs(serverId, nowMs)), revision, nowMs);
	}

	/** Removes a server that is gone. */
	forget(serverId: string): void {
		this.cold.delete(serverId);
	}

	private set(serverId: string, untilMs: number, revision: number, nowMs: number): boolean {
		const wasWarm = this.remainingMs(serverId, nowMs) === 0;
		this.cold.set(serverId, {revision, untilMs});
		return wasWarm;
	}
}

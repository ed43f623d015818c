/**
Which upstream servers there are.

A server that is leaving or gone never comes back under the same id, with one exception: an entry that
lapsed while the store was away, which is kept until its server has had time to write it again.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {ServerList, UpstreamServer} from './upstream-server.js';

/**
How long after the store's return a missing entry may still come back.
The platform's figure: entries of live servers are back within about two seconds.
*/
export const lapseGraceMs = 2200;

/** What changed about a server. */
export type ServerChange = {readonly server: UpstreamServer; readonly change: 'joined' | 'leaving' | 'gone'};

/** Who told of the servers. */
export const listSources = {store: 'store', peer: 'peer'} as const;
export type ListSource = (typeof listSources)[keyof typeof listSources];

export const serverRegistryToken: InjectionToken<ServerRegistry> = Symbol('ServerRegistry');

/** Keeps the servers of all pools. */
export class ServerRegistry {
	static create(log: Logger): ServerRegistry {
		return new ServerRegistry(log);
	}

	private readonly didChange = Emitter.create<ServerChange>();
	private readonly servers = new Map<string, UpstreamServer>();
	/** Servers whose entry is missing since the store was away, and until when that is forgiven. */
	private readonly lapsed = new Map<string, number>();
	/** Servers that answered as another one, so that their address is someone else's now. */
	private readonly replaced = new Set<string>();
	private views = new Map<string, readonly UpstreamServer[]>();
	private forgivenUntilMs = 0;
	private listRevision = 0;
	/** Who told what is being taken; for logs. */
	private source: ListSource = listSources.store;

	private constructor(private readonly log: Logger) {}

	get onDidChange() {
		return this.didChange.event;
	}

	/** Which writing of the store the list is as of; 0 before the first list. */
	get revision(): number {
		return this.listRevision;
	}

	get size(): number {
		return this.servers.size;
	}

	/**
	Gives the servers of a pool that may get new work.
	@param pool - the pool's name.
	*/
	usable(pool: string): readonly UpstreamServer[] {
		let view = this.views.get(pool);
		if (!view) {
			view = [...this.servers.values()].filter(server => server.pool === pool && !server.isLeaving);
			this.views.set(pool, view);
		}

		return view;
	}

	get(serverId: string): UpstreamServer | undefined {
		return this.servers.get(serverId);
	}

	/** Whether a server may still get work although its entry is missing. */
	isMissing(serverId: string): boolean {
		return this.lapsed.has(serverId);
	}

	/** @returns the whole list, for a peer. */
	snapshot(): ServerList {
		return {revision: this.listRevision, servers: [...this.servers.values()]};
	}

	/**
	The store answers again after it was away: entries missing now may have lapsed.
	@param nowMs - the time.
	*/
	storeReturned(nowMs: number): void {
		this.forgivenUntilMs = nowMs + lapseGraceMs;
	}

	/**
	Takes a whole list.
	@param list - the list.
	@param nowMs - the time.
	@param source - who told it.
	@returns false for a list that is older than what is known.
	*/
	replaceAll(list: ServerList, nowMs: number, source: ListSource = listSources.store): boolean {
		if (list.revision < this.listRevision) {
			return false;
		}

		this.source = source;
		this.listRevision = list.revision;
		const listed = new Set(list.servers.map(server => server.serverId));
		for (const server of list.servers) {
			this.put(server);
		}

		for (const serverId of this.servers.keys()) {
			if (!listed.has(serverId)) {
				this.missing(serverId, nowMs);
			}
		}

		return true;
	}

	/**
	Takes changes of the list.
	@param changed - entries that were written.
	@param removedIds - entries that were dropped.
	@param revision - as of which writing.
	@param nowMs - the time.
	*/
	applyChanges(changed: readonly UpstreamServer[], removedIds: readonly string[], revision: number, nowMs: number): void {
		this.source = listSources.store;
		this.listRevision = Math.max(this.listRevision, revision);
		for (const server of changed) {
			this.put(server);
		}

		for (const serverId of removedIds) {
			this.missing(serverId, nowMs);
		}
	}

	/**
	A server answered that it is not the one expected: its address belongs to another.
	@param serverId - the one expected.
	*/
	addressTaken(serverId: string): void {
		this.replaced.add(serverId);
		this.drop(serverId, 'its address answers as another server');
	}

	/**
	Drops entries whose time to come back is over.
	@param nowMs - the time.
	*/
	tick(nowMs: number): void {
		for (const [serverId, untilMs] of this.lapsed) {
			if (nowMs >= untilMs) {
				this.drop(serverId, 'its entry did not come back after the store\'s return');
			}
		}
	}

	private put(server: UpstreamServer): void {
		this.lapsed.delete(server.serverId);
		if (this.replaced.has(server.serverId)) {
			return;
		}

		const known = this.servers.get(server.serverId);
		// Leaving is for good, whatever an older entry says.
		const isLeaving = server.isLeaving || known?.isLeaving === true;
		this.servers.set(server.serverId, {...server, isLeaving});
		this.views = new Map();
		if (known?.isLeaving !== isLeaving) {
			const change = isLeaving ? 'leaving' : 'joined';
			this.log.info('A server is listed.', {
				server: server.serverId, pool: server.pool, hall: server.hall, change, revision: this.listRevision, source: this.source,
			});
			this.didChange.fire({server, change});
		}
	}

	private missing(serverId: string, nowMs: number): void {
		if (nowMs >= this.forgivenUntilMs) {
			this.drop(serverId, 'its entry was dropped');
		} else if (this.servers.has(serverId) && !this.lapsed.has(serverId)) {
			this.lapsed.set(serverId, this.forgivenUntilMs);
			this.log.info('A server\'s entry is missing; it may still come back.', {
				server: serverId, forMs: Math.round(this.forgivenUntilMs - nowMs), revision: this.listRevision, source: this.source,
			});
		}
	}

	private drop(serverId: string, reason: string): void {
		this.lapsed.delete(serverId);
		const server = this.servers.get(serverId);
		if (server) {
			this.servers.delete(serverId);
			this.views = new Map();
			this.log.info('A server is gone.', {
				server: serverId, pool: server.pool, reason, revision: this.listRevision, source: this.source,
			});
			this.didChange.fire({server, change: 'gone'});
		}
	}
}

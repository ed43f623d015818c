/**
Which upstream servers there are.

A start of a server that is leaving or gone never comes back, with one exception: an entry that lapsed while the store
was away, which is kept until its server has had time to write it again. A server may start again under the id that it
had: the later start takes the place of the earlier one, which is gone from then on, however late it is told of.

News come from the store's feed and from peers, late, twice and in any order. Each entry has the revision of the
writing that made it, and the list is complete as of a revision of its own: whatever is older than either is passed
over, so that history told again brings nothing back.

An entry that goes while the store is away may come back for a while (`MissingEntries`). It gets work only where most of its pool is
missing: without it an outage of the store in which all entries lapse would leave callers nobody to serve them.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {DroppedRow, FeedChanges, WrittenRow} from './feed.js';
import type {HallDrainChange, HallDrains} from './hall-drains.js';
import type {LeavingServers} from './leaving-servers.js';
import {listSources, type ListSource} from './list-source.js';
import {MissingEntries} from './missing-entries.js';
import {PoolViews} from './pool-views.js';
import {
	changeMessages, goneReasons, type GoneReason, type ServerChange,
} from './server-change.js';
import {ServerColdness} from './server-coldness.js';
import {ServerStarts} from './server-starts.js';
import type {ListedServer, ServerList, UpstreamServer} from './upstream-server.js';

export const serverRegistryToken: InjectionToken<ServerRegistry> = Symbol('ServerRegistry');

/** One change of the list. */
type Change
	= | {readonly kind: 'written'; readonly row: WrittenRow<UpstreamServer>}
		| {readonly kind: 'dropped' | 'unreadable'; readonly row: DroppedRow};

/** What the registry is made of. */
export type ServerRegistryOptions = {
	readonly log: Logger;
	/** Within this time after the store took it a server that leaves must get no more. */
	readonly leavingWithinMs: number;
	/** Halls whose servers get no new work; none where absent. */
	readonly drains?: Pick<HallDrains, 'isDrained' | 'onDidChange'>;
	/** Servers that have said themselves that they leave; none where absent. */
	readonly leaving?: Pick<LeavingServers, 'has' | 'onDidLearn'>;
};

/** Keeps the servers of all pools. */
export class ServerRegistry {
	static create(options: ServerRegistryOptions): ServerRegistry {
		return new ServerRegistry(options);
	}

	private readonly didChange = Emitter.create<ServerChange>();
	private readonly servers = new Map<string, ListedServer>();
	private readonly starts = ServerStarts.create(serverId => this.servers.has(serverId));
	private readonly missing: MissingEntries;
	private readonly coldness = ServerColdness.create();
	/** Servers that answered as another one, so that their address is someone else's now. */
	private readonly replaced = new Set<string>();
	private readonly views = PoolViews.create({
		servers: this.servers, isMissing: serverId => this.missing.has(serverId), takesNew: server => this.takesNew(server),
	});

	private listRevision = 0;
	/** Who told what is being taken; for logs. */
	private source: ListSource = listSources.store;

	private constructor(private readonly options: ServerRegistryOptions) {
		this.missing = MissingEntries.create(options.leavingWithinMs);
		options.drains?.onDidChange(change => {
			this.drainChanged(change);
		});
		options.leaving?.onDidLearn(serverId => {
			this.saidLeaving(serverId);
		});
	}

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
		return this.views.usable(pool);
	}

	/**
	Tells whether a pool has servers, and none of them may get anything new.
	@param pool - the pool's name.
	*/
	isPoolClosed(pool: string): boolean {
		return this.views.isClosed(pool);
	}

	/**
	Tells whether a server may get anything new: one that leaves may not, nor may one in a hall that is being drained.
	@param server - where work would go.
	*/
	takesNew({serverId, hall}: Pick<UpstreamServer, 'serverId' | 'hall'>): boolean {
		return this.servers.get(serverId)?.isLeaving !== true && this.options.drains?.isDrained(hall) !== true;
	}

	get(serverId: string): UpstreamServer | undefined {
		return this.servers.get(serverId);
	}

	/**
	Tells how much longer a server is cold.
	@param serverId - the server.
	@param nowMs - the time.
	*/
	coldLeftMs(serverId: string, nowMs: number): number {
		return this.coldness.leftMs(serverId, nowMs);
	}

	/**
	A data hall was given back: its servers may have gone cold meanwhile, which their entries tell up to a beat later.
	@param hall - the hall.
	@param coldMsOf - how long servers of a pool are cold after they start.
	@param revision - the writing that gave the hall back; entries written later say how it is.
	@param nowMs - the time.
	*/
	hallReturned(hall: string, coldMsOf: (pool: string) => number, revision: number, nowMs: number): void {
		for (const server of this.servers.values()) {
			const coldMs = coldMsOf(server.pool);
			const mayBeCold = server.hall === hall && server.revision < revision && coldMs > 0;
			if (mayBeCold && this.coldness.suspect(server.serverId, coldMs, revision, nowMs)) {
				this.tell(server, 'cold');
			}
		}
	}

	/** Whether a server's entry is missing and may still come back. */
	isMissing(serverId: string): boolean {
		return this.missing.has(serverId);
	}

	/** @returns what is listed, for a peer: it decides for itself how long missing entries may come back. */
	snapshot(): ServerList {
		return {revision: this.listRevision, servers: [...this.servers.values()].filter(({serverId}) => !this.missing.has(serverId))};
	}

	/** The store does not answer: entries that peers miss may have lapsed. */
	storeLost(): void {
		this.missing.storeLost();
	}

	/**
	The store answers again after it was away: entries missing now may have lapsed.
	@param nowMs - the time.
	*/
	storeReturned(nowMs: number): void {
		this.missing.storeReturned(nowMs);
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
		const listed = new Set(list.servers.map(server => server.instanceId));
		for (const server of list.servers) {
			this.put(server, nowMs);
		}

		for (const {serverId, instanceId} of this.servers.values()) {
			if (!listed.has(instanceId)) {
				this.miss(serverId, list.revision, nowMs);
			}
		}

		this.listRevision = list.revision;
		return true;
	}

	/**
	Takes changes of the list.
	@param changes - in any order; each counts by its own revision.
	@param nowMs - the time.
	*/
	applyChanges({changed, dropped, unreadable, revision}: FeedChanges<UpstreamServer>, nowMs: number): void {
		this.source = listSources.store;
		const changes: Change[] = [
			...changed.map(row => ({kind: 'written', row} as const)),
			...dropped.map(row => ({kind: 'dropped', row} as const)),
			...unreadable.map(row => ({kind: 'unreadable', row} as const)),
		];
		for (const change of changes.toSorted((left, right) => left.row.revision - right.row.revision)) {
			this.takeChange(change, nowMs);
		}

		this.listRevision = Math.max(this.listRevision, revision);
	}

	/**
	Takes entries that were written so that they name no server; each counts by its own revision.
	@param rows - by the id that all starts of their server have.
	*/
	voidEntries(rows: readonly DroppedRow[]): void {
		for (const row of rows) {
			this.voidEntry(row);
		}
	}

	/**
	A server answered that it is not the one expected: its address belongs to another.
	@param serverId - the one expected.
	*/
	addressTaken(serverId: string): void {
		this.replaced.add(serverId);
		this.drop(serverId, goneReasons.addressTaken);
	}

	/**
	Drops entries whose time to come back is over.
	@param nowMs - the time.
	*/
	tick(nowMs: number): void {
		for (const serverId of this.missing.overdue(nowMs)) {
			this.drop(serverId, goneReasons.lapsed);
		}
	}

	private drainChanged({hall, isDrained, revision, source}: HallDrainChange): void {
		this.views.changed();
		const servers = [...this.servers.values()].filter(server => server.hall === hall).length;
		this.options.log.info(isDrained ? 'A data hall is being drained; nothing more is sent to its servers.' : 'A data hall is not drained any more.', {
			hall, servers, revision, source,
		});
	}

	/** A server has said that it leaves, to this host or a peer; the list may tell so much later. */
	private saidLeaving(serverId: string): void {
		const server = this.servers.get(serverId);
		if (server && !server.isLeaving) {
			const leaving = {...server, isLeaving: true};
			this.servers.set(serverId, leaving);
			this.views.changed();
			this.tell(leaving, 'leaving', {source: listSources.answer});
		}
	}

	private takeChange({kind, row}: Change, nowMs: number): void {
		switch (kind) {
			case 'written': {
				this.put({...row.value, revision: row.revision}, nowMs);

				break;
			}

			case 'dropped': {
				this.miss(this.starts.latestId(row.key), row.revision, nowMs);

				break;
			}

			case 'unreadable': {
				this.voidEntry(row);

				break;
			}
		// No default
		}
	}

	private put(entry: ListedServer, nowMs: number): void {
		const latest = this.starts.latest(entry.instanceId);
		// An entry that does not tell its start speaks of the latest one.
		const server = entry.startedMs === 0 && latest ? {...entry, ...latest} : entry;
		const {serverId, startedMs} = server;
		const isLaterStart = latest !== undefined && startedMs > latest.startedMs;
		const isEarlierStart = latest !== undefined && startedMs < latest.startedMs;
		if (this.replaced.has(serverId) || isEarlierStart || (!isLaterStart && !this.isNews(serverId, server.revision))) {
			return;
		}

		if (isLaterStart) {
			this.drop(latest.serverId, goneReasons.startedAgain);
		}

		this.starts.remember(server);
		const wasMissing = this.missing.delete(serverId);
		const known = this.servers.get(serverId);
		const isLeaving = server.isLeaving || known?.isLeaving === true || this.options.leaving?.has(serverId) === true;
		this.servers.set(serverId, {...server, isLeaving});
		this.views.changed();
		if (wasMissing || known?.isLeaving !== isLeaving) {
			this.tell(server, isLeaving ? 'leaving' : 'joined');
		}

		if (this.coldness.read(server, nowMs)) {
			this.tell(server, 'cold');
		}
	}

	/** Whether a writing is newer than what is known of a server; where none is known, than the list that lacks it. */
	private isNews(serverId: string, revision: number): boolean {
		return revision > (this.missing.revisionOf(serverId) ?? this.servers.get(serverId)?.revision ?? this.listRevision);
	}

	private miss(serverId: string, revision: number, nowMs: number): void {
		const server = this.servers.get(serverId);
		if (!server || !this.isNews(serverId, revision) || this.missing.has(serverId)) {
			return;
		}

		if (server.isLeaving || !this.missing.mayReturn(nowMs)) {
			this.drop(serverId, goneReasons.dropped);
			return;
		}

		this.missing.add(serverId, revision, nowMs);
		this.views.changed();
		this.tell(server, 'missing');
	}

	/** An entry was written so that it names no server: nothing is known of the one that it named before. */
	private voidEntry({key, revision}: DroppedRow): void {
		const serverId = this.starts.latestId(key);
		if (this.servers.has(serverId) && this.isNews(serverId, revision)) {
			this.drop(serverId, goneReasons.unreadable);
		}
	}

	private drop(serverId: string, reason: GoneReason): void {
		this.missing.delete(serverId);
		this.coldness.forget(serverId);
		const server = this.servers.get(serverId);
		if (server) {
			this.servers.delete(serverId);
			this.views.changed();
			this.tell(server, 'gone', {reason});
		}
	}

	private tell(server: ListedServer, change: ServerChange['change'], {reason, source = this.source}: {readonly reason?: GoneReason; readonly source?: ListSource} = {}): void {
		const {serverId, pool, hall, revision} = server;
		this.options.log.info(changeMessages[change], {
			server: serverId, pool, hall, change, ...(reason !== undefined && {reason}), revision, source,
		});
		this.didChange.fire({server, change, ...(reason !== undefined && {reason})});
	}
}

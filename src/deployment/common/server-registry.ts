/**
Registry of the upstream servers.

A start of a server that is leaving or gone never comes back, with one exception: an entry that lapsed while the store
was unavailable is kept until its server has had time to write it again. A server may start again under the same
`instanceId`: the later start replaces the earlier one, which is gone from then on, even if a report of it arrives later.

Updates arrive from the store's feed and from peers, late, twice and in any order. Each entry has the revision of the
write that made it, and the list is complete as of a revision of its own: anything older than either is ignored,
so that old updates that arrive again restore nothing.

An entry that is removed while the store is unavailable may come back for some time (`MissingEntries`). Its server gets work only if most of
its pool is missing: without this exception, an outage of the store in which all entries lapse would leave no server for callers.
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
import {ServerStarts, type Start} from './server-starts.js';
import type {ListedServer, ServerList, UpstreamServer} from './upstream-server.js';

export const serverRegistryToken: InjectionToken<ServerRegistry> = Symbol('ServerRegistry');

/** One change to the list. */
type Change
	= | {readonly kind: 'written'; readonly row: WrittenRow<UpstreamServer>}
		| {readonly kind: 'dropped' | 'unreadable'; readonly row: DroppedRow};

/** Options of a `ServerRegistry`. */
export type ServerRegistryOptions = {
	readonly log: Logger;
	/** Time after the write to the store within which a leaving server must stop getting work. */
	readonly leavingWithinMs: number;
	/** Drained halls, whose servers get no new work; none if absent. */
	readonly drains?: Pick<HallDrains, 'isDrained' | 'onDidChange'>;
	/** Servers that have reported themselves that they are leaving; none if absent. */
	readonly leaving?: Pick<LeavingServers, 'has' | 'onDidObserve'>;
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
	/** Servers whose address now responds as another server, as last listed, by `serverId`. */
	private readonly replaced = new Map<string, UpstreamServer | undefined>();
	private readonly views = PoolViews.create({
		servers: this.servers, isMissing: serverId => this.missing.has(serverId), acceptsNewWork: server => this.acceptsNewWork(server),
	});

	private listRevision = 0;
	/** Where the update that is being applied was received from; for logs. */
	private source: ListSource = listSources.store;

	private constructor(private readonly options: ServerRegistryOptions) {
		this.missing = MissingEntries.create(options.leavingWithinMs);
		options.drains?.onDidChange(change => {
			this.handleDrainChange(change);
		});
		options.leaving?.onDidObserve(serverId => {
			this.markLeaving(serverId);
		});
	}

	/** Fires when a server joins, is leaving, has a missing entry, becomes cold or is gone. */
	get onDidChange() {
		return this.didChange.event;
	}

	/** The store revision that the list represents; 0 before the first list. */
	get revision(): number {
		return this.listRevision;
	}

	get size(): number {
		return this.servers.size;
	}

	/**
	Returns the servers of a pool that may get new work.
	@param pool - name of the pool.
	*/
	usable(pool: string): readonly UpstreamServer[] {
		return this.views.usable(pool);
	}

	/**
	Returns whether a pool has servers, but none of them may get new work.
	@param pool - name of the pool.
	*/
	isPoolClosed(pool: string): boolean {
		return this.views.isClosed(pool);
	}

	/**
	Returns whether a server may get new work: one that is leaving may not, nor may one in a hall that is being drained.
	@param server - the server that would get the work.
	*/
	acceptsNewWork({serverId, hall}: Pick<UpstreamServer, 'serverId' | 'hall'>): boolean {
		return this.servers.get(serverId)?.isLeaving !== true && this.options.drains?.isDrained(hall) !== true;
	}

	get(serverId: string): UpstreamServer | undefined {
		return this.servers.get(serverId);
	}

	/**
	Returns the latest start of a server, also after its address responded as another server.
	@param instanceId - the id that all starts of the server share.
	@returns undefined if the server is not listed.
	*/
	latestStart(instanceId: string): UpstreamServer | undefined {
		const serverId = this.starts.latestId(instanceId);
		return this.servers.get(serverId) ?? this.replaced.get(serverId);
	}

	/**
	Returns for how much longer a server is cold.
	@param serverId - the server.
	@param nowMs - current time.
	*/
	remainingColdMs(serverId: string, nowMs: number): number {
		return this.coldness.remainingMs(serverId, nowMs);
	}

	/**
	Handles the end of a hall's drain: its servers may have become cold meanwhile, which their entries may show only one heartbeat later.
	@param hall - the hall.
	@param coldMsOf - returns how long servers of a pool are cold after they start.
	@param revision - the store revision that ended the drain; entries written later are accurate.
	@param nowMs - current time.
	*/
	handleDrainEnd(hall: string, coldMsOf: (pool: string) => number, revision: number, nowMs: number): void {
		for (const server of this.servers.values()) {
			const coldMs = coldMsOf(server.pool);
			const mayBeCold = server.hall === hall && server.revision < revision && coldMs > 0;
			if (mayBeCold && this.coldness.assumeCold(server.serverId, coldMs, revision, nowMs)) {
				this.reportChange(server, 'cold');
			}
		}
	}

	/** Whether a server's entry is missing and may still come back. */
	isMissing(serverId: string): boolean {
		return this.missing.has(serverId);
	}

	/** @returns the listed servers without missing entries, for a peer: it decides for itself how long missing entries may come back. */
	snapshot(): ServerList {
		return {revision: this.listRevision, servers: [...this.servers.values()].filter(({serverId}) => !this.missing.has(serverId))};
	}

	/** Records that the store is unavailable: entries that are missing from the lists of peers may have lapsed. */
	markStoreUnavailable(): void {
		this.missing.markStoreUnavailable();
	}

	/**
	Records that the store responds again after it was unavailable: entries that are missing now may have lapsed.
	@param nowMs - current time.
	*/
	markStoreRecovered(nowMs: number): void {
		this.missing.markStoreRecovered(nowMs);
	}

	/**
	Replaces the list.
	@param list - the complete list.
	@param nowMs - current time.
	@param source - where it was received from.
	@returns false if the list is older than the current one and was ignored.
	*/
	replaceAll(list: ServerList, nowMs: number, source: ListSource = listSources.store): boolean {
		if (list.revision < this.listRevision) {
			return false;
		}

		this.source = source;
		const listed = new Set(list.servers.map(server => server.instanceId));
		for (const server of list.servers) {
			this.putEntry(server, nowMs);
		}

		for (const {serverId, instanceId} of this.servers.values()) {
			if (!listed.has(instanceId)) {
				this.markMissing(serverId, list.revision, nowMs);
			}
		}

		this.listRevision = list.revision;
		return true;
	}

	/**
	Applies changes to the list.
	@param changes - in any order; each counts by its own revision.
	@param nowMs - current time.
	*/
	applyChanges({changed, dropped, unreadable, revision}: FeedChanges<UpstreamServer>, nowMs: number): void {
		this.source = listSources.store;
		const changes: Change[] = [
			...changed.map(row => ({kind: 'written', row} as const)),
			...dropped.map(row => ({kind: 'dropped', row} as const)),
			...unreadable.map(row => ({kind: 'unreadable', row} as const)),
		];
		for (const change of changes.toSorted((left, right) => left.row.revision - right.row.revision)) {
			this.applyChange(change, nowMs);
		}

		this.listRevision = Math.max(this.listRevision, revision);
	}

	/**
	Handles entries that were overwritten with unreadable content; each counts by its own revision.
	@param rows - keyed by the `instanceId` that all starts of a server share.
	*/
	handleUnreadableEntries(rows: readonly DroppedRow[]): void {
		for (const row of rows) {
			this.handleUnreadableEntry(row);
		}
	}

	/**
	Removes a server whose address responded as another server and thus no longer belongs to it.
	@param serverId - the server that was expected.
	*/
	handleAddressTaken(serverId: string): void {
		this.replaced.set(serverId, this.servers.get(serverId) ?? this.replaced.get(serverId));
		this.removeServer(serverId, goneReasons.addressTaken);
	}

	/**
	Removes servers whose missing entries can no longer come back.
	@param nowMs - current time.
	*/
	removeOverdue(nowMs: number): void {
		for (const serverId of this.missing.overdue(nowMs)) {
			this.removeServer(serverId, goneReasons.lapsed);
		}
	}

	private handleDrainChange({hall, isDrained, revision, source}: HallDrainChange): void {
		this.views.invalidate();
		const servers = [...this.servers.values()].filter(server => server.hall === hall).length;
		this.options.log.info(isDrained ? 'A data hall is being drained; nothing more is sent to its servers.' : 'A data hall is not drained any more.', {
			hall, servers, revision, source,
		});
	}

	/** Marks a server as leaving after it reported so to this host or a peer; the list may show this much later. */
	private markLeaving(serverId: string): void {
		const server = this.servers.get(serverId);
		if (server && !server.isLeaving) {
			const leaving = {...server, isLeaving: true};
			this.servers.set(serverId, leaving);
			this.views.invalidate();
			this.reportChange(leaving, 'leaving', {source: listSources.answer});
		}
	}

	private applyChange({kind, row}: Change, nowMs: number): void {
		switch (kind) {
			case 'written': {
				this.putEntry({...row.value, revision: row.revision}, nowMs);

				break;
			}

			case 'dropped': {
				this.markMissing(this.starts.latestId(row.key), row.revision, nowMs);

				break;
			}

			case 'unreadable': {
				this.handleUnreadableEntry(row);

				break;
			}
		// No default
		}
	}

	private putEntry(entry: ListedServer, nowMs: number): void {
		const latest = this.starts.latest(entry.instanceId);
		// An entry without a start time refers to the latest start.
		const server = entry.startedMs === 0 && latest ? {...entry, ...latest} : entry;
		const {serverId, startedMs} = server;
		const isLaterStart = latest !== undefined && startedMs > latest.startedMs;
		const isEarlierStart = latest !== undefined && startedMs < latest.startedMs;
		if (this.replaced.has(serverId) || isEarlierStart || (!isLaterStart && !this.isNews(server))) {
			return;
		}

		this.removeEarlierStart(server, latest);
		this.starts.remember(server);
		const wasMissing = this.missing.delete(serverId);
		const known = this.servers.get(serverId);
		const isLeaving = server.isLeaving || known?.isLeaving === true || this.options.leaving?.has(serverId) === true;
		this.servers.set(serverId, {...versionOf(known), ...server, isLeaving});
		this.views.invalidate();
		if (wasMissing || known?.isLeaving !== isLeaving) {
			this.reportChange(server, isLeaving ? 'leaving' : 'joined');
		}

		if (this.coldness.applyEntry(server, nowMs)) {
			this.reportChange(server, 'cold');
		}
	}

	private removeEarlierStart(server: ListedServer, latest: Start | undefined): void {
		if (latest !== undefined && server.startedMs > latest.startedMs) {
			this.removeServer(latest.serverId, goneReasons.startedAgain);
		} else if (this.hasOtherVersion(server)) {
			this.removeServer(server.serverId, goneReasons.startedAgain);
		}
	}

	/** Returns whether an entry is newer than what is known, or adds its version to the same entry as a host of an earlier build reported it. */
	private isNews({serverId, softwareVersion, revision}: ListedServer): boolean {
		const known = this.servers.get(serverId);
		const addsVersion = known?.revision === revision && known.softwareVersion === undefined && softwareVersion !== undefined;
		return addsVersion || this.isNewer(serverId, revision);
	}

	/** Returns whether an entry names another software version than before, so that the server has started again. */
	private hasOtherVersion({serverId, softwareVersion}: ListedServer): boolean {
		const knownVersion = this.servers.get(serverId)?.softwareVersion;
		return knownVersion !== undefined && softwareVersion !== undefined && softwareVersion !== knownVersion;
	}

	/** Returns whether a write is newer than what is known about a server or, if the server is unknown, newer than the list that lacks it. */
	private isNewer(serverId: string, revision: number): boolean {
		return revision > (this.missing.revisionOf(serverId) ?? this.servers.get(serverId)?.revision ?? this.listRevision);
	}

	private markMissing(serverId: string, revision: number, nowMs: number): void {
		const server = this.servers.get(serverId);
		if (!server || !this.isNewer(serverId, revision) || this.missing.has(serverId)) {
			return;
		}

		if (server.isLeaving || !this.missing.mayReturn(nowMs)) {
			this.removeServer(serverId, goneReasons.dropped);
			return;
		}

		this.missing.add(serverId, revision, nowMs);
		this.views.invalidate();
		this.reportChange(server, 'missing');
	}

	/** Handles an entry that was overwritten with unreadable content: nothing is known any more about the server that it described. */
	private handleUnreadableEntry({key, revision}: DroppedRow): void {
		const serverId = this.starts.latestId(key);
		if (this.servers.has(serverId) && this.isNewer(serverId, revision)) {
			this.removeServer(serverId, goneReasons.unreadable);
		}
	}

	private removeServer(serverId: string, reason: GoneReason): void {
		this.missing.delete(serverId);
		this.coldness.forget(serverId);
		const server = this.servers.get(serverId);
		if (server) {
			this.servers.delete(serverId);
			this.views.invalidate();
			this.reportChange(server, 'gone', {reason});
		}
	}

	private reportChange(server: ListedServer, change: ServerChange['change'], {reason, source = this.source}: {readonly reason?: GoneReason; readonly source?: ListSource} = {}): void {
		const {serverId, pool, hall, softwareVersion, revision} = server;
		this.options.log.info(changeMessages[change], {
			server: serverId, pool, hall, softwareVersion, change, ...(reason !== undefined && {reason}), revision, source,
		});
		this.didChange.fire({server, change, ...(reason !== undefined && {reason})});
	}
}

/** Returns the software version of a start, which later entries of it may lack. */
function versionOf(known: ListedServer | undefined): Pick<ListedServer, 'softwareVersion'> {
	return known?.softwareVersion === undefined ? {} : {softwareVersion: known.softwareVersion};
}

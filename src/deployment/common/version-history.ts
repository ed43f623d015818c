/**
Remembers which software versions the servers of each pool have had. Where a pool has had a single one for long enough, a stream can only have begun
at that version, whether or not anybody has recorded it.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {ServerRegistry} from './server-registry.js';

/** How long versions are remembered; longer than streams last. */
export const historyMs = 120_000;
/** Stands for versions that are not known. */
const unknownVersion = '';

/** What a host knows of the versions of all pools, with ages instead of points in time. */
export type VersionReport = {
	/** For how long the sender has observed the servers. */
	readonly observedForMs: number;
	/** When a server of a version was last listed; `agoMs` is 0 if one is listed now. */
	readonly versions: ReadonlyArray<{readonly pool: string; readonly softwareVersion: string; readonly agoMs: number}>;
};

export const versionHistoryToken: InjectionToken<VersionHistory> = Symbol('VersionHistory');

/** Options of a `VersionHistory`. */
export type VersionHistoryOptions = {
	readonly registry: Pick<ServerRegistry, 'onDidChange'>;
	readonly nowMs: () => number;
	/** Whether the list of servers is known to be up to date. */
	readonly isListCurrent: () => boolean;
};

/** Keeps the versions of each pool. */
export class VersionHistory {
	static create(options: VersionHistoryOptions): VersionHistory {
		return new VersionHistory(options);
	}

	/** Versions of the listed servers, by server id. */
	private readonly listed = new Map<string, {readonly pool: string; readonly softwareVersion: string}>();
	/** When a server of a version was last listed, by pool and version; of versions that are listed, when one was last removed. */
	private readonly lastListedMs = new Map<string, Map<string, number>>();
	private observedSinceMs: number | undefined;
	private readonly didChange = Emitter.create<void>();

	private constructor(private readonly options: VersionHistoryOptions) {
		options.registry.onDidChange(({server: {serverId, pool, softwareVersion = unknownVersion}, change}) => {
			const nowMs = options.nowMs();
			this.observedSinceMs ??= nowMs;
			this.recordListed(pool, softwareVersion, nowMs);
			const wasListed = this.listedVersions(pool).has(softwareVersion);
			if (change === 'gone') {
				this.listed.delete(serverId);
			} else {
				this.listed.set(serverId, {pool, softwareVersion});
			}

			if (this.listedVersions(pool).has(softwareVersion) !== wasListed) {
				this.didChange.fire();
			}
		});
	}

	/** Fires when a version of a pool is listed that was not, or no longer. */
	get onDidChange() {
		return this.didChange.event;
	}

	/**
	Returns the only software version that the servers of a pool have had.
	@param pool - name of the pool.
	@param withinMs - the time that is looked back.
	@returns undefined if there were several or an unknown one, if this host has not observed the servers for so long, or if its list may be outdated.
	*/
	soleVersion(pool: string, withinMs: number): string | undefined {
		const sinceMs = this.options.nowMs() - withinMs;
		if (!this.options.isListCurrent() || this.observedSinceMs === undefined || this.observedSinceMs > sinceMs) {
			return undefined;
		}

		const versions = this.listedVersions(pool);
		for (const [version, lastMs] of this.lastListedMs.get(pool) ?? []) {
			if (lastMs >= sinceMs) {
				versions.add(version);
			}
		}

		const [version] = versions;
		return versions.size === 1 && version !== unknownVersion ? version : undefined;
	}

	/** @returns what this host knows, for a host that has started later; undefined if it knows nothing or its list may be outdated. */
	report(): VersionReport | undefined {
		const nowMs = this.options.nowMs();
		if (this.observedSinceMs === undefined || !this.options.isListCurrent()) {
			return undefined;
		}

		const versions = [...this.lastListedMs].flatMap(([pool, lastListed]) => {
			const listed = this.listedVersions(pool);
			return [...lastListed]
				.map(([softwareVersion, lastMs]) => ({pool, softwareVersion, agoMs: listed.has(softwareVersion) ? 0 : nowMs - lastMs}))
				.filter(({agoMs}) => agoMs <= historyMs);
		});
		return {observedForMs: Math.min(historyMs, nowMs - this.observedSinceMs), versions};
	}

	/** To be called where no server was in use before this host observes them, so that there is no earlier version. */
	handleFirstStart(): void {
		this.observedSinceMs = -Infinity;
	}

	/**
	Adds what another host has observed.
	@param report - its report.
	*/
	handlePeerReport({observedForMs, versions}: VersionReport): void {
		const nowMs = this.options.nowMs();
		for (const {pool, softwareVersion, agoMs} of versions) {
			this.recordListed(pool, softwareVersion, nowMs - agoMs);
		}

		this.observedSinceMs = Math.min(this.observedSinceMs ?? Infinity, nowMs - observedForMs);
	}

	private recordListed(pool: string, softwareVersion: string, atMs: number): void {
		const lastListed = this.lastListedMs.get(pool) ?? new Map<string, number>();
		lastListed.set(softwareVersion, Math.max(lastListed.get(softwareVersion) ?? -Infinity, atMs));
		this.lastListedMs.set(pool, lastListed);
	}

	private listedVersions(pool: string): Set<string> {
		return new Set([...this.listed.values()].filter(server => server.pool === pool).map(({softwareVersion}) => softwareVersion));
	}
}

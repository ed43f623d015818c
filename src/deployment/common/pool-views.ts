/** Caches which servers of each pool may get work, since every request needs them; the registry clears the cache when this may have changed. */
import type {ListedServer, UpstreamServer} from './upstream-server.js';

/** Options of `PoolViews`. */
export type PoolViewsOptions = {
	/** All servers that are listed. */
	readonly servers: ReadonlyMap<string, ListedServer>;
	/** Whether a server's entry is missing and may still come back. */
	readonly isMissing: (serverId: string) => boolean;
	/** Whether a server may get new work. */
	readonly acceptsNewWork: (server: UpstreamServer) => boolean;
};

/** Provides the servers of pools. */
export class PoolViews {
	static create(options: PoolViewsOptions): PoolViews {
		return new PoolViews(options);
	}

	private views = new Map<string, readonly UpstreamServer[]>();

	private constructor(private readonly options: PoolViewsOptions) {}

	/** Discards the cached views after a change to any server. */
	invalidate(): void {
		this.views = new Map();
	}

	/**
	Returns the servers of a pool that may get new work. Servers with a missing entry are included only if most of the pool's entries are missing.
	@param pool - name of the pool.
	*/
	usable(pool: string): readonly UpstreamServer[] {
		let view = this.views.get(pool);
		if (!view) {
			const {isMissing, acceptsNewWork} = this.options;
			const accepting = this.serversOf(pool).filter(server => acceptsNewWork(server));
			const listed = accepting.filter(({serverId}) => !isMissing(serverId));
			const isMostMissing = accepting.length > 2 * listed.length;
			view = isMostMissing ? accepting : listed;
			this.views.set(pool, view);
		}

		return view;
	}

	/**
	Returns whether a pool has servers, but none of them may get new work.
	@param pool - name of the pool.
	*/
	isClosed(pool: string): boolean {
		return this.usable(pool).length === 0 && this.serversOf(pool).length > 0;
	}

	private serversOf(pool: string): ListedServer[] {
		return [...this.options.servers.values()].filter(server => server.pool === pool);
	}
}

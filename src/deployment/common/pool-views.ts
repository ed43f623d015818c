/** The servers of each pool that may get work, kept until something about servers changes: they are asked for with each request. */
import type {ListedServer, UpstreamServer} from './upstream-server.js';

/** What the views are made of. */
export type PoolViewsOptions = {
	/** All servers that are listed. */
	readonly servers: ReadonlyMap<string, ListedServer>;
	/** Whether a server's entry is missing and may still come back. */
	readonly isMissing: (serverId: string) => boolean;
	/** Whether a server may get anything new. */
	readonly takesNew: (server: UpstreamServer) => boolean;
};

/** Gives the servers of pools. */
export class PoolViews {
	static create(options: PoolViewsOptions): PoolViews {
		return new PoolViews(options);
	}

	private views = new Map<string, readonly UpstreamServer[]>();

	private constructor(private readonly options: PoolViewsOptions) {}

	/** Something about servers has changed. */
	changed(): void {
		this.views = new Map();
	}

	/**
	Gives the servers of a pool that may get new work.
	@param pool - the pool's name.
	*/
	usable(pool: string): readonly UpstreamServer[] {
		let view = this.views.get(pool);
		if (!view) {
			const {isMissing, takesNew} = this.options;
			const staying = this.serversOf(pool).filter(server => takesNew(server));
			const listed = staying.filter(({serverId}) => !isMissing(serverId));
			const isMostMissing = staying.length > 2 * listed.length;
			view = isMostMissing ? staying : listed;
			this.views.set(pool, view);
		}

		return view;
	}

	/**
	Tells whether a pool has servers, and none of them may get anything new.
	@param pool - the pool's name.
	*/
	isClosed(pool: string): boolean {
		return this.usable(pool).length === 0 && this.serversOf(pool).length > 0;
	}

	private serversOf(pool: string): ListedServer[] {
		return [...this.options.servers.values()].filter(server => server.pool === pool);
	}
}

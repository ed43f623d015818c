/** Tracks the latest known start of each server, so that a late report of an earlier start is recognized as outdated. */
import type {UpstreamServer} from './upstream-server.js';

/** Maximum number of starts that are remembered; beyond it the oldest that are no longer listed are evicted. */
const maxStarts = 10_000;

/** Identifies one start of a server. */
export type Start = Pick<UpstreamServer, 'serverId' | 'startedMs'>;

/** Keeps the latest start of each server. */
export class ServerStarts {
	/**
	Creates an instance without starts.
	@param isListed - returns whether a start, given its `serverId`, is still listed; such a start is not evicted.
	*/
	static create(isListed: (serverId: string) => boolean): ServerStarts {
		return new ServerStarts(isListed);
	}

	/** By `instanceId`, which all starts of a server share; least recently updated first. */
	private readonly starts = new Map<string, Start>();

	private constructor(private readonly isListed: (serverId: string) => boolean) {}

	/**
	Returns the latest start of a server.
	@param instanceId - the id that all its starts share.
	*/
	latest(instanceId: string): Start | undefined {
		return this.starts.get(instanceId);
	}

	/**
	Returns the `serverId` of the latest start of a server, or the `instanceId` itself if no start is known.
	@param instanceId - the id that all its starts share.
	*/
	latestId(instanceId: string): string {
		return this.starts.get(instanceId)?.serverId ?? instanceId;
	}

	/**
	Records a start that is listed.
	@param server - the latest start of its server.
	*/
	remember({instanceId, serverId, startedMs}: UpstreamServer): void {
		this.starts.delete(instanceId);
		this.starts.set(instanceId, {serverId, startedMs});
		for (const [oldest, start] of this.starts) {
			if (this.starts.size <= maxStarts) {
				break;
			}

			if (!this.isListed(start.serverId)) {
				this.starts.delete(oldest);
			}
		}
	}
}

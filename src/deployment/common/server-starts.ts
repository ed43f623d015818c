/** Which start of each server is the latest that was told of: an earlier one that is told of late is no news. */
import type {UpstreamServer} from './upstream-server.js';

/** Starts that are remembered though they are gone; beyond them the oldest are forgotten. */
const mostStarts = 10_000;

/** A start of a server. */
export type Start = Pick<UpstreamServer, 'serverId' | 'startedMs'>;

/** Knows the latest starts. */
export class ServerStarts {
	/**
	Makes one that knows none.
	@param isListed - whether a start, by its `serverId`, is still listed; such a start is not forgotten.
	*/
	static create(isListed: (serverId: string) => boolean): ServerStarts {
		return new ServerStarts(isListed);
	}

	/** By the id that all starts of a server have; the one remembered longest ago first. */
	private readonly starts = new Map<string, Start>();

	private constructor(private readonly isListed: (serverId: string) => boolean) {}

	/**
	Gives the latest start of a server.
	@param instanceId - the id that all its starts have.
	*/
	latest(instanceId: string): Start | undefined {
		return this.starts.get(instanceId);
	}

	/**
	Gives the `serverId` of the latest start of a server, known or not.
	@param instanceId - the id that all its starts have.
	*/
	latestId(instanceId: string): string {
		return this.starts.get(instanceId)?.serverId ?? instanceId;
	}

	/**
	A start is listed.
	@param server - the latest start of its server.
	*/
	remember({instanceId, serverId, startedMs}: UpstreamServer): void {
		this.starts.delete(instanceId);
		this.starts.set(instanceId, {serverId, startedMs});
		for (const [oldest, start] of this.starts) {
			if (this.starts.size <= mostStarts) {
				break;
			}

			if (!this.isListed(start.serverId)) {
				this.starts.delete(oldest);
			}
		}
	}
}

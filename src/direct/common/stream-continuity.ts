/** Decides at which servers a stream may be continued, and where a stream has begun. */
import {goneReasons} from '../../deployment/common/server-change.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Attempt} from '../../request/common/attempt.js';
import {mayContinue, type StreamOrigin} from '../../request/common/stream-origin.js';

/** Maximum number of ids of restarted servers that are remembered; they matter only while attempts that were sent before are live. */
const maxRestartedIds = 1000;

/** What continuity depends on. */
export type StreamContinuityOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'usable' | 'onDidChange'>;
	/** Whether the list of servers is known to be up to date. */
	readonly isListCurrent: () => boolean;
};

/** Knows which servers may continue which streams. */
export class StreamContinuity {
	static create(options: StreamContinuityOptions): StreamContinuity {
		return new StreamContinuity(options);
	}

	/** Ids of servers that have started again under the same instance id, oldest first. */
	private readonly restartedIds = new Set<string>();

	private constructor(private readonly options: StreamContinuityOptions) {
		options.registry.onDidChange(({server, reason}) => {
			if (reason === goneReasons.startedAgain) {
				this.rememberRestarted(server.serverId);
			}
		});
	}

	/**
	Returns the servers that accept work and may continue a stream.
	@param origin - where the stream began.
	*/
	serversFor(origin: StreamOrigin): readonly UpstreamServer[] {
		return this.options.registry.usable(origin.pool).filter(server => mayContinue(origin, server) && this.isCertainStart(server));
	}

	/**
	Returns the origin of a stream whose first event an attempt has delivered.
	@param pool - pool of the attempt.
	@param attempt - the attempt, with the version that its server had when it was sent.
	@returns an origin without a version if the server may have started again since.
	*/
	originOf(pool: string, {options: {upstreamId, softwareVersion}}: Attempt): StreamOrigin {
		const server = this.options.registry.get(upstreamId);
		const isCertain = server ? this.isCertainStart(server) && server.softwareVersion === softwareVersion : !this.restartedIds.has(upstreamId);
		return {pool, softwareVersion: isCertain ? softwareVersion : undefined};
	}

	/**
	Returns whether the listed start of a server is the one that runs. A server that keeps its id over its starts also responds to calls that are
	meant for an earlier one, which may have run another software version.
	*/
	private isCertainStart({startedMs}: UpstreamServer): boolean {
		return startedMs === 0 || this.options.isListCurrent();
	}

	private rememberRestarted(serverId: string): void {
		this.restartedIds.add(serverId);
		if (this.restartedIds.size > maxRestartedIds) {
			const [oldest] = this.restartedIds;
			this.restartedIds.delete(oldest);
		}
	}
}

/** What servers say of themselves in their answers, of whichever kind of call; taken in here for all that heed it. */
import type {InjectionToken} from 'tsyringe';
import type {Metrics} from '../../base/common/metrics.js';
import type {LeavingServers} from './leaving-servers.js';
import type {LimitReading, ServerLimits} from './server-limits.js';
import type {RestReading, ServerRests} from './server-rests.js';
import type {UpstreamServer} from './upstream-server.js';

/** What one answer says of its server, besides what it answers. */
export type ServerNotice = {
	readonly limit: LimitReading;
	/** Whether it finishes what it has and wants nothing new. */
	readonly isLeaving: boolean;
	readonly rest: RestReading;
};

/** An answer that says nothing. */
export const silentNotice: ServerNotice = {limit: {kind: 'silent'}, isLeaving: false, rest: {kind: 'none'}};

/** Who heeds what servers say. */
export type ServerNoticesOptions = {
	readonly limits: Pick<ServerLimits, 'answered'>;
	readonly leaving: Pick<LeavingServers, 'said'>;
	readonly rests: Pick<ServerRests, 'answered'>;
	readonly metrics: Metrics;
};

export const serverNoticesToken: InjectionToken<ServerNotices> = Symbol('ServerNotices');

/** Passes each part of a notice to the one that heeds it. */
export class ServerNotices {
	static create(options: ServerNoticesOptions): ServerNotices {
		return new ServerNotices(options);
	}

	private constructor(private readonly options: ServerNoticesOptions) {}

	/**
	A server has answered this host.
	@param server - the one that was meant.
	@param notice - what its answer says of it.
	@param sentMs - when the call was sent.
	@param nowMs - the time.
	*/
	answered(server: UpstreamServer, {limit, isLeaving, rest}: ServerNotice, sentMs: number, nowMs: number): void {
		this.options.limits.answered(server, limit, sentMs, nowMs);
		this.options.rests.answered(server, rest, nowMs);
		if (isLeaving) {
			this.options.metrics.increment('leaving.said', 1, {pool: server.pool});
			this.options.leaving.said(server);
		}
	}
}

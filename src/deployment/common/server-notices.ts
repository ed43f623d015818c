/** Dispatches what servers report about themselves in their responses, whatever the kind of call, to the components that act on it. */
import type {InjectionToken} from 'tsyringe';
import type {Metrics} from '../../base/common/metrics.js';
import type {LeavingServers} from './leaving-servers.js';
import type {LimitReading, ServerLimits} from './server-limits.js';
import type {BackoffReading, ServerBackoffs} from './server-backoffs.js';
import type {UpstreamServer} from './upstream-server.js';

/** What a response states about the load of its server. */
export type LoadReading
	= | {readonly kind: 'none'}
		| {
			readonly kind: 'reported';
			/** Calls that the server runs. */
			readonly running: number;
			/** Calls that wait at the server. */
			readonly waiting: number;
			/** Calls that the server can run at a time. */
			readonly slots: number;
			/** Ratio of the duration of work at the moment to the usual one; absent if the server does not report it. */
			readonly slowness?: number;
		}
	/** A load that can't be parsed. */
		| {readonly kind: 'unreadable'; readonly text: string};

/** What one response reports about its server, besides its result. */
export type ServerNotice = {
	readonly limit: LimitReading;
	/** Whether the server finishes its current work and accepts no new work. */
	readonly isLeaving: boolean;
	readonly backoff: BackoffReading;
	/** Absent if the protocol has no such report. */
	readonly load?: LoadReading;
};

/** The notice of a response that reports nothing about the server. */
export const emptyNotice: ServerNotice = {limit: {kind: 'silent'}, isLeaving: false, backoff: {kind: 'none'}};

/** The components that act on notices. */
export type ServerNoticesOptions = {
	readonly limits: Pick<ServerLimits, 'handleResponse'>;
	readonly leaving: Pick<LeavingServers, 'handleServerReport'>;
	readonly backoffs: Pick<ServerBackoffs, 'handleResponse'>;
	/** Acts on reported loads, which are ignored if it is absent. */
	readonly loads?: {handleResponse(server: UpstreamServer, reading: LoadReading, nowMs: number): void};
	readonly metrics: Metrics;
};

export const serverNoticesToken: InjectionToken<ServerNotices> = Symbol('ServerNotices');

/** Passes each part of a notice to the component that acts on it. */
export class ServerNotices {
	static create(options: ServerNoticesOptions): ServerNotices {
		return new ServerNotices(options);
	}

	private constructor(private readonly options: ServerNoticesOptions) {}

	/**
	Handles the notice in a response to this host.
	@param server - the server that the call was intended for.
	@param notice - what the response reports about it.
	@param sentMs - when the call was sent.
	@param nowMs - current time.
	*/
	handleResponse(server: UpstreamServer, {limit, isLeaving, backoff, load}: ServerNotice, sentMs: number, nowMs: number): void {
		this.options.limits.handleResponse(server, limit, sentMs, nowMs);
		this.options.backoffs.handleResponse(server, backoff, nowMs);
		if (load) {
			this.options.loads?.handleResponse(server, load, nowMs);
		}

		if (isLeaving) {
			this.options.metrics.increment('leaving.said', 1, {pool: server.pool});
			this.options.leaving.handleServerReport(server);
		}
	}
}

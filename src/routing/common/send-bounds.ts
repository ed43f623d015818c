/**
Decides whether this host may send a request to a server now, given the bounds on all hosts together. Every kind of call is checked
where it is sent: first sends, retries, hedges and resumed answers by the router; step calls and result releases by the batches.
A server that is leaving, is in a drained data hall or has asked this host for a backoff gets nothing. A cold server gets the rate that
its pool declares it tolerates, a server that announces a limit gets that limit. If several bounds apply, all of them must hold.
*/
import type {InjectionToken} from 'tsyringe';
import type {ServerLimits} from '../../deployment/common/server-limits.js';
import type {ServerBackoffs} from '../../deployment/common/server-backoffs.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {
	coldUpstreamBound, limitBound, boundPerS, type ColdBounds, type RateBound,
} from './rate-bound.js';
import type {BoundedWork, SendShare} from './send-share.js';

/**
A limit that no response has announced for this long is checked with one trial request, even by a host that is not among the senders,
since all senders may be gone. Hosts send their trials one after the other in the sender order: the first host that gets a response notifies the others.
*/
const limitTrialAfterMs = 15_000;
const limitTrialAfterWindows = 3;
const trialStaggerMs = 1000;
/** Minimum and maximum retry delay for a caller whose request no upstream may receive; the retry may reach a host that has quota left. */
const minRetryAfterMs = 300;
const maxRetryAfterMs = 2500;

/** The properties of a server that its bounds depend on. */
export type BoundedServer = Pick<UpstreamServer, 'serverId' | 'pool' | 'hall'>;

/** Sources of the bounds. */
export type SendBoundsOptions = {
	readonly registry: Pick<ServerRegistry, 'remainingColdMs' | 'acceptsNewWork' | 'onDidChange'>;
	readonly limits: Pick<ServerLimits, 'limitOf' | 'forget'>;
	/** Servers that have asked this host for a backoff. */
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs' | 'forget'>;
	/** This host's share of the bounds on all hosts together. */
	readonly share: SendShare;
	/** Bounds on all hosts together for cold servers; if undefined, cold servers are not bounded. */
	readonly cold: ColdBounds | undefined;
	/** Returns the requests per second that a cold server of a pool tolerates. */
	readonly toleratedPerS: (pool: string) => number;
};

/** What may be sent to a server now, for one kind of work. */
export type Allowance = {
	/** Requests that this host may send now; Infinity if unbounded. */
	readonly remaining: number;
	/** Requests per second of all hosts together; Infinity if unbounded. */
	readonly perS: number;
};

/** Work that every host may send. */
export const directWork: BoundedWork = {isSoleSender: false};

const unbounded: Allowance = {remaining: Infinity, perS: Infinity};
const noAllowance: Allowance = {remaining: 0, perS: 0};

export const sendBoundsToken: InjectionToken<SendBounds> = Symbol('SendBounds');

/** Applies the bounds for one host and counts its sends. */
export class SendBounds {
	static create(options: SendBoundsOptions): SendBounds {
		return new SendBounds(options);
	}

	private constructor(private readonly options: SendBoundsOptions) {
		options.registry.onDidChange(({server: {serverId}, change}) => {
			if (change === 'gone') {
				options.share.forget(serverId);
				options.limits.forget(serverId);
				options.backoffs.forget(serverId);
			}
		});
	}

	/**
	Determines what this host may send to a server now.
	@param server - the server.
	@param work - the kind of work to send.
	@param nowMs - the current time.
	*/
	allowance(server: BoundedServer, work: BoundedWork, nowMs: number): Allowance {
		if (!this.options.registry.acceptsNewWork(server) || this.isInBackoff(server, nowMs)) {
			return noAllowance;
		}

		const bounds = this.boundsOf(server, nowMs);
		if (bounds.length === 0) {
			return unbounded;
		}

		const remaining = Math.min(...bounds.map(bound => this.options.share.remaining(server.serverId, bound, work, nowMs)));
		return {remaining: remaining === 0 && this.isTrialDue(server, nowMs) ? 1 : remaining, perS: Math.min(...bounds.map(bound => boundPerS(bound)))};
	}

	/**
	Checks whether this host may send at least one request to a server now.
	@param server - the server.
	@param work - the kind of work to send.
	@param nowMs - the current time.
	*/
	maySend(server: BoundedServer, work: BoundedWork, nowMs: number): boolean {
		return this.allowance(server, work, nowMs).remaining > 0;
	}

	/**
	Records a send to a server; sends to unbounded servers are not counted.
	@param server - the server.
	@param nowMs - the current time.
	*/
	sent(server: BoundedServer, nowMs: number): void {
		if (this.boundsOf(server, nowMs).length > 0) {
			this.options.share.sent(server.serverId, nowMs);
		}
	}

	/**
	Checks whether a server is cold, so that warm ones should be preferred.
	@param server - the server.
	@param nowMs - the current time.
	*/
	isCold({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.cold !== undefined && this.options.registry.remainingColdMs(serverId, nowMs) > 0;
	}

	/**
	Checks whether a server announces a limit.
	@param server - the server.
	@param nowMs - the current time.
	*/
	isLimited({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.limits.limitOf(serverId, nowMs) !== undefined;
	}

	/**
	Checks whether a server has asked this host for a backoff that is not over.
	@param server - the server.
	@param nowMs - the current time.
	*/
	isInBackoff({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.backoffs.remainingMs(serverId, nowMs) > 0;
	}

	/**
	Computes the retry delay for a caller if this host may send nothing more to any of some servers.
	@param servers - the servers.
	@param nowMs - the current time.
	@returns the delay in milliseconds.
	*/
	retryAfterMs(servers: readonly BoundedServer[], nowMs: number): number {
		const soonestMs = Math.min(...servers.map(server => this.availableInMs(server, nowMs)));
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, soonestMs));
	}

	/** Estimates when a server may be sent to again: after its backoff, and once it is warm or its limit allows the next request. */
	private availableInMs(server: BoundedServer, nowMs: number): number {
		const backoffMs = this.options.backoffs.remainingMs(server.serverId, nowMs);
		if (!this.isLimited(server, nowMs)) {
			return Math.max(backoffMs, this.options.registry.remainingColdMs(server.serverId, nowMs));
		}

		const bounds = this.boundsOf(server, nowMs);
		// If this host has no quota, other hosts send: the average interval between their sends is assumed.
		return Math.max(backoffMs, ...bounds.map(bound => this.options.share.nextSendInMs(server.serverId, bound, directWork, nowMs) ?? bound.windowMs / bound.maxRequests));
	}

	private boundsOf(server: BoundedServer, nowMs: number): RateBound[] {
		const {cold, toleratedPerS, limits} = this.options;
		const bounds: RateBound[] = [];
		if (cold && this.isCold(server, nowMs)) {
			bounds.push(coldUpstreamBound(toleratedPerS(server.pool), cold));
		}

		const limit = limits.limitOf(server.serverId, nowMs);
		if (limit) {
			bounds.push(limitBound(limit.perS));
		}

		return bounds;
	}

	/** Whether this host must send a trial request, because no response has announced the limit for so long that it may no longer apply. */
	private isTrialDue(server: BoundedServer, nowMs: number): boolean {
		const limit = this.options.limits.limitOf(server.serverId, nowMs);
		if (!limit || this.isCold(server, nowMs)) {
			return false;
		}

		const {share} = this.options;
		const afterMs = Math.max(limitTrialAfterMs, limitTrialAfterWindows * limitBound(limit.perS).windowMs) + (share.rankOf(server.serverId, nowMs) * trialStaggerMs);
		return limit.sinceAnnouncedMs >= afterMs && share.sinceLastSendMs(server.serverId, nowMs) >= afterMs;
	}
}

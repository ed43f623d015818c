/**
May this go to that server now, of what all hosts together may send it? Asked by each kind of call where it goes out:
first sends, repeats, hedges and answers taken up again (by the router), calls of steps and releases of results (by the batches). A server
that leaves, stands in a drained hall or has asked this host for rest gets nothing; one that is cold gets what its pool declares that it bears; one that names a limit gets what it names;
where several hold, all do.
*/
import type {InjectionToken} from 'tsyringe';
import type {ServerLimits} from '../../deployment/common/server-limits.js';
import type {ServerBackoffs} from '../../deployment/common/server-backoffs.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {
	boundOfCold, boundOfLimit, perSecondOf, type ColdBounds, type RateBound,
} from './rate-bound.js';
import type {BoundedWork, SendShare} from './send-share.js';

/**
A limit of which nobody has heard for this long is looked at with one request, which no sender may be left to make. Hosts do so one
after the other, the first senders first: whoever is answered tells the others.
*/
const quietLimitMs = 15_000;
const quietWindows = 3;
const trialStepMs = 1000;
/** Bounds of the time after which a caller comes back whom no upstream could take; hosts that may send more are tried then too. */
const shortestRetryAfterMs = 300;
const longestRetryAfterMs = 2500;

/** A server as far as its bounds go. */
export type BoundedServer = Pick<UpstreamServer, 'serverId' | 'pool' | 'hall'>;

/** What decides. */
export type SendBoundsOptions = {
	readonly registry: Pick<ServerRegistry, 'remainingColdMs' | 'acceptsNewWork' | 'onDidChange'>;
	readonly limits: Pick<ServerLimits, 'limitOf' | 'forget'>;
	/** Servers that want nothing from this host for a while. */
	readonly rests: Pick<ServerBackoffs, 'remainingMs' | 'forget'>;
	/** This host's part of what all may send. */
	readonly share: SendShare;
	/** For cold servers, over all hosts together; these are not bounded where absent. */
	readonly cold: ColdBounds | undefined;
	/** Gives what a cold server of a pool bears a second. */
	readonly bearsPerS: (pool: string) => number;
};

/** What a server may get just now of one kind of work. */
export type Allowance = {
	/** Requests that this host may send now; Infinity where nothing bounds them. */
	readonly left: number;
	/** Requests a second of all hosts together; Infinity where nothing bounds them. */
	readonly perS: number;
};

/** Work that any host may send. */
export const directWork: BoundedWork = {isSoleSender: false};

const unbounded: Allowance = {left: Infinity, perS: Infinity};
const nothing: Allowance = {left: 0, perS: 0};

export const sendBoundsToken: InjectionToken<SendBounds> = Symbol('SendBounds');

/** Answers for one host, and counts what it sends. */
export class SendBounds {
	static create(options: SendBoundsOptions): SendBounds {
		return new SendBounds(options);
	}

	private constructor(private readonly options: SendBoundsOptions) {
		options.registry.onDidChange(({server: {serverId}, change}) => {
			if (change === 'gone') {
				options.share.forget(serverId);
				options.limits.forget(serverId);
				options.rests.forget(serverId);
			}
		});
	}

	/**
	Tells what may go to a server now.
	@param server - which.
	@param work - what would be sent.
	@param nowMs - the time.
	*/
	allowance(server: BoundedServer, work: BoundedWork, nowMs: number): Allowance {
		if (!this.options.registry.acceptsNewWork(server) || this.isResting(server, nowMs)) {
			return nothing;
		}

		const bounds = this.boundsOf(server, nowMs);
		if (bounds.length === 0) {
			return unbounded;
		}

		const left = Math.min(...bounds.map(bound => this.options.share.left(server.serverId, bound, work, nowMs)));
		return {left: left === 0 && this.isTrialDue(server, nowMs) ? 1 : left, perS: Math.min(...bounds.map(bound => perSecondOf(bound)))};
	}

	/**
	Tells whether one request may go to a server now.
	@param server - which.
	@param work - what would be sent.
	@param nowMs - the time.
	*/
	mayGet(server: BoundedServer, work: BoundedWork, nowMs: number): boolean {
		return this.allowance(server, work, nowMs).left > 0;
	}

	/**
	Something is sent to a server, bounded or not.
	@param server - which.
	@param nowMs - the time.
	*/
	sent(server: BoundedServer, nowMs: number): void {
		if (this.boundsOf(server, nowMs).length > 0) {
			this.options.share.sent(server.serverId, nowMs);
		}
	}

	/**
	Tells whether a server is cold, so that warm ones are the better choice.
	@param server - which.
	@param nowMs - the time.
	*/
	isCold({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.cold !== undefined && this.options.registry.remainingColdMs(serverId, nowMs) > 0;
	}

	/**
	Tells whether a server names a limit.
	@param server - which.
	@param nowMs - the time.
	*/
	isLimited({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.limits.limitOf(serverId, nowMs) !== undefined;
	}

	/**
	Tells whether a server has asked this host for rest.
	@param server - which.
	@param nowMs - the time.
	*/
	isResting({serverId}: BoundedServer, nowMs: number): boolean {
		return this.options.rests.remainingMs(serverId, nowMs) > 0;
	}

	/**
	Tells when to come back where none of some servers may get more now.
	@param servers - none of which may get more from this host.
	@param nowMs - the time.
	*/
	retryAfterMs(servers: readonly BoundedServer[], nowMs: number): number {
		const soonestMs = Math.min(...servers.map(server => this.freeInMs(server, nowMs)));
		return Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, soonestMs));
	}

	/** When a server takes more, about: once it has rested and is warm, or at its next request. */
	private freeInMs(server: BoundedServer, nowMs: number): number {
		const restMs = this.options.rests.remainingMs(server.serverId, nowMs);
		if (!this.isLimited(server, nowMs)) {
			return Math.max(restMs, this.options.registry.remainingColdMs(server.serverId, nowMs));
		}

		const bounds = this.boundsOf(server, nowMs);
		// Where this host sends nothing, another one does.
		return Math.max(restMs, ...bounds.map(bound => this.options.share.nextInMs(server.serverId, bound, directWork, nowMs) ?? bound.windowMs / bound.most));
	}

	private boundsOf(server: BoundedServer, nowMs: number): RateBound[] {
		const {cold, bearsPerS, limits} = this.options;
		const bounds: RateBound[] = [];
		if (cold && this.isCold(server, nowMs)) {
			bounds.push(boundOfCold(bearsPerS(server.pool), cold));
		}

		const limit = limits.limitOf(server.serverId, nowMs);
		if (limit) {
			bounds.push(boundOfLimit(limit.perS));
		}

		return bounds;
	}

	/** Whether it is for this host to find out if a limit that nobody repeats still holds. */
	private isTrialDue(server: BoundedServer, nowMs: number): boolean {
		const limit = this.options.limits.limitOf(server.serverId, nowMs);
		if (!limit || this.isCold(server, nowMs)) {
			return false;
		}

		const {share} = this.options;
		const afterMs = Math.max(quietLimitMs, quietWindows * boundOfLimit(limit.perS).windowMs) + (share.rankOf(server.serverId, nowMs) * trialStepMs);
		return limit.sinceAnnouncedMs >= afterMs && share.sinceSentMs(server.serverId, nowMs) >= afterMs;
	}
}

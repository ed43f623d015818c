/**
Which upstreams refuse work, so that it goes to others as long as these take it.

An upstream that refuses at once has nothing to do, which makes it look best to whatever prefers the least loaded. So it is avoided after each
refusal, for a time that grows with the part of its calls that it refuses of late. Once that is over one call goes to it, and more only when that is taken. Where
all of a pool are avoided they are all used: avoiding is a preference, no bound.
*/
import type {InjectionToken} from 'tsyringe';
import type {Logger} from '../../base/common/logger.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';

/** How quickly the refused part follows the calls. */
const shareWeight = 0.3;
/** Avoided for this long per squared part that is refused: little for one that refuses now and then. */
const avoidMs = 1500;
const longestAvoidMs = 1000;
/**
Both are longer the more hosts find out by themselves, as each of them sends fewer requests and all their trials add up; an upstream is
tried within four seconds in any case.
*/
const fewHosts = 3;
const mostLonger = 4;
/** An upstream that does not answer a trial for so long may get another one. */
const trialMs = 500;
/** Refused parts at which the log tells of an upstream, and that it takes work again. */
const toldShare = 0.5;
const forgottenShare = 0.05;

/** What is known of an upstream that has refused. */
type Known = {
	/** Part of its calls that it refused of late. */
	share: number;
	avoidedUntilMs: number;
	/** Whether its last answer was a refusal. */
	isOnTrial: boolean;
	sentMs: number;
	isTold: boolean;
};

export const serverRefusalsToken: InjectionToken<ServerRefusals> = Symbol('ServerRefusals');

/** Follows the upstreams of one host. */
export class ServerRefusals {
	/**
	Makes one to which no upstream has refused anything.
	@param log - tells which are avoided.
	@param hostCount - gives how many hosts send to the same upstreams.
	*/
	static create(log: Logger, hostCount: () => number): ServerRefusals {
		return new ServerRefusals(log, hostCount);
	}

	/** By `serverId`; only those that refused of late. */
	private readonly known = new Map<string, Known>();

	private constructor(private readonly log: Logger, private readonly hostCount: () => number) {}

	/**
	Tells whether an upstream is left alone while others take work.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	isAvoided(serverId: string, nowMs: number): boolean {
		return this.openInMs(serverId, nowMs) > 0;
	}

	/**
	Tells when an upstream is tried again.
	@param serverId - the upstream.
	@param nowMs - the time.
	@returns milliseconds; 0 for one that is not avoided.
	*/
	openInMs(serverId: string, nowMs: number): number {
		const known = this.known.get(serverId);
		if (!known) {
			return 0;
		}

		const trialUntilMs = known.isOnTrial ? known.sentMs + trialMs : -Infinity;
		return Math.max(0, known.avoidedUntilMs - nowMs, trialUntilMs - nowMs);
	}

	/**
	A call is sent.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	sent(serverId: string, nowMs: number): void {
		const known = this.known.get(serverId);
		if (known) {
			known.sentMs = nowMs;
		}
	}

	/**
	An upstream refused a call, not having run it.
	@param server - the upstream.
	@param nowMs - the time.
	*/
	refused({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, nowMs: number): void {
		const known = this.known.get(serverId) ?? {
			share: 0, avoidedUntilMs: 0, isOnTrial: true, sentMs: -Infinity, isTold: false,
		};
		this.known.set(serverId, known);
		known.share += shareWeight * (1 - known.share);
		const longer = Math.min(mostLonger, Math.max(1, this.hostCount() / fewHosts));
		known.avoidedUntilMs = nowMs + (longer * Math.min(longestAvoidMs, avoidMs * (known.share ** 2)));
		known.isOnTrial = true;
		known.sentMs = -Infinity;
		if (!known.isTold && known.share >= toldShare) {
			known.isTold = true;
			this.log.info('An upstream refuses work; it is avoided while others take it.', {server: serverId, pool, refusedShare: Number(known.share.toFixed(2))});
		}
	}

	/**
	An upstream took a call.
	@param serverId - the upstream.
	*/
	taken(serverId: string): void {
		const known = this.known.get(serverId);
		if (!known) {
			return;
		}

		known.share *= 1 - shareWeight;
		known.isOnTrial = false;
		known.avoidedUntilMs = 0;
		if (known.share < forgottenShare) {
			this.known.delete(serverId);
			if (known.isTold) {
				this.log.info('An upstream that refused takes work again.', {server: serverId});
			}
		}
	}

	/**
	An upstream is gone.
	@param serverId - the upstream.
	*/
	forget(serverId: string): void {
		this.known.delete(serverId);
	}
}

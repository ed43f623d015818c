/**
Tracks which upstreams refuse work, so that work is sent to other upstreams as long as any of them accepts it.

An upstream that refuses immediately is idle, so any chooser that prefers the least loaded upstream would choose it. It is therefore avoided
after each refusal, for a time that grows with the share of recent calls that it refused. After that time one trial call is sent to it, and
further calls only if it accepts the trial. If all upstreams of a pool are avoided, all of them are used: avoidance is a preference, not a bound.
*/
import type {InjectionToken} from 'tsyringe';
import type {Logger} from '../../base/common/logger.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';

/** Weight of the newest call in the refused share. */
const smoothing = 0.3;
/** Avoidance time, multiplied by the square of the refused share, so that an occasional refusal has little effect. */
const avoidMsPerSquaredShare = 1500;
const maxAvoidMs = 1000;
/**
The avoidance time and its maximum grow with the number of hosts: each host detects refusals by itself and sends fewer requests, and the trials of all hosts
add up. The factor is limited so that each host tries an upstream at least every four seconds.
*/
const hostsAtBaseDelay = 3;
const maxHostFactor = 4;
/** Time without an answer to a trial call after which another one may be sent. */
const trialTimeoutMs = 500;
/** Refused share above which an upstream is logged as refusing, and share below which it is logged as accepting work again. */
const loggedShare = 0.5;
const recoveredShare = 0.05;

/** State of an upstream that has refused a call. */
type RefusalState = {
	/** Share of its recent calls that it refused. */
	refusedShare: number;
	avoidedUntilMs: number;
	/** Whether its last answer was a refusal, so that only one trial call at a time may be sent. */
	isOnTrial: boolean;
	lastSentMs: number;
	isLogged: boolean;
};

export const serverRefusalsToken: InjectionToken<ServerRefusals> = Symbol('ServerRefusals');

/** Tracks the refusals of all upstreams as seen by this host. */
export class ServerRefusals {
	/**
	Creates an instance without recorded refusals.
	@param log - receives a message when an upstream starts to refuse work and when it accepts work again.
	@param hostCount - returns the number of hosts that send to the same upstreams.
	*/
	static create(log: Logger, hostCount: () => number): ServerRefusals {
		return new ServerRefusals(log, hostCount);
	}

	/** By `serverId`; contains only upstreams that refused calls recently. */
	private readonly states = new Map<string, RefusalState>();

	private constructor(private readonly log: Logger, private readonly hostCount: () => number) {}

	/**
	Checks whether an upstream should be avoided while others accept work.
	@param serverId - the id of the upstream.
	@param nowMs - the current time.
	*/
	isAvoided(serverId: string, nowMs: number): boolean {
		return this.retryInMs(serverId, nowMs) > 0;
	}

	/**
	Computes when an avoided upstream is tried again.
	@param serverId - the id of the upstream.
	@param nowMs - the current time.
	@returns the time to wait in milliseconds; 0 if the upstream is not avoided.
	*/
	retryInMs(serverId: string, nowMs: number): number {
		const state = this.states.get(serverId);
		if (!state) {
			return 0;
		}

		const trialUntilMs = state.isOnTrial ? state.lastSentMs + trialTimeoutMs : -Infinity;
		return Math.max(0, state.avoidedUntilMs - nowMs, trialUntilMs - nowMs);
	}

	/**
	Records that a call is sent.
	@param serverId - the id of the upstream.
	@param nowMs - the current time.
	*/
	sent(serverId: string, nowMs: number): void {
		const state = this.states.get(serverId);
		if (state) {
			state.lastSentMs = nowMs;
		}
	}

	/**
	Records that an upstream refused a call without running it.
	@param server - the upstream.
	@param nowMs - the current time.
	*/
	refused({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, nowMs: number): void {
		const state = this.states.get(serverId) ?? {
			refusedShare: 0, avoidedUntilMs: 0, isOnTrial: true, lastSentMs: -Infinity, isLogged: false,
		};
		this.states.set(serverId, state);
		state.refusedShare += smoothing * (1 - state.refusedShare);
		const hostFactor = Math.min(maxHostFactor, Math.max(1, this.hostCount() / hostsAtBaseDelay));
		state.avoidedUntilMs = nowMs + (hostFactor * Math.min(maxAvoidMs, avoidMsPerSquaredShare * (state.refusedShare ** 2)));
		state.isOnTrial = true;
		state.lastSentMs = -Infinity;
		if (!state.isLogged && state.refusedShare >= loggedShare) {
			state.isLogged = true;
			this.log.info('An upstream refuses work; it is avoided while other upstreams accept it.', {server: serverId, pool, refusedShare: Number(state.refusedShare.toFixed(2))});
		}
	}

	/**
	Records that an upstream accepted a call.
	@param serverId - the id of the upstream.
	*/
	accepted(serverId: string): void {
		const state = this.states.get(serverId);
		if (!state) {
			return;
		}

		state.refusedShare *= 1 - smoothing;
		state.isOnTrial = false;
		state.avoidedUntilMs = 0;
		if (state.refusedShare < recoveredShare) {
			this.states.delete(serverId);
			if (state.isLogged) {
				this.log.info('An upstream that refused work accepts it again.', {server: serverId});
			}
		}
	}

	/**
	Removes the state of an upstream that no longer exists.
	@param serverId - the id of the upstream.
	*/
	forget(serverId: string): void {
		this.states.delete(serverId);
	}
}

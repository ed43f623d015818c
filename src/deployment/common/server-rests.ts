/**
Which servers want nothing more from this host for a while, as they said when they turned a request away. Unlike leaving and limits, a rest is asked of
one host: others go on. A later and shorter one does not end it, nor does an answer to a call that was under way.
*/
import type {InjectionToken} from 'tsyringe';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {ToldOnce} from './told-once.js';
import type {UpstreamServer} from './upstream-server.js';

/** What an answer says of a rest. */
export type RestReading
	= | {readonly kind: 'none'}
		| {readonly kind: 'asked'; readonly forMs: number}
	/** A time that makes no sense. */
		| {readonly kind: 'unreadable'; readonly text: string};

/** Servers that are remembered; beyond them the one whose rest was learned first is forgotten. */
const mostRemembered = 2000;
/** A server that asks for more is asked again after this. */
const longestRestMs = 3_600_000;
const mostLoggedChars = 80;

export const serverRestsToken: InjectionToken<ServerRests> = Symbol('ServerRests');

/** What the rests are made of. */
export type ServerRestsOptions = {
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Knows the servers that rest from this host. */
export class ServerRests {
	static create(options: ServerRestsOptions): ServerRests {
		return new ServerRests(options);
	}

	/** By `serverId`. */
	private readonly untilMs = new Map<string, number>();
	/** Servers whose strange times were told. */
	private readonly strange = ToldOnce.create();

	private constructor(private readonly options: ServerRestsOptions) {}

	/**
	Tells for how much longer a server rests.
	@param serverId - the server.
	@param nowMs - the time.
	@returns 0 for one that does not.
	*/
	leftMs(serverId: string, nowMs: number): number {
		const untilMs = this.untilMs.get(serverId);
		if (untilMs === undefined) {
			return 0;
		}

		if (nowMs < untilMs) {
			return untilMs - nowMs;
		}

		this.untilMs.delete(serverId);
		this.options.log.info('An upstream\'s rest is over.', {server: serverId});
		return 0;
	}

	/**
	A server has answered this host.
	@param server - which.
	@param reading - what its answer says of a rest.
	@param nowMs - the time.
	*/
	answered({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, reading: RestReading, nowMs: number): void {
		if (reading.kind === 'asked' && reading.forMs > 0) {
			this.options.metrics.increment('rests.asked', 1, {pool});
			this.rest(serverId, pool, Math.min(longestRestMs, reading.forMs), nowMs);
		} else if (reading.kind === 'unreadable') {
			this.tellStrange(serverId, pool, reading.text);
		}
	}

	/**
	A server is gone.
	@param serverId - which.
	*/
	forget(serverId: string): void {
		this.untilMs.delete(serverId);
		this.strange.forget(serverId);
	}

	private rest(serverId: string, pool: string, forMs: number, nowMs: number): void {
		if (this.leftMs(serverId, nowMs) === 0) {
			this.options.log.info('An upstream asks for rest; it gets nothing from this host.', {server: serverId, pool, restMs: Math.round(forMs)});
		}

		this.untilMs.set(serverId, Math.max(this.untilMs.get(serverId) ?? 0, nowMs + forMs));
		if (this.untilMs.size > mostRemembered) {
			const [oldest] = this.untilMs.keys();
			this.untilMs.delete(oldest);
		}
	}

	private tellStrange(serverId: string, pool: string, text: string): void {
		this.options.metrics.increment('rests.unreadable', 1, {pool});
		if (this.strange.isFirst(serverId)) {
			this.options.log.warn('An upstream asks for a rest that can\'t be read; it is passed over.', {server: serverId, pool, rest: text.slice(0, mostLoggedChars)});
		}
	}
}

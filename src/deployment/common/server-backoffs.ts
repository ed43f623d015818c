/**
Tracks the backoffs of servers: a server that rejects a request may ask for a time without requests. Unlike leaving and rate limits, a backoff concerns
only the host that made the request; other hosts continue to send. It is not ended by a later and shorter backoff, nor by the response to a call that was in progress.
*/
import type {InjectionToken} from 'tsyringe';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {LoggedOnce} from './logged-once.js';
import type {UpstreamServer} from './upstream-server.js';

/** What a response states about a backoff. */
export type BackoffReading
	= | {readonly kind: 'none'}
		| {readonly kind: 'asked'; readonly forMs: number}
	/** A time that can't be parsed. */
		| {readonly kind: 'unreadable'; readonly text: string};

/** Maximum number of servers that are remembered; beyond it the one whose backoff began first is evicted. */
const maxRemembered = 2000;
/** A server that asks for a longer backoff gets requests again after this time. */
const maxBackoffMs = 3_600_000;
const maxLoggedChars = 80;

export const serverBackoffsToken: InjectionToken<ServerBackoffs> = Symbol('ServerBackoffs');

/** Options of `ServerBackoffs`. */
export type ServerBackoffsOptions = {
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Keeps the servers that get no requests from this host for a time. */
export class ServerBackoffs {
	static create(options: ServerBackoffsOptions): ServerBackoffs {
		return new ServerBackoffs(options);
	}

	/** By `serverId`. */
	private readonly untilMs = new Map<string, number>();
	/** Servers for which a malformed backoff was logged. */
	private readonly loggedMalformed = LoggedOnce.create();

	private constructor(private readonly options: ServerBackoffsOptions) {}

	/**
	Returns for how much longer a server gets no requests from this host.
	@param serverId - the server.
	@param nowMs - current time.
	@returns the remaining time of the backoff; 0 if there is none.
	*/
	remainingMs(serverId: string, nowMs: number): number {
		const untilMs = this.untilMs.get(serverId);
		if (untilMs === undefined) {
			return 0;
		}

		if (nowMs < untilMs) {
			return untilMs - nowMs;
		}

		this.untilMs.delete(serverId);
		this.options.log.info('The backoff of an upstream has ended.', {server: serverId});
		return 0;
	}

	/**
	Handles a response of a server to this host.
	@param server - the server.
	@param reading - what the response states about a backoff.
	@param nowMs - current time.
	*/
	handleResponse({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, reading: BackoffReading, nowMs: number): void {
		if (reading.kind === 'asked' && reading.forMs > 0) {
			this.options.metrics.increment('rests.asked', 1, {pool});
			this.startBackoff(serverId, pool, Math.min(maxBackoffMs, reading.forMs), nowMs);
		} else if (reading.kind === 'unreadable') {
			this.logMalformed(serverId, pool, reading.text);
		}
	}

	/**
	Removes a server that is gone.
	@param serverId - the server.
	*/
	forget(serverId: string): void {
		this.untilMs.delete(serverId);
		this.loggedMalformed.forget(serverId);
	}

	private startBackoff(serverId: string, pool: string, durationMs: number, nowMs: number): void {
		if (this.remainingMs(serverId, nowMs) === 0) {
			this.options.log.info('An upstream asked for a backoff; it gets no requests from this host until it ends.', {server: serverId, pool, restMs: Math.round(durationMs)});
		}

		this.untilMs.set(serverId, Math.max(this.untilMs.get(serverId) ?? 0, nowMs + durationMs));
		if (this.untilMs.size > maxRemembered) {
			const [oldest] = this.untilMs.keys();
			this.untilMs.delete(oldest);
		}
	}

	private logMalformed(serverId: string, pool: string, text: string): void {
		this.options.metrics.increment('rests.unreadable', 1, {pool});
		if (this.loggedMalformed.isFirst(serverId)) {
			this.options.log.warn('An upstream asked for a backoff that can\'t be parsed; ignoring it.', {server: serverId, pool, rest: text.slice(0, maxLoggedChars)});
		}
	}
}

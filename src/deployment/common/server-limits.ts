/**
Tracks which servers announce a rate limit in their responses: the requests per second that they accept from all hosts together, for as long as
they announce it.

Few hosts receive the responses of a limited server, so hosts report to each other when a limit begins, changes and ends, and at intervals
that it is still announced. Responses may overlap: one without a limit ends the limit only if its call was sent after the last response with
a limit had arrived. A peer's report of an end counts only if nothing later is known here. An end takes effect after a delay that differs from
host to host, so that a late report does no harm: the next response with a limit revokes it. A limit that is not announced again stays
in force; `sinceAnnouncedMs` shows senders when to probe whether it still applies.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import {ToldOnce} from './told-once.js';
import type {UpstreamServer} from './upstream-server.js';

/** What a response says about the rate limit of its server. */
export type LimitReading
	= | {readonly kind: 'named'; readonly perS: number}
		| {readonly kind: 'none'}
	/** A limit that can't be parsed. */
		| {readonly kind: 'unreadable'; readonly text: string}
	/** The response is from another server, or of a kind that would not announce a limit. */
		| {readonly kind: 'silent'};

/** A rate limit that is in force. */
export type ServerLimit = {
	readonly perS: number;
	/** Time since a response that announced it reached any host, as far as is known. */
	readonly quietMs: number;
};

/** What hosts report to each other about a limit. */
export type LimitNews = {
	readonly serverId: string;
	readonly perS: number;
	/** Time since a response announced it. */
	readonly namedAgoMs: number;
	/** Time since a call was sent whose response no longer announced it; absent while it is in force. */
	readonly endedAgoMs?: number;
};

/** A limit that is known to this host. */
type Known = {
	readonly perS: number;
	readonly namedMs: number;
	/** When it was last reported to peers, by any host. */
	readonly toldMs: number;
	/** Whether the last report matches the current state. */
	readonly isTold: boolean;
	/** When the call was sent whose response no longer announced it, and until when the limit stays in force nevertheless. */
	readonly end?: {readonly sentMs: number; readonly untilMs: number};
};

/** Interval at which peers get a report that a limit is still announced: much shorter than the time after which a limit is probed. */
const tellAgainMs = 5000;
/** Minimum interval between reports of changes to one limit: a server may announce a different one in each response. */
const tellChangeMs = 250;
/** An end takes effect after the time in which the limit allows this many further requests, within the bounds below. */
const requestsUntilEnd = 2;
const shortestEndMs = 2000;
const longestEndMs = 10_000;
/** Maximum number of limits that are remembered, including those of servers that are not listed yet. */
const mostLimits = 2000;
const mostLoggedChars = 80;
const secondMs = 1000;

export const serverLimitsToken: InjectionToken<ServerLimits> = Symbol('ServerLimits');

/** Options of `ServerLimits`. */
export type ServerLimitsOptions = {
	/** Varies the time at which a limit ends from host to host. */
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Keeps the rate limits that servers announce. */
export class ServerLimits {
	static create(options: ServerLimitsOptions): ServerLimits {
		return new ServerLimits(options);
	}

	private readonly didLearn = Emitter.create<LimitNews>();
	/** By `serverId`, least recently updated first. */
	private readonly known = new Map<string, Known>();
	private readonly strange = ToldOnce.create();

	private constructor(private readonly options: ServerLimitsOptions) {}

	/** Fires with what is to be reported to peers. */
	get onDidLearn() {
		return this.didLearn.event;
	}

	/**
	Returns the rate limit of a server.
	@param serverId - the server.
	@param nowMs - current time.
	@returns undefined if the server announces none.
	*/
	limitOf(serverId: string, nowMs: number): ServerLimit | undefined {
		const known = this.known.get(serverId);
		if (!known) {
			return undefined;
		}

		if (known.end && nowMs >= known.end.untilMs) {
			this.known.delete(serverId);
			this.options.log.info('The rate limit of an upstream has ended.', {server: serverId, limitPerS: known.perS});
			return undefined;
		}

		return {perS: known.perS, quietMs: nowMs - known.namedMs};
	}

	/**
	Handles a response of a server to this host.
	@param server - the server.
	@param reading - what the response says about a limit.
	@param sentMs - when the call was sent.
	@param nowMs - current time.
	*/
	answered({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, reading: LimitReading, sentMs: number, nowMs: number): void {
		switch (reading.kind) {
			case 'named': {
				this.options.metrics.increment('limits.named', 1, {pool});
				this.named(serverId, reading.perS, nowMs);
				break;
			}

			case 'none': {
				this.notNamed(serverId, sentMs, nowMs);
				break;
			}

			case 'unreadable': {
				this.tellStrange(serverId, pool, reading.text);
				break;
			}

			case 'silent': {
				break;
			}
		}
	}

	/**
	Handles a peer's report of limits.
	@param updates - what the peer knows.
	@param peer - its name, for logs.
	@param nowMs - current time.
	*/
	hear(news: readonly LimitNews[], peer: string, nowMs: number): void {
		for (const {serverId, perS, namedAgoMs, endedAgoMs} of news) {
			if (endedAgoMs === undefined) {
				this.heardNamed(serverId, perS, nowMs - namedAgoMs, {peer, nowMs});
			} else {
				this.endedBy(serverId, {sentMs: nowMs - endedAgoMs, isTold: true}, nowMs);
			}
		}
	}

	/**
	Returns all known limits, to be reported to a peer.
	@param nowMs - current time.
	*/
	all(nowMs: number): LimitNews[] {
		return [...this.known].map(([serverId, known]) => newsOf(serverId, known, nowMs));
	}

	/**
	Removes a server that is gone.
	@param serverId - the server.
	*/
	forget(serverId: string): void {
		this.known.delete(serverId);
		this.strange.forget(serverId);
	}

	private named(serverId: string, perS: number, nowMs: number): void {
		const before = this.known.get(serverId);
		const isTold = before?.isTold === true && isInForce(before, perS);
		const known: Known = {
			perS, namedMs: nowMs, toldMs: before?.toldMs ?? -Infinity, isTold,
		};
		this.keep(serverId, known);
		if (this.tell(serverId, known, nowMs) && !isTold) {
			this.options.log.info('An upstream announced a rate limit.', {
				server: serverId, limitPerS: perS, ...(before && {beforePerS: before.perS}),
			});
		}
	}

	/**
	Reports the state of a limit to the peers, unless they know it or got a report a short time ago.
	@returns whether it was reported.
	*/
	private tell(serverId: string, known: Known, nowMs: number): boolean {
		const isDue = nowMs - known.toldMs >= (known.isTold ? tellAgainMs : tellChangeMs);
		if (isDue) {
			this.keep(serverId, {...known, toldMs: nowMs, isTold: true});
			this.didLearn.fire(newsOf(serverId, known, nowMs));
		}

		return isDue;
	}

	private heardNamed(serverId: string, perS: number, namedMs: number, {peer, nowMs}: {readonly peer: string; readonly nowMs: number}): void {
		const before = this.known.get(serverId);
		if (before && namedMs <= Math.max(before.namedMs, before.end?.sentMs ?? -Infinity)) {
			return;
		}

		if (!isInForce(before, perS)) {
			this.options.log.info('A peer reported that an upstream announced a rate limit.', {
				server: serverId, limitPerS: perS, peer, ageMs: Math.round(nowMs - namedMs),
			});
		}

		this.keep(serverId, {
			perS, namedMs, toldMs: nowMs, isTold: true,
		});
	}

	/** Handles a response to this host that announced no limit. */
	private notNamed(serverId: string, sentMs: number, nowMs: number): void {
		this.endedBy(serverId, {sentMs, isTold: false}, nowMs);
		const known = this.known.get(serverId);
		if (known?.end && !known.isTold) {
			this.tell(serverId, known, nowMs);
		}
	}

	/** Starts the end of a limit because a response did not announce it, unless it was announced after the call was sent or is ending already. */
	private endedBy(serverId: string, {sentMs, isTold}: {readonly sentMs: number; readonly isTold: boolean}, nowMs: number): void {
		const known = this.known.get(serverId);
		if (known === undefined || known.end !== undefined || sentMs <= known.namedMs) {
			return;
		}

		const waitMs = Math.min(longestEndMs, Math.max(shortestEndMs, requestsUntilEnd * secondMs / known.perS));
		this.keep(serverId, {...known, isTold, end: {sentMs, untilMs: nowMs + (waitMs * (1 + this.options.random.next()))}});
	}

	private keep(serverId: string, known: Known): void {
		this.known.delete(serverId);
		this.known.set(serverId, known);
		if (this.known.size > mostLimits) {
			const [oldest] = this.known.keys();
			this.known.delete(oldest);
		}
	}

	private tellStrange(serverId: string, pool: string, text: string): void {
		this.options.metrics.increment('limits.unreadable', 1, {pool});
		if (this.strange.isFirst(serverId)) {
			this.options.log.warn('An upstream announced a rate limit that can\'t be parsed; ignoring it.', {server: serverId, pool, limit: text.slice(0, mostLoggedChars)});
		}
	}
}

/** Returns whether a limit is in force at this rate and is not about to end. */
function isInForce(known: Known | undefined, perS: number): boolean {
	return known?.perS === perS && known.end === undefined;
}

function newsOf(serverId: string, {perS, namedMs, end}: Known, nowMs: number): LimitNews {
	return {
		serverId, perS, namedAgoMs: Math.max(0, nowMs - namedMs), ...(end && {endedAgoMs: Math.max(0, nowMs - end.sentMs)}),
	};
}

/**
Tracks which servers announce a rate limit in their responses: the requests per second that they accept from all hosts together, for as long as
they announce it.

Few hosts receive the responses of a limited server, so hosts report to each other when a limit begins, changes and ends, and at intervals
that it is still announced. Calls may overlap: a response without a limit ends the limit only if its call was sent after the last response with
a limit had arrived. A peer's report of an end counts only if nothing later is known here. An end takes effect after a delay that differs from
host to host, so that a late report does no harm: the next response with a limit revokes the end. A limit that is not announced again stays
in force; `sinceAnnouncedMs` shows senders when to probe whether it still applies.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import {LoggedOnce} from './logged-once.js';
import type {UpstreamServer} from './upstream-server.js';

/** What a response states about the rate limit of its server. */
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
	readonly sinceAnnouncedMs: number;
};

/** What hosts report to each other about a limit. */
export type LimitUpdate = {
	readonly serverId: string;
	readonly perS: number;
	/** Time since a response announced it. */
	readonly namedAgoMs: number;
	/** Time since a call was sent whose response no longer announced it; absent while it is in force. */
	readonly endedAgoMs?: number;
};

/** A limit that is known to this host. */
type KnownLimit = {
	readonly perS: number;
	readonly announcedMs: number;
	/** When it was last reported to peers, by any host. */
	readonly reportedMs: number;
	/** Whether the last report matches the current state. */
	readonly isReported: boolean;
	/** When the call was sent whose response no longer announced it, and until when the limit stays in force nevertheless. */
	readonly end?: {readonly sentMs: number; readonly untilMs: number};
};

/** Interval at which peers get a report that a limit is still announced: much shorter than the time after which a limit is probed. */
const repeatReportMs = 5000;
/** Minimum interval between reports of changes to one limit: a server may announce a different one in each response. */
const minReportIntervalMs = 250;
/** The delay of an end is the time in which the limit allows this many further requests, within the bounds below, plus a random part of up to the same length. */
const requestsBeforeEnd = 2;
const minEndDelayMs = 2000;
const maxEndDelayMs = 10_000;
/** Maximum number of limits that are remembered, including those of servers that are not listed yet. */
const maxLimits = 2000;
const maxLoggedChars = 80;
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

	private readonly didObserve = Emitter.create<LimitUpdate>();
	/** By `serverId`, least recently updated first. */
	private readonly known = new Map<string, KnownLimit>();
	private readonly loggedMalformed = LoggedOnce.create();

	private constructor(private readonly options: ServerLimitsOptions) {}

	/** Fires with what is to be reported to peers. */
	get onDidObserve() {
		return this.didObserve.event;
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

		return {perS: known.perS, sinceAnnouncedMs: nowMs - known.announcedMs};
	}

	/**
	Handles a response of a server to this host.
	@param server - the server.
	@param reading - what the response states about a limit.
	@param sentMs - when the call was sent.
	@param nowMs - current time.
	*/
	handleResponse({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, reading: LimitReading, sentMs: number, nowMs: number): void {
		switch (reading.kind) {
			case 'named': {
				this.options.metrics.increment('limits.named', 1, {pool});
				this.handleAnnounced(serverId, reading.perS, nowMs);
				break;
			}

			case 'none': {
				this.handleNotAnnounced(serverId, sentMs, nowMs);
				break;
			}

			case 'unreadable': {
				this.logMalformed(serverId, pool, reading.text);
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
	handlePeerReport(updates: readonly LimitUpdate[], peer: string, nowMs: number): void {
		for (const {serverId, perS, namedAgoMs, endedAgoMs} of updates) {
			if (endedAgoMs === undefined) {
				this.handlePeerAnnounced(serverId, perS, nowMs - namedAgoMs, {peer, nowMs});
			} else {
				this.startEnd(serverId, {sentMs: nowMs - endedAgoMs, isReported: true}, nowMs);
			}
		}
	}

	/**
	Returns all known limits, to be reported to a peer.
	@param nowMs - current time.
	*/
	all(nowMs: number): LimitUpdate[] {
		return [...this.known].map(([serverId, known]) => updateOf(serverId, known, nowMs));
	}

	/**
	Removes a server that is gone.
	@param serverId - the server.
	*/
	forget(serverId: string): void {
		this.known.delete(serverId);
		this.loggedMalformed.forget(serverId);
	}

	private handleAnnounced(serverId: string, perS: number, nowMs: number): void {
		const before = this.known.get(serverId);
		const isReported = before?.isReported === true && isInForce(before, perS);
		const known: KnownLimit = {
			perS, announcedMs: nowMs, reportedMs: before?.reportedMs ?? -Infinity, isReported,
		};
		this.keep(serverId, known);
		if (this.reportIfDue(serverId, known, nowMs) && !isReported) {
			this.options.log.info('An upstream announced a rate limit.', {
				server: serverId, limitPerS: perS, ...(before && {beforePerS: before.perS}),
			});
		}
	}

	/**
	Reports the state of a limit to the peers, unless they know it or got a report a short time ago.
	@returns whether it was reported.
	*/
	private reportIfDue(serverId: string, known: KnownLimit, nowMs: number): boolean {
		const isDue = nowMs - known.reportedMs >= (known.isReported ? repeatReportMs : minReportIntervalMs);
		if (isDue) {
			this.keep(serverId, {...known, reportedMs: nowMs, isReported: true});
			this.didObserve.fire(updateOf(serverId, known, nowMs));
		}

		return isDue;
	}

	private handlePeerAnnounced(serverId: string, perS: number, announcedMs: number, {peer, nowMs}: {readonly peer: string; readonly nowMs: number}): void {
		const before = this.known.get(serverId);
		if (before && announcedMs <= Math.max(before.announcedMs, before.end?.sentMs ?? -Infinity)) {
			return;
		}

		if (!isInForce(before, perS)) {
			this.options.log.info('A peer reported that an upstream announced a rate limit.', {
				server: serverId, limitPerS: perS, peer, ageMs: Math.round(nowMs - announcedMs),
			});
		}

		this.keep(serverId, {
			perS, announcedMs, reportedMs: nowMs, isReported: true,
		});
	}

	/** Handles a response to this host that announced no limit. */
	private handleNotAnnounced(serverId: string, sentMs: number, nowMs: number): void {
		this.startEnd(serverId, {sentMs, isReported: false}, nowMs);
		const known = this.known.get(serverId);
		if (known?.end && !known.isReported) {
			this.reportIfDue(serverId, known, nowMs);
		}
	}

	/** Starts the end of a limit because a response did not announce it, unless it was announced after the call was sent or is ending already. */
	private startEnd(serverId: string, {sentMs, isReported}: {readonly sentMs: number; readonly isReported: boolean}, nowMs: number): void {
		const known = this.known.get(serverId);
		if (known === undefined || known.end !== undefined || sentMs <= known.announcedMs) {
			return;
		}

		const delayMs = Math.min(maxEndDelayMs, Math.max(minEndDelayMs, requestsBeforeEnd * secondMs / known.perS));
		this.keep(serverId, {...known, isReported, end: {sentMs, untilMs: nowMs + (delayMs * (1 + this.options.random.next()))}});
	}

	private keep(serverId: string, known: KnownLimit): void {
		this.known.delete(serverId);
		this.known.set(serverId, known);
		if (this.known.size > maxLimits) {
			const [oldest] = this.known.keys();
			this.known.delete(oldest);
		}
	}

	private logMalformed(serverId: string, pool: string, text: string): void {
		this.options.metrics.increment('limits.unreadable', 1, {pool});
		if (this.loggedMalformed.isFirst(serverId)) {
			this.options.log.warn('An upstream announced a rate limit that can\'t be parsed; ignoring it.', {server: serverId, pool, limit: text.slice(0, maxLoggedChars)});
		}
	}
}

/** Returns whether a limit is in force at this rate and is not about to end. */
function isInForce(known: KnownLimit | undefined, perS: number): boolean {
	return known?.perS === perS && known.end === undefined;
}

function updateOf(serverId: string, {perS, announcedMs, end}: KnownLimit, nowMs: number): LimitUpdate {
	return {
		serverId, perS, namedAgoMs: Math.max(0, nowMs - announcedMs), ...(end && {endedAgoMs: Math.max(0, nowMs - end.sentMs)}),
	};
}

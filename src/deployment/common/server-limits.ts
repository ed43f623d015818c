/**
Which servers name a limit in their answers: the requests a second that they take from all hosts together, for as long as they say so.

Few hosts get the answers of a limited server, so hosts tell each other when a limit begins, changes and ends, and now and then
that it is still named. Answers cross: one without a limit ends it only if its call was sent after the last answer with
a limit had come. What a peer tells of an end counts only where nothing later is known here, and an end takes effect
after a while, on one host after the other, so that a word that came late does no harm: the next answer with a limit
takes it back. A limit that nobody repeats stays in force; `quietMs` tells whoever may send when to look whether it still holds.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import {ToldOnce} from './told-once.js';
import type {UpstreamServer} from './upstream-server.js';

/** What an answer says of its server's limit. */
export type LimitReading
	= | {readonly kind: 'named'; readonly perS: number}
		| {readonly kind: 'none'}
	/** A limit that makes no sense. */
		| {readonly kind: 'unreadable'; readonly text: string}
	/** The answer is of another server, or none that would name a limit. */
		| {readonly kind: 'silent'};

/** A limit as it stands. */
export type ServerLimit = {
	readonly perS: number;
	/** Time since an answer that named it came to any host, as far as is known. */
	readonly quietMs: number;
};

/** What hosts tell each other of a limit. */
export type LimitNews = {
	readonly serverId: string;
	readonly perS: number;
	/** Time since an answer named it. */
	readonly namedAgoMs: number;
	/** Time since a call was sent whose answer no longer named it; absent while it is in force. */
	readonly endedAgoMs?: number;
};

/** A limit that is known here. */
type Known = {
	readonly perS: number;
	readonly namedMs: number;
	/** When the peers last heard of it, from whichever host. */
	readonly toldMs: number;
	/** Whether what they heard is how it stands. */
	readonly isTold: boolean;
	/** The call whose answer no longer named it, and until when it is in force nevertheless. */
	readonly end?: {readonly sentMs: number; readonly untilMs: number};
};

/** Peers are told this often that a limit is still named: far more often than one is taken for quiet. */
const tellAgainMs = 5000;
/** Peers are told of changes of one limit no closer together than this: a server may name another one in each answer. */
const tellChangeMs = 250;
/** An end takes effect once so many requests more would have been taken, after this long at least. */
const requestsUntilEnd = 2;
const shortestEndMs = 2000;
const longestEndMs = 10_000;
/** Limits that are remembered, those of servers that are not listed yet included. */
const mostLimits = 2000;
const mostLoggedChars = 80;
const secondMs = 1000;

export const serverLimitsToken: InjectionToken<ServerLimits> = Symbol('ServerLimits');

/** What the limits are made of. */
export type ServerLimitsOptions = {
	/** Spreads the ends over the hosts. */
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Knows the limits that servers name. */
export class ServerLimits {
	static create(options: ServerLimitsOptions): ServerLimits {
		return new ServerLimits(options);
	}

	private readonly didLearn = Emitter.create<LimitNews>();
	/** By `serverId`; the one learned longest ago first. */
	private readonly known = new Map<string, Known>();
	private readonly strange = ToldOnce.create();

	private constructor(private readonly options: ServerLimitsOptions) {}

	/** Fires with what peers are to be told. */
	get onDidLearn() {
		return this.didLearn.event;
	}

	/**
	Gives the limit of a server.
	@param serverId - the server.
	@param nowMs - the time.
	@returns nothing where it names none.
	*/
	limitOf(serverId: string, nowMs: number): ServerLimit | undefined {
		const known = this.known.get(serverId);
		if (!known) {
			return undefined;
		}

		if (known.end && nowMs >= known.end.untilMs) {
			this.known.delete(serverId);
			this.options.log.info('A limit of an upstream is over.', {server: serverId, limitPerS: known.perS});
			return undefined;
		}

		return {perS: known.perS, quietMs: nowMs - known.namedMs};
	}

	/**
	A server has answered this host.
	@param server - which.
	@param reading - what its answer says of a limit.
	@param sentMs - when the call was sent.
	@param nowMs - the time.
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
	A peer tells of limits.
	@param news - what it knows.
	@param peer - its name, for logs.
	@param nowMs - the time.
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
	Gives all that is known, for a peer.
	@param nowMs - the time.
	*/
	all(nowMs: number): LimitNews[] {
		return [...this.known].map(([serverId, known]) => newsOf(serverId, known, nowMs));
	}

	/**
	A server is gone.
	@param serverId - which.
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
			this.options.log.info('An upstream names a limit.', {
				server: serverId, limitPerS: perS, ...(before && {beforePerS: before.perS}),
			});
		}
	}

	/**
	Tells the peers how a limit stands, unless they know or heard of it a moment ago.
	@returns whether they were told.
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
			this.options.log.info('A peer tells that an upstream names a limit.', {
				server: serverId, limitPerS: perS, peer, ageMs: Math.round(nowMs - namedMs),
			});
		}

		this.keep(serverId, {
			perS, namedMs, toldMs: nowMs, isTold: true,
		});
	}

	/** An answer of this host named none. */
	private notNamed(serverId: string, sentMs: number, nowMs: number): void {
		this.endedBy(serverId, {sentMs, isTold: false}, nowMs);
		const known = this.known.get(serverId);
		if (known?.end && !known.isTold) {
			this.tell(serverId, known, nowMs);
		}
	}

	/** A limit was not named by the answer to a call: it ends because of that, unless it was named since, or ends already. */
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
			this.options.log.warn('An upstream names a limit that can\'t be read; it is passed over.', {server: serverId, pool, limit: text.slice(0, mostLoggedChars)});
		}
	}
}

/** Whether a limit stands as it is named now, with no end in sight. */
function isInForce(known: Known | undefined, perS: number): boolean {
	return known?.perS === perS && known.end === undefined;
}

function newsOf(serverId: string, {perS, namedMs, end}: Known, nowMs: number): LimitNews {
	return {
		serverId, perS, namedAgoMs: Math.max(0, nowMs - namedMs), ...(end && {endedAgoMs: Math.max(0, nowMs - end.sentMs)}),
	};
}

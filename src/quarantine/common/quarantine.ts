/**
Requests that end the servers that run them: each is sent to three servers at most, whatever ids its tries have and at
whichever host they come.

A request under which three starts of servers have ended is barred on all hosts, first for a minute; then one of them tries it
once. One end proves little, since all that ran on the server ended with it; but what is harmless runs to a good end elsewhere,
and is cleared by that. Without the record one caller that asked again and again ended eleven of 13 engines within 13 s.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {EndRecord, type ContentEnds} from './end-record.js';
import {
	contentIdOf, headDigestOf, headOfContentId, type ContentSource,
} from './request-content.js';
import {quarantineLogMessages} from './quarantine-log-messages.js';
import type {ServerEnds} from './server-ends.js';

/** Ends of servers under one content after which it is sent no more. */
const barredAfter = 3;
/** Ends after which pieces go in a call of their own: after the first one dozens would, and a full call takes no longer than theirs. */
const aloneAfter = 2;
/** Digests of heads that are kept; beyond them those that are needed are gathered anew. */
const mostHeads = 20_000;
/** What callers and logs are told of a barred request. */
export const barredText = `this request is in quarantine, as ${barredAfter} servers ended while they ran it`;

/** Whether a request may be sent, by what became of the same content before. */
export type Standing
	= | {readonly type: 'clear'}
	/** It may have ended its last server; in a moment more is known. */
		| {readonly type: 'inDoubt'}
		| {readonly type: 'barred'; readonly forMs: number; readonly contentId: string};

export const clearStanding: Standing = {type: 'clear'};

/** How a piece of a request may be handed to a server that works on pieces of several requests at once. */
export const cautions = {
	none: 'none',
	/** The request was there when servers ended: in a call of its own it takes no other with it, and shows whose doing it was. */
	alone: 'alone',
	/** It may have ended its last server; in a moment more is known. */
	wait: 'wait',
	/** To none. */
	barred: 'barred',
} as const;
export type Caution = typeof cautions[keyof typeof cautions];

export const quarantineToken: InjectionToken<Quarantine> = Symbol('Quarantine');

/** What the quarantine is made of. */
export type QuarantineOptions = {
	readonly serverEnds: Pick<ServerEnds, 'brokeOff' | 'isBeingChecked' | 'onDidEnd' | 'onDidSettle'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Knows which requests may not be sent. */
export class Quarantine implements Disposable {
	static create(options: QuarantineOptions): Quarantine {
		return new Quarantine(options);
	}

	private readonly record = EndRecord.create(barredAfter);
	/** Digests of heads of which a content was ever suspected here: all others are clear at a look. */
	private heads = new Set<string>();
	/** Contents of calls that broke off, by the server in doubt. */
	private readonly suspects = new Map<string, Set<string>>();
	private readonly didLearn = Emitter.create<ContentEnds>();
	private readonly didBar = Emitter.create<string>();
	private readonly didHearOfEnd = Emitter.create<string>();
	private readonly owned = DisposableStore.create();

	private constructor(private readonly options: QuarantineOptions) {
		const {serverEnds} = options;
		this.owned.add(serverEnds.onDidEnd(serverId => {
			this.serverEnded(serverId);
		}));
		this.owned.add(serverEnds.onDidSettle(serverId => {
			this.suspects.delete(serverId);
		}));
	}

	/** Fires with what this host has found out, for its peers. */
	get onDidLearn() {
		return this.didLearn.event;
	}

	/** Fires with a start of a server that has ended, found out by this host or a peer. */
	get onDidHearOfEnd() {
		return this.didHearOfEnd.event;
	}

	/** Fires with a content that is barred from now on. */
	get onDidBar() {
		return this.didBar.event;
	}

	/**
	Tells whether a request may be sent.
	@param source - the request.
	*/
	standingOf(source: ContentSource): Standing {
		if (!this.mayBeKnown(source)) {
			return clearStanding;
		}

		return this.standingOfContent(contentIdOf(source));
	}

	/**
	Tells how a piece of a request may be handed on.
	@param contentId - of the request.
	*/
	cautionOf(contentId: string): Caution {
		if (this.heads.size === 0 || !this.heads.has(headOfContentId(contentId))) {
			return cautions.none;
		}

		const {type} = this.standingOfContent(contentId);
		if (type !== 'clear') {
			return type === 'barred' ? cautions.barred : cautions.wait;
		}

		return this.record.countOf(contentId, this.options.clock.nowMs()) >= aloneAfter ? cautions.alone : cautions.none;
	}

	/**
	A request is about to be sent: where it was barred this is its trial, and it is barred again on all hosts until that tells more.
	@param source - the request.
	*/
	sent(source: ContentSource): void {
		if (this.mayBeKnown(source)) {
			const {clock, log} = this.options;
			const contentId = contentIdOf(source);
			const news = this.record.trial(contentId, clock.nowMs());
			if (news) {
				log.warn(quarantineLogMessages.tried, {content: contentId, trial: news.trials?.count});
				this.didLearn.fire(news);
			}
		}
	}

	/**
	A call broke off before its answer was whole, though nobody here gave it up.
	@param contentId - of its request.
	@param server - that ran it.
	@param requestId - its caller's name of this try.
	*/
	brokeOff(contentId: string, server: UpstreamServer, requestId: string): void {
		if (this.options.serverEnds.brokeOff(server)) {
			this.options.log.info(quarantineLogMessages.brokeOff, {request: requestId, content: contentId, server: server.serverId});
			this.addHead(contentId);
			const contents = this.suspects.get(server.serverId) ?? new Set();
			contents.add(contentId);
			this.suspects.set(server.serverId, contents);
		}
	}

	/**
	A request has run to a whole answer: the ends under the same content were not its doing.
	@param source - the request.
	*/
	completed(source: ContentSource): void {
		if (!this.mayBeKnown(source)) {
			return;
		}

		const contentId = contentIdOf(source);
		for (const contents of this.suspects.values()) {
			contents.delete(contentId);
		}

		const cleared = this.record.serversOf(contentId, this.options.clock.nowMs());
		if (cleared.length > 0) {
			this.learn({contentId, ends: [], cleared}, 'this host');
		}
	}

	/**
	A peer tells what it knows.
	@param known - of some contents.
	@param hostId - the peer.
	*/
	hear(known: readonly ContentEnds[], hostId: string): void {
		for (const item of known) {
			this.take(item, hostId);
		}
	}

	/** Gives everything, for a host that may lack it. */
	all(): ContentEnds[] {
		return this.record.all(this.options.clock.nowMs());
	}

	dispose(): void {
		this.owned.dispose();
	}

	private standingOfContent(contentId: string): Standing {
		const nowMs = this.options.clock.nowMs();
		const forMs = this.record.barredUntilMs(contentId, nowMs) - nowMs;
		if (forMs > 0) {
			return {type: 'barred', forMs, contentId};
		}

		const doubtful = this.doubtfulCount(contentId);
		const mayBeBarred = doubtful > 0 && this.record.countOf(contentId, nowMs) + doubtful >= barredAfter;
		return mayBeBarred ? {type: 'inDoubt'} : clearStanding;
	}

	/** Cheap, and true for few: the body is only read for these. */
	private mayBeKnown(source: ContentSource): boolean {
		return this.heads.size > 0 && this.heads.has(headDigestOf(source));
	}

	/** Ends under a content that are not proven yet, but may be in a moment. */
	private doubtfulCount(contentId: string): number {
		return [...this.suspects].filter(([serverId, contents]) => contents.has(contentId) && this.options.serverEnds.isBeingChecked(serverId)).length;
	}

	private addHead(contentId: string): void {
		if (this.heads.size >= mostHeads) {
			const needed = [...this.record.contentIds, ...[...this.suspects.values()].flatMap(contents => [...contents])];
			this.heads = new Set(needed.map(item => headOfContentId(item)));
		}

		this.heads.add(headOfContentId(contentId));
	}

	private serverEnded(serverId: string): void {
		for (const contentId of this.suspects.get(serverId) ?? []) {
			this.learn({contentId, ends: [{serverId, ageMs: 0}], cleared: []}, 'this host');
		}
	}

	private learn(known: ContentEnds, source: string): void {
		const news = this.take(known, source);
		if (news) {
			this.didLearn.fire(news);
		}
	}

	private take(known: ContentEnds, source: string): ContentEnds | undefined {
		const {clock, log, metrics} = this.options;
		const {contentId} = known;
		const nowMs = clock.nowMs();
		const countBefore = this.record.countOf(contentId, nowMs);
		const news = this.record.merge(known, nowMs);
		if (!news) {
			return undefined;
		}

		this.addHead(contentId);
		const count = this.record.countOf(contentId, nowMs);
		for (const {serverId} of news.ends) {
			log.info(quarantineLogMessages.ended, {
				content: contentId, server: serverId, ends: count, source,
			});
			this.didHearOfEnd.fire(serverId);
		}

		if (count >= barredAfter && countBefore < barredAfter) {
			const servers = this.record.serversOf(contentId, nowMs);
			log.warn(quarantineLogMessages.barred, {content: contentId, servers: servers.join(' '), source});
			metrics.increment('quarantine.barred', 1);
			this.didBar.fire(contentId);
		} else if (count < barredAfter && countBefore >= barredAfter) {
			log.warn(quarantineLogMessages.lifted, {content: contentId, source});
			metrics.increment('quarantine.lifted', 1);
		}

		return news;
	}
}

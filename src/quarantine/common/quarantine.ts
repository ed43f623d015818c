/**
Quarantine for requests that crash the servers that run them: each is sent to three servers at most, whatever ids its attempts
have and whichever hosts receive them.

A request is barred on all hosts once three server processes have crashed while they ran it. It is barred for a minute at first;
then one host sends it once as a trial request. One crash proves little, since every request that ran on the server is affected;
but a harmless request runs to completion elsewhere, which clears it. Without the quarantine, one caller that kept repeating its
request crashed 11 of 13 engines within 13 s.
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

/** Number of server crashes under one content after which it is barred. */
const barredAfter = 3;
/**
Number of crashes after which a piece is sent in a call of its own. After a single crash dozens of pieces would be sent alone,
although a call with a full batch takes no longer than a call with one piece.
*/
const aloneAfter = 2;
/** Number of head digests at which the set is rebuilt from the contents that are still recorded or suspect. */
const mostHeads = 20_000;
/** Text about a barred request, for callers and logs. */
export const barredText = `this request is in quarantine, as ${barredAfter} servers ended while they ran it`;

/** Whether a request may be sent, judged by the crashes recorded for the same content. */
export type Standing
	= | {readonly type: 'clear'}
	/** It may have crashed the last server that ran it; a check is under way. */
		| {readonly type: 'inDoubt'}
		| {readonly type: 'barred'; readonly forMs: number; readonly contentId: string};

export const clearStanding: Standing = {type: 'clear'};

/** How a piece of a request may be sent to a server that processes pieces of several requests in one call. */
export const cautions = {
	none: 'none',
	/** The request was present when servers crashed: in a call of its own it can harm no other request, and a crash shows which one caused it. */
	alone: 'alone',
	/** The request may have crashed the last server that ran it; a check is under way. */
	wait: 'wait',
	/** The piece may be sent to no server. */
	barred: 'barred',
} as const;
export type Caution = typeof cautions[keyof typeof cautions];

export const quarantineToken: InjectionToken<Quarantine> = Symbol('Quarantine');

/** Dependencies of the quarantine. */
export type QuarantineOptions = {
	readonly serverEnds: Pick<ServerEnds, 'brokeOff' | 'isBeingChecked' | 'onDidEnd' | 'onDidSettle'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Decides which requests may be sent, by the server crashes recorded for their content. */
export class Quarantine implements Disposable {
	static create(options: QuarantineOptions): Quarantine {
		return new Quarantine(options);
	}

	private readonly record = EndRecord.create(barredAfter);
	/** Head digests of all contents that were ever suspect on this host; any other request is clear without reading its body. */
	private heads = new Set<string>();
	/** Contents of calls whose connection was lost, by the id of the suspect server. */
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

	/** Fires with what this host has observed itself, for its peers. */
	get onDidLearn() {
		return this.didLearn.event;
	}

	/** Fires with the id of a server process that crashed, as observed by this host or a peer. */
	get onDidHearOfEnd() {
		return this.didHearOfEnd.event;
	}

	/** Fires with the id of a content when it becomes barred. */
	get onDidBar() {
		return this.didBar.event;
	}

	/**
	Determines whether a request may be sent.
	@param source - the request.
	*/
	standingOf(source: ContentSource): Standing {
		if (!this.mayBeKnown(source)) {
			return clearStanding;
		}

		return this.standingOfContent(contentIdOf(source));
	}

	/**
	Determines how a piece of a request may be sent.
	@param contentId - the content id of the request.
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
	Called when a request is about to be sent. If it was barred, this is its trial request, and it is barred again on all hosts until
	the outcome is known.
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
	Called when the connection of a call was lost before its response was complete, although this host did not cancel the call.
	@param contentId - the content id of its request.
	@param server - the server that ran it.
	@param requestId - the caller's id of this attempt.
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
	Called when a request got a complete response: it did not cause the crashes recorded for its content, which no longer count.
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
	Merges what a peer reports.
	@param known - the crashes of some contents.
	@param hostId - the peer.
	*/
	hear(known: readonly ContentEnds[], hostId: string): void {
		for (const item of known) {
			this.take(item, hostId);
		}
	}

	/** Lists all recorded contents, for a host that may not know them. */
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

	/** Cheap check on the head of a request. It is true for few requests, and only their bodies are hashed. */
	private mayBeKnown(source: ContentSource): boolean {
		return this.heads.size > 0 && this.heads.has(headDigestOf(source));
	}

	/** Counts the suspect servers of a content whose address is being checked: crashes that may be confirmed shortly. */
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

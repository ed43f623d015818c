/**
Quarantine for requests that crash the servers that run them: after three crashes a request is sent only as an
occasional trial request, whatever ids its attempts have and whichever hosts receive them.

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
import {CrashRecord, type ContentCrashes} from './crash-record.js';
import {
	contentIdOf, headDigestOf, headOfContentId, type ContentSource,
} from './request-content.js';
import {crashesToBar as crashesToBarPart} from './part-record.js';
import {quarantineLogMessages} from './quarantine-log-messages.js';
import type {CrashDetector} from './crash-detector.js';
import type {PartQuarantine} from './part-quarantine.js';

/** Number of server crashes recorded for one content after which the content is barred. */
const crashesToBar = 3;
/**
Number of crashes after which a piece is sent in a call of its own. With a value of 1, dozens of pieces would be sent
alone after a single crash, although a call with a full batch takes no longer than a call with one piece.
*/
const crashesToIsolate = 2;
/** Number of head digests at which the set is rebuilt from the contents that are still recorded or suspect. */
const maxHeadDigests = 20_000;
/** Texts about barred requests, for callers and logs. */
const barredContentText = `this request is in quarantine, as ${crashesToBar} servers ended while they ran it`;
const barredPartText = `a part of its prompt is in quarantine, as ${crashesToBarPart} servers ended while they ran requests with it`;

/** Whether a request may be sent, judged by the crashes recorded for the same content. */
export type Standing
	= | {readonly type: 'clear'}
	/** The request may have crashed the last server that ran it; a check is under way. */
		| {readonly type: 'inDoubt'}
		| {readonly type: 'barred'; readonly forMs: number; readonly contentId: string}
		| {readonly type: 'barred'; readonly forMs: number; readonly part: string};

export type BarredStanding = Extract<Standing, {type: 'barred'}>;

export const clearStanding: Standing = {type: 'clear'};

/** The parts that a prompt shares with others, and when its request was sent to a server. */
export type SentPrompt = {readonly parts: readonly string[]; readonly sentMs: number};

const noPrompt: SentPrompt = {parts: [], sentMs: 0};

/** A complete response to a request. */
export type CompletedResponse = {
	readonly server: UpstreamServer;
	/** When the request was sent to the server. */
	readonly sentMs: number;
	readonly isSuccess: boolean;
	/** Whether only the end of its connection shows that the response is complete. */
	readonly endsWithConnection: boolean;
};

/** How a piece of a request may be sent to a server that processes pieces of several requests in one call. */
export const pieceHandlings = {
	none: 'none',
	/**
	The request was present when servers crashed. In a call of its own it can harm no other request, and a crash shows which request
	caused it.
	*/
	alone: 'alone',
	/** The request may have crashed the last server that ran it; a check is under way. */
	wait: 'wait',
	/** The piece may be sent to no server. */
	barred: 'barred',
} as const;
export type PieceHandling = typeof pieceHandlings[keyof typeof pieceHandlings];

export const quarantineToken: InjectionToken<Quarantine> = Symbol('Quarantine');

/** Dependencies of the quarantine. */
export type QuarantineOptions = {
	readonly crashDetector: Pick<CrashDetector, 'connectionLost' | 'isBeingChecked' | 'onDidCrash' | 'onDidConclude'>;
	/** Quarantine of the parts that prompts share. */
	readonly parts: PartQuarantine;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/**
Returns the text about a request that is barred.
@param standing - why it is barred.
*/
export function barredTextOf(standing: BarredStanding): string {
	return 'part' in standing ? barredPartText : barredContentText;
}

/** Decides which requests may be sent, by the server crashes recorded for their content. */
export class Quarantine implements Disposable {
	static create(options: QuarantineOptions): Quarantine {
		return new Quarantine(options);
	}

	private readonly record = CrashRecord.create(crashesToBar);
	/** Head digests of all contents that were ever suspect on this host; any other request is clear without reading its body. */
	private headDigests = new Set<string>();
	/** Contents of calls whose connection was lost, by the id of the suspect server. */
	private readonly suspectContents = new Map<string, Set<string>>();
	private readonly didObserve = Emitter.create<ContentCrashes>();
	private readonly didBar = Emitter.create<string>();
	private readonly didServerCrash = Emitter.create<string>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: QuarantineOptions) {
		const {crashDetector} = options;
		this.disposables.add(crashDetector.onDidCrash(serverId => {
			this.handleServerCrash(serverId);
		}));
		this.disposables.add(crashDetector.onDidConclude(serverId => {
			this.suspectContents.delete(serverId);
		}));
	}

	/** Fires with what this host has observed itself, for its peers. */
	get onDidObserve() {
		return this.didObserve.event;
	}

	/** Fires with the id of a server process that crashed, as observed by this host or a peer. */
	get onDidServerCrash() {
		return this.didServerCrash.event;
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
		const barred = this.options.parts.barredPartOf(source.sharedParts ?? []);
		if (barred) {
			return {type: 'barred', ...barred};
		}

		if (!this.mayBeRecorded(source)) {
			return clearStanding;
		}

		return this.standingOfContent(contentIdOf(source));
	}

	/**
	Determines how a piece of a request may be sent.
	@param contentId - the content id of the request.
	*/
	handlingOf(contentId: string): PieceHandling {
		if (this.headDigests.size === 0 || !this.headDigests.has(headOfContentId(contentId))) {
			return pieceHandlings.none;
		}

		const {type} = this.standingOfContent(contentId);
		if (type !== 'clear') {
			return type === 'barred' ? pieceHandlings.barred : pieceHandlings.wait;
		}

		return this.record.crashCountOf(contentId, this.options.clock.nowMs()) >= crashesToIsolate ? pieceHandlings.alone : pieceHandlings.none;
	}

	/**
	Called when a request is about to be sent. If it was barred, this is its trial request, and it is barred again on all hosts until
	the outcome is known.
	@param source - the request.
	*/
	sent(source: ContentSource): void {
		this.options.parts.sent(source.sharedParts ?? []);
		if (this.mayBeRecorded(source)) {
			const {clock, log} = this.options;
			const contentId = contentIdOf(source);
			const update = this.record.recordTrial(contentId, clock.nowMs());
			if (update) {
				log.warn(quarantineLogMessages.trial, {content: contentId, trial: update.trials?.count});
				this.didObserve.fire(update);
			}
		}
	}

	/**
	Called when the connection of a call was lost before its response was complete, although this host did not cancel the call.
	@param contentId - the content id of its request.
	@param server - the server that ran it.
	@param requestId - the caller's id of this attempt.
	@param prompt - the parts that its prompt shares with others and when it was sent; absent for a call without a prompt.
	*/
	connectionLost(contentId: string, server: UpstreamServer, requestId: string, {parts, sentMs}: SentPrompt = noPrompt): void {
		if (this.options.crashDetector.connectionLost(server)) {
			this.options.log.info(quarantineLogMessages.connectionLost, {
				request: requestId, content: contentId, promptParts: parts.length > 0 ? parts.join(' ') : undefined, server: server.serverId,
			});
			this.options.parts.connectionLost(server.serverId, parts, sentMs);
			this.addHeadDigest(contentId);
			const contents = this.suspectContents.get(server.serverId) ?? new Set();
			contents.add(contentId);
			this.suspectContents.set(server.serverId, contents);
		}
	}

	/**
	Called when a request got a complete response: it did not cause the crashes recorded for its content, which no longer count.
	@param source - the request.
	@param response - properties of the response on which it depends what it proves.
	*/
	completed(source: ContentSource, {server, sentMs, isSuccess, endsWithConnection}: CompletedResponse): void {
		const {parts} = this.options;
		if (isSuccess && endsWithConnection) {
			parts.completedWithConnection(source.sharedParts ?? [], server, sentMs);
		} else if (isSuccess) {
			parts.completed(source.sharedParts ?? []);
		}

		if (!this.mayBeRecorded(source)) {
			return;
		}

		const contentId = contentIdOf(source);
		for (const contents of this.suspectContents.values()) {
			contents.delete(contentId);
		}

		const cleared = this.record.crashedServersOf(contentId, this.options.clock.nowMs());
		if (cleared.length > 0) {
			this.observe({contentId, ends: [], cleared}, 'this host');
		}
	}

	/**
	Merges what a peer reports.
	@param known - the crashes of some contents.
	@param hostId - id of the peer, for the log.
	*/
	handlePeerReport(known: readonly ContentCrashes[], hostId: string): void {
		for (const item of known) {
			this.merge(item, hostId);
		}
	}

	/** Lists all recorded contents, for a host that may not know them. */
	all(): ContentCrashes[] {
		return this.record.all(this.options.clock.nowMs());
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private standingOfContent(contentId: string): Standing {
		const nowMs = this.options.clock.nowMs();
		const forMs = this.record.barredUntilMs(contentId, nowMs) - nowMs;
		if (forMs > 0) {
			return {type: 'barred', forMs, contentId};
		}

		const unconfirmed = this.unconfirmedCrashCount(contentId);
		const mayBeBarred = unconfirmed > 0 && this.record.crashCountOf(contentId, nowMs) + unconfirmed >= crashesToBar;
		return mayBeBarred ? {type: 'inDoubt'} : clearStanding;
	}

	/** Cheap check on the head of a request. It is true for few requests, and only their bodies are hashed. */
	private mayBeRecorded(source: ContentSource): boolean {
		return this.headDigests.size > 0 && this.headDigests.has(headDigestOf(source));
	}

	/** Counts the suspect servers of a content whose address is being checked: crashes that may be confirmed shortly. */
	private unconfirmedCrashCount(contentId: string): number {
		return [...this.suspectContents].filter(([serverId, contents]) => contents.has(contentId) && this.options.crashDetector.isBeingChecked(serverId)).length;
	}

	private addHeadDigest(contentId: string): void {
		if (this.headDigests.size >= maxHeadDigests) {
			const needed = [...this.record.contentIds, ...[...this.suspectContents.values()].flatMap(contents => [...contents])];
			this.headDigests = new Set(needed.map(item => headOfContentId(item)));
		}

		this.headDigests.add(headOfContentId(contentId));
	}

	private handleServerCrash(serverId: string): void {
		for (const contentId of this.suspectContents.get(serverId) ?? []) {
			this.observe({contentId, ends: [{serverId, ageMs: 0}], cleared: []}, 'this host');
		}
	}

	private observe(known: ContentCrashes, source: string): void {
		const update = this.merge(known, source);
		if (update) {
			this.didObserve.fire(update);
		}
	}

	private merge(known: ContentCrashes, source: string): ContentCrashes | undefined {
		const {clock, log, metrics} = this.options;
		const {contentId} = known;
		const nowMs = clock.nowMs();
		const countBefore = this.record.crashCountOf(contentId, nowMs);
		const update = this.record.merge(known, nowMs);
		if (!update) {
			return undefined;
		}

		this.addHeadDigest(contentId);
		const count = this.record.crashCountOf(contentId, nowMs);
		for (const {serverId} of update.ends) {
			log.info(quarantineLogMessages.serverCrashed, {
				content: contentId, server: serverId, ends: count, source,
			});
			this.didServerCrash.fire(serverId);
		}

		if (count >= crashesToBar && countBefore < crashesToBar) {
			const servers = this.record.crashedServersOf(contentId, nowMs);
			log.warn(quarantineLogMessages.barred, {content: contentId, servers: servers.join(' '), source});
			metrics.increment('quarantine.barred', 1);
			this.didBar.fire(contentId);
		} else if (count < crashesToBar && countBefore >= crashesToBar) {
			log.warn(quarantineLogMessages.lifted, {content: contentId, source});
			metrics.increment('quarantine.lifted', 1);
		}

		return update;
	}
}

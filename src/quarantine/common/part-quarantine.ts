/**
Quarantine for parts of prompts that crash the servers that run requests with them, whatever else these requests hold.

Requests that share the part have nothing else in common, so their contents are never seen twice. At a crash each shared part of the
requests that ran on the server is suspect; a request that completes clears all of its parts on all hosts. Parts of sound requests are
cleared soon, and what remains after several crashes is the cause, or occurs only together with it. A barred part is tried with one
request of all hosts, in which no other part is barred: soon at first, because a part may be barred wrongly, and after a failed trial at
increasing intervals.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {CrashDetector} from './crash-detector.js';
import {PartRecord, type PartCrashes} from './part-record.js';
import {quarantineLogMessages} from './quarantine-log-messages.js';

/** Minimum retry delay given to callers of a request that is refused for a part. */
const minRetryAfterMs = 250;
/** How long a server must outlive a response that ended with its connection; a process that crashes ends its connections in the same way. */
const unframedConfirmationMs = 300;

export const partQuarantineToken: InjectionToken<PartQuarantine> = Symbol('PartQuarantine');

/** A part for which requests are refused, and for how long. */
export type BarredPart = {readonly part: string; readonly forMs: number};

/** Dependencies of the quarantine of parts. */
export type PartQuarantineOptions = {
	readonly crashDetector: Pick<CrashDetector, 'connectionLost' | 'onDidCrash' | 'onDidConclude'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Decides which requests may be sent, by the server crashes recorded for the parts of their prompts. */
export class PartQuarantine implements Disposable {
	static create(options: PartQuarantineOptions): PartQuarantine {
		return new PartQuarantine(options);
	}

	private readonly record = PartRecord.create();
	/** Parts of calls whose connection was lost, by the id of the suspect server, with the time of the last send. */
	private readonly suspects = new Map<string, Map<string, number>>();
	/** Parts that were reported as barred. */
	private readonly barred = new Set<string>();
	private readonly timers = new Map<string, Disposable>();
	private readonly didObserve = Emitter.create<PartCrashes>();
	private readonly didBar = Emitter.create<string>();
	private readonly disposables = DisposableStore.create();

	private constructor(private readonly options: PartQuarantineOptions) {
		const {crashDetector} = options;
		this.disposables.add(crashDetector.onDidCrash(serverId => {
			this.handleServerCrash(serverId);
		}));
		this.disposables.add(crashDetector.onDidConclude(serverId => {
			this.suspects.delete(serverId);
		}));
	}

	/** Fires with what this host has observed itself, for its peers. */
	get onDidObserve() {
		return this.didObserve.event;
	}

	/** Fires with the key of a part when it becomes barred. */
	get onDidBar() {
		return this.didBar.event;
	}

	/**
	Returns the part for which a request must not be sent now.
	@param parts - keys of the parts that the request's prompt shares with others.
	@returns undefined if the request may be sent, as a trial request if a part of it is barred.
	*/
	barredPartOf(parts: readonly string[]): BarredPart | undefined {
		if (this.record.size === 0) {
			return undefined;
		}

		const nowMs = this.options.clock.nowMs();
		const bars = parts.flatMap(part => {
			const bar = this.record.barOf(part, nowMs);
			return bar ? [{part, ...bar}] : [];
		});
		const waits = bars.map(({part, aloneMs, jointMs}) => ({part, forMs: (bars.length === 1 ? aloneMs : jointMs) - nowMs}));
		const [longest] = waits.toSorted((left, right) => right.forMs - left.forMs);
		return longest && longest.forMs > 0 ? {part: longest.part, forMs: Math.max(minRetryAfterMs, longest.forMs)} : undefined;
	}

	/**
	Called when a request is about to be sent. If parts of it are barred, it is their trial request.
	@param parts - keys of its shared parts.
	*/
	sent(parts: readonly string[]): void {
		if (this.record.size === 0) {
			return;
		}

		const nowMs = this.options.clock.nowMs();
		for (const part of parts.filter(each => this.record.barOf(each, nowMs) !== undefined)) {
			const update = this.record.recordTrial(part, nowMs);
			if (update) {
				this.options.log.warn(quarantineLogMessages.partTrial, {promptPart: part, trial: update.trials?.count});
				this.didObserve.fire(update);
			}
		}
	}

	/**
	Called when the connection of a call was lost and its server may have crashed.
	@param serverId - the server process.
	@param parts - keys of the shared parts of its request.
	@param sentMs - when the call was sent.
	*/
	connectionLost(serverId: string, parts: readonly string[], sentMs: number): void {
		if (parts.length === 0) {
			return;
		}

		const suspects = this.suspects.get(serverId) ?? new Map<string, number>();
		for (const part of parts) {
			suspects.set(part, Math.max(sentMs, suspects.get(part) ?? -Infinity));
		}

		this.suspects.set(serverId, suspects);
	}

	/**
	Called when a request got a complete response that reports a success: none of its parts caused the crashes recorded for them.
	@param parts - keys of its shared parts.
	*/
	completed(parts: readonly string[]): void {
		if (this.record.size === 0) {
			return;
		}

		const nowMs = this.options.clock.nowMs();
		for (const part of parts) {
			const cleared = this.record.crashedServersOf(part, nowMs);
			const update = cleared.length > 0 ? this.merge({part, crashes: [], cleared}, 'this host') : undefined;
			if (update) {
				this.didObserve.fire(update);
			}
		}
	}

	/**
	Called when a response ended with its connection: it counts as complete if its server is still there a little later.
	@param parts - keys of the shared parts of its request.
	@param server - the server.
	@param sentMs - when the call was sent.
	*/
	completedWithConnection(parts: readonly string[], server: UpstreamServer, sentMs: number): void {
		const {crashDetector, clock} = this.options;
		if (parts.length === 0 || !crashDetector.connectionLost(server)) {
			this.completed(parts);
			return;
		}

		const {serverId} = server;
		this.connectionLost(serverId, parts, sentMs);
		const timer = this.disposables.add(clock.setTimer(unframedConfirmationMs, () => {
			this.disposables.release(timer);
			const hasCrashed = parts.some(part => this.record.crashedServersOf(part, clock.nowMs()).includes(serverId));
			if (!hasCrashed) {
				for (const part of parts) {
					this.suspects.get(serverId)?.delete(part);
				}

				this.completed(parts);
			}
		}));
	}

	/**
	Merges what a peer reports.
	@param known - the crashes of some parts.
	@param hostId - id of the peer, for the log.
	*/
	handlePeerReport(known: readonly PartCrashes[], hostId: string): void {
		for (const item of known) {
			this.merge(item, hostId);
		}
	}

	/** Lists all recorded parts, for a host that may not know them. */
	all(): PartCrashes[] {
		return this.record.all(this.options.clock.nowMs());
	}

	dispose(): void {
		this.disposables.dispose();
		for (const timer of this.timers.values()) {
			timer.dispose();
		}
	}

	private handleServerCrash(serverId: string): void {
		const nowMs = this.options.clock.nowMs();
		for (const [part, sentMs] of this.suspects.get(serverId) ?? []) {
			const update = this.merge({part, crashes: [{serverId, ageMs: 0, sentAgeMs: nowMs - sentMs}], cleared: []}, 'this host');
			if (update) {
				this.didObserve.fire(update);
			}
		}
	}

	private merge(known: PartCrashes, source: string): PartCrashes | undefined {
		const {clock, log} = this.options;
		const nowMs = clock.nowMs();
		const update = this.record.merge(known, nowMs);
		const {part} = known;
		for (const {serverId} of update?.crashes ?? []) {
			log.info(quarantineLogMessages.partCrashed, {
				promptPart: part, server: serverId, ends: this.record.crashedServersOf(part, nowMs).length, source,
			});
		}

		if (update) {
			this.updateBar(part, source);
		}

		return update;
	}

	/** Reports that a part is barred, or no longer. */
	private updateBar(part: string, source: string): void {
		const {clock, log, metrics} = this.options;
		const nowMs = clock.nowMs();
		const barredFromMs = this.record.barredFromMs(part, nowMs);
		if (barredFromMs === undefined) {
			this.timers.get(part)?.dispose();
			this.timers.delete(part);
			if (this.barred.delete(part)) {
				log.warn(quarantineLogMessages.partLifted, {promptPart: part, source});
				metrics.increment('quarantine.partsLifted', 1);
			}
		} else if (nowMs >= barredFromMs) {
			if (!this.barred.has(part)) {
				this.barred.add(part);
				log.warn(quarantineLogMessages.partBarred, {promptPart: part, servers: this.record.crashedServersOf(part, nowMs).join(' '), source});
				metrics.increment('quarantine.partsBarred', 1);
				this.didBar.fire(part);
			}
		} else if (!this.timers.has(part)) {
			this.timers.set(part, clock.setTimer(barredFromMs - nowMs, () => {
				this.timers.delete(part);
				this.updateBar(part, source);
			}));
		}
	}
}

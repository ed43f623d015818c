/** Notifies the upstreams of one pool of results that are no longer needed. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {ResultRef} from '../common/work.js';

/** Time for which releases are collected before they are sent: far less than the time for which results are stored. */
const collectMs = 30;
/** Delay before releases that could not be sent are tried again, for example because nothing may be sent to their upstream for now. */
const retryMs = 250;

/** Dependencies and settings. */
export type ResultReleasesOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'acceptsNewWork'>;
	/** Returns how long upstreams store results that are not released. */
	readonly resultTtlMs: () => number;
	/** Whether a release may be sent to an upstream now. */
	readonly maySend: (server: UpstreamServer) => boolean;
	/** Sends a release. */
	readonly send: (server: UpstreamServer, handles: readonly string[]) => Promise<void>;
	/** Called when results are gone with their upstream. */
	readonly onUpstreamGone: (serverId: string, handles: readonly string[]) => void;
	readonly clock: Clock;
};

type PendingRelease = {readonly handles: string[]; readonly sinceMs: number};

/** Collects releases by upstream. */
export class ResultReleases implements Disposable {
	static create(options: ResultReleasesOptions): ResultReleases {
		return new ResultReleases(options);
	}

	private readonly pending = new Map<string, PendingRelease>();
	private timer: Disposable | undefined;

	private constructor(private readonly options: ResultReleasesOptions) {}

	/**
	Queues results for release.
	@param refs - the results.
	*/
	add(refs: readonly ResultRef[]): void {
		for (const {serverId, handle} of refs) {
			this.pendingFor(serverId).handles.push(handle);
		}

		this.scheduleSend(collectMs);
	}

	dispose(): void {
		this.timer?.dispose();
	}

	private pendingFor(serverId: string): PendingRelease {
		let release = this.pending.get(serverId);
		if (!release) {
			release = {handles: [], sinceMs: this.options.clock.nowMs()};
			this.pending.set(serverId, release);
		}

		return release;
	}

	private scheduleSend(delayMs: number): void {
		this.timer ??= this.options.clock.setTimer(delayMs, () => {
			this.timer = undefined;
			try {
				this.sendAll();
			} finally {
				if (this.pending.size > 0) {
					this.scheduleSend(retryMs);
				}
			}
		});
	}

	private sendAll(): void {
		const {registry, onUpstreamGone, maySend, send} = this.options;
		// Iterates over a copy: releases that can't be sent are queued again during the loop, and are left for the next time.
		const due = [...this.pending];
		for (const [serverId, {handles, sinceMs}] of due) {
			const server = registry.get(serverId);
			if (server && registry.acceptsNewWork(server) && !maySend(server) && !this.isExpired(sinceMs)) {
				continue;
			}

			this.pending.delete(serverId);
			if (!server) {
				onUpstreamGone(serverId, handles);
			} else if (registry.acceptsNewWork(server) && maySend(server)) {
				detach('release of results', send(server, handles));
			}
		}
	}

	/**
	Whether the upstream has dropped the results itself because their retention time has passed. This happens where releases
	can't be sent: to an upstream that is leaving, in a drained data hall or behind a rate limit.
	*/
	private isExpired(sinceMs: number): boolean {
		return this.options.clock.nowMs() - sinceMs >= this.options.resultTtlMs();
	}
}

/** Notifies the upstreams of one pool of results that are no longer needed. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {ResultRef} from '../common/work.js';

/** Time for which releases are collected before they are sent: far less than the time for which results are stored. */
const gatherMs = 30;
/** The same for releases that could not be sent, as when their upstream may receive nothing just now. */
const againMs = 250;

/** Dependencies and settings. */
export type ResultReleasesOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'takesNew'>;
	/** Returns how long upstreams store results that are not released. */
	readonly resultTtlMs: () => number;
	/** Whether a release may be sent to an upstream now. */
	readonly mayGet: (server: UpstreamServer) => boolean;
	/** Sends a release. */
	readonly send: (server: UpstreamServer, handles: readonly string[]) => Promise<void>;
	/** Called when results are gone with their upstream. */
	readonly gone: (serverId: string, handles: readonly string[]) => void;
	readonly clock: Clock;
};

type Gathered = {readonly handles: string[]; readonly sinceMs: number};

/** Collects releases by upstream. */
export class ResultReleases implements Disposable {
	static create(options: ResultReleasesOptions): ResultReleases {
		return new ResultReleases(options);
	}

	private readonly gathered = new Map<string, Gathered>();
	private timer: Disposable | undefined;

	private constructor(private readonly options: ResultReleasesOptions) {}

	/**
	Queues results for release.
	@param refs - the results.
	*/
	add(refs: readonly ResultRef[]): void {
		for (const {serverId, handle} of refs) {
			this.of(serverId).handles.push(handle);
		}

		this.sendIn(gatherMs);
	}

	dispose(): void {
		this.timer?.dispose();
	}

	private of(serverId: string): Gathered {
		let gathered = this.gathered.get(serverId);
		if (!gathered) {
			gathered = {handles: [], sinceMs: this.options.clock.nowMs()};
			this.gathered.set(serverId, gathered);
		}

		return gathered;
	}

	private sendIn(delayMs: number): void {
		this.timer ??= this.options.clock.setTimer(delayMs, () => {
			this.timer = undefined;
			this.sendAll();
		});
	}

	private sendAll(): void {
		const {registry, gone, mayGet, send} = this.options;
		// Releases that can't be sent are queued again during the loop, and are left for the next time.
		const due = [...this.gathered];
		for (const [serverId, {handles, sinceMs}] of due) {
			const server = registry.get(serverId);
			if (server && registry.takesNew(server) && !mayGet(server) && !this.isOver(sinceMs)) {
				continue;
			}

			this.gathered.delete(serverId);
			if (!server) {
				gone(serverId, handles);
			} else if (registry.takesNew(server) && mayGet(server)) {
				void send(server, handles);
			}
		}

		if (this.gathered.size > 0) {
			this.sendIn(againMs);
		}
	}

	/**
	Whether the upstream has dropped the results itself because their retention time has passed. This happens where releases
	can't be sent: to an upstream that is leaving, in a drained data hall or behind a rate limit.
	*/
	private isOver(sinceMs: number): boolean {
		return this.options.clock.nowMs() - sinceMs >= this.options.resultTtlMs();
	}
}

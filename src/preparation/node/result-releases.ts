/** Tells the upstreams of one pool which results are no longer needed. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {ResultRef} from '../common/work.js';

/** How long releases are gathered before they are sent: far below the time results are kept. */
const gatherMs = 30;
/** The same for those that could not be sent, as their upstream may get nothing just now. */
const againMs = 250;

/** What releases are made of. */
export type ResultReleasesOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'acceptsNewWork'>;
	/** How long upstreams keep results that nobody releases. */
	readonly resultTtlMs: () => number;
	/** Whether a release may go to an upstream now. */
	readonly mayGet: (server: UpstreamServer) => boolean;
	/** Sends a release. */
	readonly send: (server: UpstreamServer, handles: readonly string[]) => Promise<void>;
	/** Results are gone with their upstream. */
	readonly gone: (serverId: string, handles: readonly string[]) => void;
	readonly clock: Clock;
};

type Gathered = {readonly handles: string[]; readonly sinceMs: number};

/** Gathers releases by upstream. */
export class ResultReleases implements Disposable {
	static create(options: ResultReleasesOptions): ResultReleases {
		return new ResultReleases(options);
	}

	private readonly gathered = new Map<string, Gathered>();
	private timer: Disposable | undefined;

	private constructor(private readonly options: ResultReleasesOptions) {}

	/**
	Results are no longer needed.
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
		// What can't be sent is gathered again meanwhile, and is for the next time.
		const due = [...this.gathered];
		for (const [serverId, {handles, sinceMs}] of due) {
			const server = registry.get(serverId);
			if (server && registry.acceptsNewWork(server) && !mayGet(server) && !this.isOver(sinceMs)) {
				continue;
			}

			this.gathered.delete(serverId);
			if (!server) {
				gone(serverId, handles);
			} else if (registry.acceptsNewWork(server) && mayGet(server)) {
				void send(server, handles);
			}
		}

		if (this.gathered.size > 0) {
			this.sendIn(againMs);
		}
	}

	/** Whether the upstream has dropped the results itself, as one that leaves, in a drained hall or behind a limit does. */
	private isOver(sinceMs: number): boolean {
		return this.options.clock.nowMs() - sinceMs >= this.options.resultTtlMs();
	}
}

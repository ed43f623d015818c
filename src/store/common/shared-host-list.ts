/** The host list read once for all parts of a process. */
import type {Clock} from '../../base/common/clock.js';
import type {Outcome} from '../../base/common/outcome.js';
import type {HostList, HostListFailure, ListedHost} from './host-list.js';

/** How long an answer is shared; a little less than the shortest time between two reads of one part. */
const listCacheMs = 600;

/** Shares each answer for a short while. */
export class SharedHostList implements HostList {
	static create(source: HostList, clock: Clock): SharedHostList {
		return new SharedHostList(source, clock);
	}

	private lastResult: Promise<Outcome<ListedHost[], HostListFailure>> | undefined;
	private lastReadMs = -Infinity;

	private constructor(private readonly source: HostList, private readonly clock: Clock) {}

	async list(): Promise<Outcome<ListedHost[], HostListFailure>> {
		const nowMs = this.clock.nowMs();
		if (!this.lastResult || nowMs - this.lastReadMs >= listCacheMs) {
			this.lastResult = this.source.list();
			this.lastReadMs = nowMs;
		}

		return this.lastResult;
	}
}

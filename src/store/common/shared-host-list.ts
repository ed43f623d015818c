/** Shares one read of the host list among all components of a process. */
import type {Clock} from '../../base/common/clock.js';
import type {Outcome} from '../../base/common/outcome.js';
import type {HostList, HostListFailure, ListedHost} from './host-list.js';

/**
Time in milliseconds for which a result is shared; slightly less than the shortest interval between two reads by one
component, so that each of its reads gets a new result.
*/
const listCacheMs = 600;

/** A host list that caches each result of its source for a short time. */
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

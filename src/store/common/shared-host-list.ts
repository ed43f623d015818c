/** The host list read once for all parts of a process. */
import type {Clock} from '../../base/common/clock.js';
import type {Outcome} from '../../base/common/outcome.js';
import type {HostList, HostListFailure, ListedHost} from './host-list.js';

/** How long an answer is shared; a little less than the shortest time between two reads of one part. */
const lifeMs = 600;

/** Shares each answer for a short while. */
export class SharedHostList implements HostList {
	static create(source: HostList, clock: Clock): SharedHostList {
		return new SharedHostList(source, clock);
	}

	private last: Promise<Outcome<ListedHost[], HostListFailure>> | undefined;
	private lastMs = -Infinity;

	private constructor(private readonly source: HostList, private readonly clock: Clock) {}

	async list(): Promise<Outcome<ListedHost[], HostListFailure>> {
		const nowMs = this.clock.nowMs();
		if (!this.last || nowMs - this.lastMs >= lifeMs) {
			this.last = this.source.list();
			this.lastMs = nowMs;
		}

		return this.last;
	}
}

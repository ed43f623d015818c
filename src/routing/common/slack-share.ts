/**
Determines this host's part of the repeats that a bound allows all hosts together regardless of their requests.

The parts of all hosts must add up to no more than the whole, although hosts start again, are partitioned from each other or join, and no
host can tell from a lost connection whether the other still serves. A part therefore depends on all hosts that are known, connected or
not, and on the seeds that were never reached. A host that does not know the others yet, or none although it has seeds, has no part: it
can't tell how many there are. A host that has just started has none either, because its former process may have used it within the window.
*/
import {hashText} from '../../base/common/hash.js';
import type {FleetView} from './fleet-view.js';

/** Number of values of `hashText`. */
const hashRange = 2 ** 32;

/** Dependencies. */
export type SlackShareOptions = {
	/** Returns the hosts that share the bound, as known at the given time. */
	readonly viewOf: (nowMs: number) => FleetView;
	/** When this process started. */
	readonly startedMs: number;
	/** Whether the whole deployment started for the first time, so that no process before this one can have used the part. */
	readonly isFirstStart: boolean;
};

/** Computes the part of this host. */
export class SlackShare {
	static create(options: SlackShareOptions): SlackShare {
		return new SlackShare(options);
	}

	private constructor(private readonly options: SlackShareOptions) {}

	/**
	Returns from when on the part may be used.
	@param windowMs - length of the window to which the bound applies.
	*/
	usableFromMs(windowMs: number): number {
		return this.options.isFirstStart ? -Infinity : this.options.startedMs + windowMs;
	}

	/**
	Returns the part of this host.
	@param pool - the pool to which the bound applies.
	@param slack - repeats allowed for all hosts together.
	@param nowMs - the current time.
	@returns a number of repeats; undefined while the other hosts are not known. A fraction of a repeat can't be sent, so each host adds a fixed fraction that differs between hosts:
	on average as much is gained as is lost by rounding down, also with more hosts than repeats.
	*/
	partOf(pool: string, slack: number, nowMs: number): number | undefined {
		const {viewOf, isFirstStart} = this.options;
		const {ownName, hosts, isSettled, unseenSeedCount} = viewOf(nowMs);
		if ((!isSettled && !isFirstStart) || (hosts.length === 1 && unseenSeedCount > 0)) {
			return undefined;
		}

		const rounding = hosts.length === 1 ? 0 : hashText(`${pool}\n${ownName}`) / hashRange;
		return (slack / (hosts.length + unseenSeedCount)) + rounding;
	}
}

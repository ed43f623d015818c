/**
Tracks which hosts a deployment has, as known to one host: those it has been connected to, and those that they have been connected to. A
host behind a network partition keeps counting the others: even without a connection to them it may use only its own part of what all
hosts share.
*/

import {parseEndpoint} from '../../wire/common/endpoint.js';
import type {FleetView} from '../../routing/common/fleet-view.js';

/** A host to which no host was connected for this long is forgotten: longer than any partition that is tolerated, but shorter than the outage of a failed machine. */
const hostRetentionMs = 600_000;
/** A host that has started knows all others this long after it connected to the first, even if all start at once. */
const discoveryMs = 2000;
/**
A host to which a seed was not reported yet may be partitioned from part of the deployment. After this long the seed is assumed to be gone:
tolerated partitions are shorter, and a seed may be listed in outdated settings.
*/
const missingSeedTimeoutMs = 30_000;

/** Tracks the hosts by the endpoints where they listen for their peers. */
export class FleetTracker {
	/**
	Creates a tracker that knows no other host.
	@param ownEndpoint - where this host listens.
	@param nowMs - the current time.
	*/
	static create(ownEndpoint: string, nowMs: number): FleetTracker {
		return new FleetTracker(ownEndpoint, nowMs);
	}

	private readonly lastSeenMs = new Map<string, number>();
	/** All hosts in sorted order; cleared when another host is added or forgotten. */
	private sortedHosts: readonly string[] | undefined;
	/** When another host was first recorded. */
	private firstSeenMs: number | undefined;

	private constructor(private readonly ownEndpoint: string, private readonly startMs: number) {}

	/**
	Records hosts that are connected, or were reported by one that is.
	@param endpoints - where they listen.
	@param nowMs - the current time.
	*/
	recordSeen(endpoints: Iterable<string>, nowMs: number): void {
		const {size} = this.lastSeenMs;
		for (const endpoint of endpoints) {
			if (endpoint !== this.ownEndpoint && (this.lastSeenMs.has(endpoint) || parseEndpoint(endpoint))) {
				this.lastSeenMs.set(endpoint, nowMs);
				this.firstSeenMs ??= nowMs;
			}
		}

		if (this.lastSeenMs.size > size) {
			this.sortedHosts = undefined;
		}
	}

	/**
	Returns the hosts as they are known.
	@param seeds - where others may listen, according to the settings.
	@param nowMs - the current time.
	*/
	view(seeds: readonly string[], nowMs: number): FleetView {
		this.forgetUnseen(nowMs);
		const unseenSeedCount = seeds.filter(seed => seed !== this.ownEndpoint && !this.lastSeenMs.has(seed)).length;
		const areSeedsKnown = nowMs - this.startMs >= missingSeedTimeoutMs || unseenSeedCount === 0;
		const isSettled = areSeedsKnown && (this.firstSeenMs === undefined || nowMs - this.firstSeenMs >= discoveryMs);
		this.sortedHosts ??= [this.ownEndpoint, ...this.lastSeenMs.keys()].toSorted();
		return {
			ownName: this.ownEndpoint, hosts: this.sortedHosts, isSettled, unseenSeedCount,
		};
	}

	private forgetUnseen(nowMs: number): void {
		for (const [endpoint, seenMs] of this.lastSeenMs) {
			if (nowMs - seenMs > hostRetentionMs) {
				this.lastSeenMs.delete(endpoint);
				this.sortedHosts = undefined;
			}
		}
	}
}

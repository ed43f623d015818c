/**
Tracks which hosts a deployment has, as known to one host: those it has been connected to, and those that they have been connected to. A
host behind a network partition keeps the others, since what all hosts share does not become its own just because it sees no other host.
*/

import {parseEndpoint} from '../../wire/common/endpoint.js';
import type {FleetView} from '../../routing/common/fleet-view.js';

/** A host that nobody has seen for this long is forgotten: longer than any partition that is tolerated, shorter than a machine is missing. */
const rememberMs = 600_000;
/** A host that has started knows all others this long after it connected to the first, even if all start at once. */
const settleMs = 2000;
/**
A host to which a seed was not reported yet may be partitioned from part of the deployment. After this long the seed is assumed to be gone:
tolerated partitions are shorter, and a seed may be named by outdated settings.
*/
const goneSeedMs = 30_000;

/** Tracks the hosts by the endpoints where they listen for their peers. */
export class FleetMemory {
	/**
	Creates a tracker that knows no other host.
	@param ownEndpoint - where this host listens.
	@param nowMs - the current time.
	*/
	static create(own: string, nowMs: number): FleetMemory {
		return new FleetMemory(own, nowMs);
	}

	private readonly seenMs = new Map<string, number>();
	/** All hosts in sorted order; cleared when another host is added or forgotten. */
	private hosts: readonly string[] | undefined;
	/** When another host was first recorded. */
	private metMs: number | undefined;

	private constructor(private readonly own: string, private readonly startMs: number) {}

	/**
	Records hosts that are connected, or were reported by one that is.
	@param endpoints - where they listen.
	@param nowMs - the current time.
	*/
	seen(endpoints: Iterable<string>, nowMs: number): void {
		const {size} = this.seenMs;
		for (const endpoint of endpoints) {
			if (endpoint !== this.own && (this.seenMs.has(endpoint) || parseEndpoint(endpoint))) {
				this.seenMs.set(endpoint, nowMs);
				this.metMs ??= nowMs;
			}
		}

		if (this.seenMs.size > size) {
			this.hosts = undefined;
		}
	}

	/**
	Returns the hosts as they are known.
	@param seeds - where others may listen, according to the settings.
	@param nowMs - the current time.
	*/
	view(seeds: readonly string[], nowMs: number): FleetView {
		this.forgetUnseen(nowMs);
		const hasHeardOfSeeds = nowMs - this.startMs >= goneSeedMs || seeds.every(seed => seed === this.own || this.seenMs.has(seed));
		const isSettled = hasHeardOfSeeds && (this.metMs === undefined || nowMs - this.metMs >= settleMs);
		this.hosts ??= [this.own, ...this.seenMs.keys()].toSorted();
		return {own: this.own, hosts: this.hosts, isSettled};
	}

	private forgetUnseen(nowMs: number): void {
		for (const [endpoint, seenMs] of this.seenMs) {
			if (nowMs - seenMs > rememberMs) {
				this.seenMs.delete(endpoint);
				this.hosts = undefined;
			}
		}
	}
}

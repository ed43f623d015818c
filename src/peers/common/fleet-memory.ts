/**
Which hosts a deployment has, as one host remembers: those it has met, and those that they have met. A host that is cut off
goes on remembering the others, since what all hosts share is not its own just because it sees nobody.
*/

import {parseEndpoint} from '../../wire/common/endpoint.js';
import type {FleetView} from '../../routing/common/fleet-view.js';

/** A host that nobody has seen for this long is forgotten: longer than any cut that is borne, shorter than a machine is missed. */
const rememberMs = 600_000;
/** A host that has started knows all others this long after it met the first, also where all start at once. */
const settleMs = 2000;
/**
A host that has not heard of a seed yet may be cut off from part of the deployment. After this long the seed is taken for gone:
cuts are borne for less, and a seed may be named by settings that are out of date.
*/
const goneSeedMs = 30_000;

/** Remembers the hosts by where they listen for their peers. */
export class FleetMemory {
	/**
	Makes one that knows of no other host.
	@param own - where this host listens.
	@param nowMs - the time.
	*/
	static create(own: string, nowMs: number): FleetMemory {
		return new FleetMemory(own, nowMs);
	}

	private readonly seenMs = new Map<string, number>();
	/** All hosts in order; absent since another came or was forgotten. */
	private hosts: readonly string[] | undefined;
	/** When another host was first met. */
	private metMs: number | undefined;

	private constructor(private readonly own: string, private readonly startMs: number) {}

	/**
	Hosts were met, or told of by one that was.
	@param endpoints - where they listen.
	@param nowMs - the time.
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
	Gives the hosts as they are remembered.
	@param seeds - where others may listen, as the settings tell.
	@param nowMs - the time.
	*/
	view(seeds: readonly string[], nowMs: number): FleetView {
		this.forgetUnseen(nowMs);
		const hasHeardOfSeeds = nowMs - this.startMs >= goneSeedMs || seeds.every(seed => seed === this.own || this.seenMs.has(seed));
		const isSettled = hasHeardOfSeeds && (this.metMs === undefined || nowMs - this.metMs >= settleMs);
		this.hosts ??= [this.own, ...this.seenMs.keys()].toSorted();
		return {ownName: this.own, hosts: this.hosts, isSettled};
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

/**
How many requests this host may send to a cold upstream: one that has just started, or has lost what makes it fast, and
falls over above a rate that its pool declares.

The bound holds over all hosts together, whoever is cut off or has just started, and an idle upstream looks best to all of them
at once. So each cold upstream has a few senders, the same on every host, chosen by rendezvous hashing; each of them may send an
equal part, and nobody else sends anything. Weighed against a fixed part for every host: of 18 requests a second and 31 hosts that is
less than one a second each, which either leaves the upstream idle or breaks the bound when all send at once. Weighed against parts
lent among the hosts that meet: needs messages at the moment at which links fail.

Half of the bound is used. The other half is for hosts that do not know the same hosts: senders that the others have
forgotten, and those that took their place. Requests also arrive closer together than they were sent.
*/
import type {FleetView} from './fleet-view.js';
import {rendezvousOrder} from './rendezvous.js';

/** Bounds on what a cold upstream gets within a second, as the deployment's settings give them. */
export type ColdBounds = {
	/** Requests allowed for each that the upstream bears. */
	readonly excess: number;
	/** Requests allowed besides. */
	readonly tolerance: number;
};

/** What is to be sent to a cold upstream. */
export type ColdWork = {
	/** Whether it is of the best rank. */
	readonly isUrgent: boolean;
};

/** Part of the bound that the senders use together. */
const usedShare = 0.5;
/** Hosts that send to one cold upstream: two may be lost at once, and a part of a usual bound is still several requests. */
const mostSenders = 3;
const windowMs = 1000;

/** Follows this host's sends to cold upstreams. */
export class ColdShare {
	/**
	Makes one that has sent nothing.
	@param bounds - for all hosts together; nothing is bounded where absent.
	@param viewOf - gives the hosts that share the bounds, as known at a time.
	*/
	static create(bounds: ColdBounds | undefined, viewOf: (nowMs: number) => FleetView): ColdShare {
		return new ColdShare(bounds, viewOf);
	}

	/** Whether what cold upstreams get is bounded at all. */
	get isBounded(): boolean {
		return this.bounds !== undefined;
	}

	/** Times of this host's sends of the last second, by upstream. */
	private readonly sentMs = new Map<string, number[]>();
	/** This host's places among the senders of each upstream, for the hosts known now. */
	private readonly senders = new Map<string, readonly string[]>();
	private hosts: readonly string[] = [];

	private constructor(private readonly bounds: ColdBounds | undefined, private readonly viewOf: (nowMs: number) => FleetView) {}

	/**
	Tells how many requests this host may still send to a cold upstream now.
	@param upstreamId - the upstream.
	@param bearsPerS - requests a second that it bears, as its pool declares.
	@param work - what would be sent: one send of several is kept for the most urgent work.
	@param nowMs - the time.
	*/
	left(upstreamId: string, bearsPerS: number, {isUrgent}: ColdWork, nowMs: number): number {
		if (!this.bounds) {
			return Infinity;
		}

		const part = this.partOf(upstreamId, bearsPerS, this.bounds, nowMs);
		const kept = isUrgent || part === 1 ? 0 : 1;
		return Math.max(0, part - kept - this.recentOf(upstreamId, nowMs).length);
	}

	/**
	Something was sent to a cold upstream.
	@param upstreamId - the upstream.
	@param nowMs - the time.
	*/
	sent(upstreamId: string, nowMs: number): void {
		this.sentMs.set(upstreamId, [...this.recentOf(upstreamId, nowMs), nowMs]);
	}

	/**
	An upstream is gone.
	@param upstreamId - the upstream.
	*/
	forget(upstreamId: string): void {
		this.sentMs.delete(upstreamId);
		this.senders.delete(upstreamId);
	}

	/** What this host may send within a second. */
	private partOf(upstreamId: string, bearsPerS: number, {excess, tolerance}: ColdBounds, nowMs: number): number {
		const {own, hosts, isSettled} = this.viewOf(nowMs);
		const usedPerS = Math.max(1, Math.floor(usedShare * ((bearsPerS * excess) + tolerance)));
		const senderCount = Math.min(mostSenders, hosts.length, usedPerS);
		const isSender = isSettled && this.sendersOf(upstreamId, hosts).slice(0, senderCount).includes(own);
		return isSender ? Math.floor(usedPerS / senderCount) : 0;
	}

	private sendersOf(upstreamId: string, hosts: readonly string[]): readonly string[] {
		if (hosts !== this.hosts) {
			this.hosts = hosts;
			this.senders.clear();
		}

		let senders = this.senders.get(upstreamId);
		if (!senders) {
			senders = rendezvousOrder(upstreamId, hosts, host => host).slice(0, mostSenders);
			this.senders.set(upstreamId, senders);
		}

		return senders;
	}

	private recentOf(upstreamId: string, nowMs: number): number[] {
		return (this.sentMs.get(upstreamId) ?? []).filter(atMs => nowMs - atMs < windowMs);
	}
}

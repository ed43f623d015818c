/**
How many requests this host may send to an upstream whose rate is bounded over all hosts: one that is cold and falls over above a rate
that its pool declares, or one that names a limit itself.

The bound holds over all hosts together, whoever is cut off or has just started, and an upstream that gets little looks best to all of
them at once. So each such upstream has a few senders, the same on every host, chosen by rendezvous hashing; each of them may send
an equal part, and nobody else sends anything. Weighed against a fixed part for every host: of 18 requests a second and 31 hosts that
is less than one a second each, which either leaves the upstream idle or breaks the bound when all send at once. Weighed against parts
lent among the hosts that meet: needs messages at the moment at which links fail. A bound that gives many hosts a few requests each has as
many senders: a host can only send what its own callers ask for.
*/
import type {FleetView} from './fleet-view.js';
import type {RateBound} from './rate-bound.js';
import {rendezvousRank} from './rendezvous.js';

/** What is to be sent to a bounded upstream. */
export type BoundedWork = {
	/** Whether it is of the best rank. */
	readonly isUrgent: boolean;
	/** Whether this host alone sends work of this kind, as the one that batches a pool for all: the whole bound is its part. */
	readonly isSoleSender: boolean;
};

/** Senders of one upstream at least, as far as its bound has a request for each: two may be lost at once. */
const fewestSenders = 3;
/** Requests within a window for each sender, where the bound has as many: its callers come in no order. */
const usualPart = 3;
/** One request of several is kept for the most urgent work while there was any of late. */
const urgentMs = 10_000;
/** Sends are remembered for the longest window. */
const rememberMs = 10_000;

/** Follows this host's sends to bounded upstreams. */
export class SendShare {
	/**
	Makes one that has sent nothing.
	@param viewOf - gives the hosts that share the bounds, as known at a time.
	*/
	static create(viewOf: (nowMs: number) => FleetView): SendShare {
		return new SendShare(viewOf);
	}

	/** Times of this host's sends of late, by upstream. */
	private readonly sentMs = new Map<string, number[]>();
	/** When urgent work was last to be sent, by upstream. */
	private readonly urgentMs = new Map<string, number>();
	/** This host's place in the order of senders of each upstream, for the hosts known now. */
	private readonly ranks = new Map<string, number>();
	private hosts: readonly string[] = [];

	private constructor(private readonly viewOf: (nowMs: number) => FleetView) {}

	/**
	Tells how many requests this host may still send to a bounded upstream now.
	@param upstreamId - the upstream.
	@param bound - over all hosts.
	@param work - what would be sent.
	@param nowMs - the time.
	*/
	left(upstreamId: string, bound: RateBound, work: BoundedWork, nowMs: number): number {
		if (work.isUrgent) {
			this.urgentMs.set(upstreamId, nowMs);
		}

		const part = this.partOf(upstreamId, bound, work, nowMs);
		const isKept = !work.isUrgent && part > 1 && nowMs - (this.urgentMs.get(upstreamId) ?? -Infinity) < urgentMs;
		return Math.max(0, part - (isKept ? 1 : 0) - this.recentOf(upstreamId, bound.windowMs, nowMs).length);
	}

	/**
	Tells when this host may send again to an upstream to which it may send nothing more now.
	@param upstreamId - the upstream.
	@param bound - over all hosts.
	@param nowMs - the time.
	@returns nothing where its part is none.
	*/
	nextInMs(upstreamId: string, bound: RateBound, nowMs: number): number | undefined {
		const oldestMs = this.recentOf(upstreamId, bound.windowMs, nowMs).at(0);
		return oldestMs === undefined ? undefined : oldestMs + bound.windowMs - nowMs;
	}

	/**
	Something was sent to a bounded upstream.
	@param upstreamId - the upstream.
	@param nowMs - the time.
	*/
	sent(upstreamId: string, nowMs: number): void {
		this.sentMs.set(upstreamId, [...this.recentOf(upstreamId, rememberMs, nowMs), nowMs]);
	}

	/**
	Tells how long ago this host sent something to an upstream while it was bounded.
	@param upstreamId - the upstream.
	@param nowMs - the time.
	*/
	sinceSentMs(upstreamId: string, nowMs: number): number {
		return nowMs - (this.sentMs.get(upstreamId)?.at(-1) ?? -Infinity);
	}

	/**
	Tells this host's place in the order in which hosts are senders of an upstream; the first is 0.
	@param upstreamId - the upstream.
	@param nowMs - the time.
	*/
	rankOf(upstreamId: string, nowMs: number): number {
		const {own, hosts} = this.viewOf(nowMs);
		if (hosts !== this.hosts) {
			this.hosts = hosts;
			this.ranks.clear();
		}

		let rank = this.ranks.get(upstreamId);
		if (rank === undefined) {
			rank = rendezvousRank(upstreamId, own, hosts);
			this.ranks.set(upstreamId, rank);
		}

		return rank;
	}

	/**
	An upstream is gone.
	@param upstreamId - the upstream.
	*/
	forget(upstreamId: string): void {
		this.sentMs.delete(upstreamId);
		this.urgentMs.delete(upstreamId);
		this.ranks.delete(upstreamId);
	}

	/** What this host may send within a window. */
	private partOf(upstreamId: string, {most}: RateBound, {isSoleSender}: BoundedWork, nowMs: number): number {
		const {hosts, isSettled} = this.viewOf(nowMs);
		if (!isSettled) {
			return 0;
		}

		if (isSoleSender) {
			return most;
		}

		const senderCount = Math.min(hosts.length, most, Math.max(fewestSenders, Math.floor(most / usualPart)));
		return this.rankOf(upstreamId, nowMs) < senderCount ? Math.floor(most / senderCount) : 0;
	}

	private recentOf(upstreamId: string, withinMs: number, nowMs: number): number[] {
		return (this.sentMs.get(upstreamId) ?? []).filter(atMs => nowMs - atMs < withinMs);
	}
}

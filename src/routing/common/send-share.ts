/**
How many requests this host may send to an upstream whose rate is bounded over all hosts: one that is cold and falls over above a rate
that its pool declares, or one that names a limit itself.

The bound holds over all hosts together, whoever is cut off or has just started, and an upstream that gets little looks best to all of
them at once. So each such upstream has a few senders, the same on every host, chosen by rendezvous hashing. Each of them may send an equal
part (the first ones one more, where it does not come out even), and nobody else sends anything. A host can only send what its own callers
ask for, so that a bound that has a request for each of many hosts has many senders.

Weighed against a fixed part for every host: of 18 requests a second and 31 hosts that is less than one a second each, which either leaves
the upstream idle or breaks the bound when all send at once. Weighed against parts lent among the hosts that meet: needs messages at the
moment at which links fail.
*/
import type {FleetView} from './fleet-view.js';
import type {RateBound} from './rate-bound.js';
import {rendezvousRank} from './rendezvous.js';

/** What is to be sent to a bounded upstream. */
export type BoundedWork = {
	/** Whether this host alone sends work of this kind, as the one that batches a pool for all: the whole bound is its part. */
	readonly isSoleSender: boolean;
};

/** Senders of one upstream at least, as far as its bound has a request for each: two may be lost at once. */
const fewestSenders = 3;
/**
Requests within a window for each sender, where the bound has as many. Callers come in no order, so that a sender of what is sent at once has
several; where sends are spread over the window, more senders come closer to what the callers of each ask for.
*/
const usualPart = 3;
const usualPacedPart = 1;
/** Parts of a window over which the sends of a paced bound are spread. */
const paceParts = 4;
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
		const part = this.partOf(upstreamId, bound, work, nowMs);
		if (part === 0) {
			return 0;
		}

		const left = part - this.countRecent(upstreamId, bound.windowMs, nowMs);
		const pace = paceOf(part, bound);
		return Math.max(0, Math.min(left, pace.most - this.countRecent(upstreamId, pace.withinMs, nowMs)));
	}

	/**
	Tells when this host may send again to an upstream to which it may send nothing more now.
	@param upstreamId - the upstream.
	@param bound - over all hosts.
	@param work - what would be sent.
	@param nowMs - the time.
	@returns nothing where its part is none.
	*/
	nextInMs(upstreamId: string, bound: RateBound, work: BoundedWork, nowMs: number): number | undefined {
		const part = this.partOf(upstreamId, bound, work, nowMs);
		if (part === 0) {
			return undefined;
		}

		const {most, withinMs} = paceOf(part, bound);
		return Math.max(this.roomInMs(upstreamId, part, bound.windowMs, nowMs), this.roomInMs(upstreamId, most, withinMs, nowMs));
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
		return this.rankAmong(upstreamId, this.viewOf(nowMs));
	}

	/**
	An upstream is gone.
	@param upstreamId - the upstream.
	*/
	forget(upstreamId: string): void {
		this.sentMs.delete(upstreamId);
		this.ranks.delete(upstreamId);
	}

	private rankAmong(upstreamId: string, {own, hosts}: FleetView): number {
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

	/** What this host may send within a window. */
	private partOf(upstreamId: string, {most, isPaced}: RateBound, {isSoleSender}: BoundedWork, nowMs: number): number {
		const view = this.viewOf(nowMs);
		const {hosts, isSettled} = view;
		if (!isSettled) {
			return 0;
		}

		if (isSoleSender) {
			return most;
		}

		const senderCount = Math.min(hosts.length, most, Math.max(fewestSenders, Math.floor(most / (isPaced ? usualPacedPart : usualPart))));
		const rank = this.rankAmong(upstreamId, view);
		const isAmongFirst = rank < most % senderCount;
		return rank < senderCount ? Math.floor(most / senderCount) + (isAmongFirst ? 1 : 0) : 0;
	}

	/** How long until fewer than so many sends lie within a span. */
	private roomInMs(upstreamId: string, most: number, withinMs: number, nowMs: number): number {
		const atMs = this.recentOf(upstreamId, withinMs, nowMs).at(-most);
		return atMs === undefined ? 0 : atMs + withinMs - nowMs;
	}

	private countRecent(upstreamId: string, withinMs: number, nowMs: number): number {
		return this.recentOf(upstreamId, withinMs, nowMs).length;
	}

	private recentOf(upstreamId: string, withinMs: number, nowMs: number): number[] {
		return (this.sentMs.get(upstreamId) ?? []).filter(atMs => nowMs - atMs < withinMs);
	}
}

/** How many sends of a part may come together: one and one of few, a quarter of many within a quarter of the window. */
function paceOf(part: number, {windowMs, isPaced}: RateBound): {readonly most: number; readonly withinMs: number} {
	if (!isPaced) {
		return {most: part, withinMs: windowMs};
	}

	return part < paceParts ? {most: 1, withinMs: windowMs / part} : {most: Math.ceil(part / paceParts), withinMs: windowMs / paceParts};
}

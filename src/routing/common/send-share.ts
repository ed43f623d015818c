/**
Determines how many requests this host may send to an upstream whose rate is bounded for all hosts together: a cold upstream, which fails
above a rate that its pool declares, or an upstream that announces a limit.

The bound must hold for all hosts together, even if some are partitioned or have just started. An upstream with little load is the best
choice for all hosts at once, so independent decisions would exceed the bound. Each bounded upstream therefore has a few senders, chosen
by rendezvous hashing so that all hosts agree on them. Each sender may send an equal quota (the first ones one request more if the bound
is not divisible), and the other hosts send nothing. A host can only send what its own callers request, so a bound with at least one
request for each of many hosts is given many senders.

Alternatives considered: a fixed quota for every host gives less than one request per second each for 18 requests per second and 31 hosts,
which either leaves the upstream idle or breaks the bound when all send at once. Quotas lent between connected hosts need messages
at the moment at which links fail.
*/
import type {FleetView} from './fleet-view.js';
import type {RateBound} from './rate-bound.js';
import {rendezvousRank} from './rendezvous.js';

/** The kind of work to send to a bounded upstream. */
export type BoundedWork = {
	/** Whether only this host sends work of this kind, because it batches a pool for all hosts. Its quota is then the whole bound. */
	readonly isSoleSender: boolean;
};

/** Minimum number of senders of an upstream, if its bound has a request for each of them: two senders may fail at once. */
const minSenders = 3;
/**
Target number of requests per sender and window, if the bound allows that many. Requests of callers arrive at random, so a sender of an unpaced
bound gets several requests. With a paced bound, more senders with one request each match the demand of each host's callers better.
*/
const requestsPerSender = 3;
const pacedRequestsPerSender = 1;
/** Number of intervals in a window over which the sends of a paced bound are spread. */
const paceIntervals = 4;
/** How long sends are remembered; must cover the longest window. */
const sendRetentionMs = 10_000;

/** Tracks this host's sends to bounded upstreams and computes its quotas. */
export class SendShare {
	/**
	Creates an instance without recorded sends.
	@param viewOf - returns the hosts that share the bounds, as known at the given time.
	*/
	static create(viewOf: (nowMs: number) => FleetView): SendShare {
		return new SendShare(viewOf);
	}

	/** Times of this host's recent sends, by upstream. */
	private readonly sendTimesMs = new Map<string, number[]>();
	/** Cached rank of this host in the sender order of each upstream, valid for the current `hosts`. */
	private readonly ranks = new Map<string, number>();
	private hosts: readonly string[] = [];

	private constructor(private readonly viewOf: (nowMs: number) => FleetView) {}

	/**
	Computes how many requests this host may still send to a bounded upstream now.
	@param upstreamId - the id of the upstream.
	@param bound - the bound on all hosts together.
	@param work - the kind of work to send.
	@param nowMs - the current time.
	*/
	remaining(upstreamId: string, bound: RateBound, work: BoundedWork, nowMs: number): number {
		const quota = this.quotaOf(upstreamId, bound, work, nowMs);
		if (quota === 0) {
			return 0;
		}

		const remaining = quota - this.countRecent(upstreamId, bound.windowMs, nowMs);
		const pace = paceOf(quota, bound);
		return Math.max(0, Math.min(remaining, pace.maxSends - this.countRecent(upstreamId, pace.spanMs, nowMs)));
	}

	/**
	Computes when this host may send again to a bounded upstream whose quota is used up.
	@param upstreamId - the id of the upstream.
	@param bound - the bound on all hosts together.
	@param work - the kind of work to send.
	@param nowMs - the current time.
	@returns the time to wait in milliseconds, or undefined if this host has no quota.
	*/
	nextSendInMs(upstreamId: string, bound: RateBound, work: BoundedWork, nowMs: number): number | undefined {
		const quota = this.quotaOf(upstreamId, bound, work, nowMs);
		if (quota === 0) {
			return undefined;
		}

		const {maxSends, spanMs} = paceOf(quota, bound);
		return Math.max(this.availableInMs(upstreamId, quota, bound.windowMs, nowMs), this.availableInMs(upstreamId, maxSends, spanMs, nowMs));
	}

	/**
	Records a send to a bounded upstream.
	@param upstreamId - the id of the upstream.
	@param nowMs - the current time.
	*/
	sent(upstreamId: string, nowMs: number): void {
		this.sendTimesMs.set(upstreamId, [...this.recentSends(upstreamId, sendRetentionMs, nowMs), nowMs]);
	}

	/**
	Computes how long ago this host last sent to an upstream while it was bounded.
	@param upstreamId - the id of the upstream.
	@param nowMs - the current time.
	@returns the time in milliseconds; Infinity if no send is recorded.
	*/
	sinceLastSendMs(upstreamId: string, nowMs: number): number {
		return nowMs - (this.sendTimesMs.get(upstreamId)?.at(-1) ?? -Infinity);
	}

	/**
	Computes this host's rank in the sender order of an upstream; the first sender has rank 0.
	@param upstreamId - the id of the upstream.
	@param nowMs - the current time.
	*/
	rankOf(upstreamId: string, nowMs: number): number {
		return this.rankAmong(upstreamId, this.viewOf(nowMs));
	}

	/**
	Removes the state of an upstream that no longer exists.
	@param upstreamId - the id of the upstream.
	*/
	forget(upstreamId: string): void {
		this.sendTimesMs.delete(upstreamId);
		this.ranks.delete(upstreamId);
	}

	private rankAmong(upstreamId: string, {ownName, hosts}: FleetView): number {
		if (hosts !== this.hosts) {
			this.hosts = hosts;
			this.ranks.clear();
		}

		let rank = this.ranks.get(upstreamId);
		if (rank === undefined) {
			rank = rendezvousRank(upstreamId, ownName, hosts);
			this.ranks.set(upstreamId, rank);
		}

		return rank;
	}

	/** The number of requests that this host may send within a window. */
	private quotaOf(upstreamId: string, {maxRequests, isPaced}: RateBound, {isSoleSender}: BoundedWork, nowMs: number): number {
		const view = this.viewOf(nowMs);
		const {hosts, isSettled} = view;
		if (!isSettled) {
			return 0;
		}

		if (isSoleSender) {
			return maxRequests;
		}

		const senderCount = Math.min(hosts.length, maxRequests, Math.max(minSenders, Math.floor(maxRequests / (isPaced ? pacedRequestsPerSender : requestsPerSender))));
		const rank = this.rankAmong(upstreamId, view);
		const isAmongFirst = rank < maxRequests % senderCount;
		return rank < senderCount ? Math.floor(maxRequests / senderCount) + (isAmongFirst ? 1 : 0) : 0;
	}

	/** Time until fewer than the given number of sends lie within a time span. */
	private availableInMs(upstreamId: string, maxSends: number, spanMs: number, nowMs: number): number {
		const atMs = this.recentSends(upstreamId, spanMs, nowMs).at(-maxSends);
		return atMs === undefined ? 0 : atMs + spanMs - nowMs;
	}

	private countRecent(upstreamId: string, spanMs: number, nowMs: number): number {
		return this.recentSends(upstreamId, spanMs, nowMs).length;
	}

	private recentSends(upstreamId: string, spanMs: number, nowMs: number): number[] {
		return (this.sendTimesMs.get(upstreamId) ?? []).filter(atMs => nowMs - atMs < spanMs);
	}
}

/** Maximum number of sends in a shorter span. Small quotas are sent one at a time at even intervals; of larger ones, a quarter may be sent within a quarter of the window. */
function paceOf(quota: number, {windowMs, isPaced}: RateBound): {readonly maxSends: number; readonly spanMs: number} {
	if (!isPaced) {
		return {maxSends: quota, spanMs: windowMs};
	}

	return quota < paceIntervals ? {maxSends: 1, spanMs: windowMs / quota} : {maxSends: Math.ceil(quota / paceIntervals), spanMs: windowMs / paceIntervals};
}

/** The upstreams of one batched pool: the state of each, which ones are healthy, and their combined capacity. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Allowance} from '../../routing/common/send-bounds.js';
import type {BatchCall} from './batch-call.js';
import {BatchUpstream} from './batch-upstream.js';
import type {EndedResult} from './result-space.js';
import {fullCallMs} from './throughput.js';

/**
An upstream slower than the typical one by this factor gets work only if the others can't take everything. The declared
duration is only a first estimate, so the comparison is with the other upstreams: where all are slow, none is worse than
the others, and refusing work that they can do would have no benefit.
*/
const slowFactor = 1.7;
const secondMs = 1000;

/** Returns how much may be sent to an upstream now, out of what all hosts together may send to it. */
export type AllowanceSource = (server: UpstreamServer, nowMs: number) => Allowance;

/** Returns the slowness that an upstream reported recently, as a ratio to its usual duration, or undefined. */
export type ReportedSource = (serverId: string, nowMs: number) => number | undefined;

/** Tracks the upstreams of a pool. */
export class PoolUpstreams {
	/**
	Creates an instance without any state of upstreams.
	@param allowanceOf - returns how much may be sent to each upstream.
	@param reportedOf - returns the slowness that an upstream reports; by default none does.
	*/
	static create(allowanceOf: AllowanceSource, reportedOf: ReportedSource = () => undefined): PoolUpstreams {
		return new PoolUpstreams(allowanceOf, reportedOf);
	}

	private readonly byId = new Map<string, BatchUpstream>();

	private constructor(private readonly allowanceOf: AllowanceSource, private readonly reportedOf: ReportedSource) {}

	/** Number of calls in progress. */
	get callCount(): number {
		return [...this.byId.values()].filter(({call}) => call).length;
	}

	/**
	Returns the state of an upstream.
	@param server - the upstream.
	*/
	of({serverId}: UpstreamServer): BatchUpstream {
		let upstream = this.byId.get(serverId);
		if (!upstream) {
			upstream = BatchUpstream.create(nowMs => this.reportedOf(serverId, nowMs));
			this.byId.set(serverId, upstream);
		}

		return upstream;
	}

	/**
	Frees the space of results that are no longer needed or are lost.
	@param serverId - the upstream that stores them.
	@param handles - handles of the results.
	@param nowMs - the current time.
	@returns those of the results that were known.
	*/
	freeResults(serverId: string, handles: readonly string[], nowMs: number): EndedResult[] {
		const upstream = this.byId.get(serverId);
		return handles.map(handle => upstream?.space.free(handle, nowMs)).filter(result => result !== undefined);
	}

	/**
	Removes the state of upstreams that are gone and have no call in progress.
	@param isKnown - whether an upstream is still listed.
	*/
	sweep(isKnown: (serverId: string) => boolean): void {
		for (const [serverId, {call}] of this.byId) {
			if (!call && !isKnown(serverId)) {
				this.byId.delete(serverId);
			}
		}
	}

	/**
	Returns the space used by results at an upstream, in bytes, as far as this host knows.
	@param serverId - the upstream.
	@param nowMs - the current time.
	*/
	usedBytesAt(serverId: string, nowMs: number): number {
		return this.byId.get(serverId)?.space.usedBytes(nowMs) ?? 0;
	}

	/**
	Returns the space used by results at all upstreams, in bytes.
	@param nowMs - the current time.
	*/
	usedBytes(nowMs: number): number {
		let usedBytes = 0;
		for (const {space} of this.byId.values()) {
			usedBytes += space.usedBytes(nowMs);
		}

		return usedBytes;
	}

	/**
	Whether an upstream may be sent another call now.
	@param server - the upstream.
	@param nowMs - the current time.
	*/
	isAllowed(server: UpstreamServer, nowMs: number): boolean {
		return this.allowanceOf(server, nowMs).remaining > 0;
	}

	/**
	Whether an upstream has no call in progress, may be sent one, and has space for another result as large as those that it stores.
	@param server - the upstream.
	@param roomBytes - space of the upstream, as declared.
	@param nowMs - the current time.
	*/
	hasCapacity(server: UpstreamServer, roomBytes: number, nowMs: number): boolean {
		const {call, space} = this.of(server);
		return call === undefined && this.isAllowed(server, nowMs) && space.freeBytes(roomBytes, nowMs) >= space.largestBytes;
	}

	/** Calls in progress. */
	get calls(): BatchCall[] {
		return [...this.byId.values()].map(({call}) => call).filter(call => call !== undefined);
	}

	/**
	Returns the upstreams that neither fail nor are far slower than the others.
	@param servers - upstreams that accept work.
	@param nowMs - the current time.
	*/
	healthyOf(servers: readonly UpstreamServer[], nowMs: number): UpstreamServer[] {
		const maxSlowness = slowFactor * Math.max(1, this.typicalSlowness(servers, nowMs));
		return servers.filter(server => !this.of(server).isAvoided(nowMs) && this.of(server).slownessAt(nowMs) <= maxSlowness);
	}

	/**
	Returns the capacity of upstreams as a number of upstreams that run as declared: a slow one, or one whose rate is
	limited, counts as a fraction, and one that reports to be faster than usual as more than one.
	@param servers - the upstreams.
	@param capacity - declared capacity of each upstream.
	@param nowMs - the current time.
	*/
	effectiveCount(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): number {
		const callMs = fullCallMs(capacity);
		let count = 0;
		for (const server of servers) {
			count += Math.min(this.of(server).speedAt(nowMs), this.allowanceOf(server, nowMs).perS * callMs / secondMs);
		}

		return count;
	}

	/**
	Returns the ratio of actual to declared call duration of the median upstream; of two upstreams, that of the faster one.
	@param servers - upstreams that accept work.
	@param nowMs - the current time.
	@returns the ratio; 1 if all upstreams fail.
	*/
	typicalSlowness(servers: readonly UpstreamServer[], nowMs: number): number {
		const slowness = servers.map(server => this.of(server)).filter(upstream => !upstream.isAvoided(nowMs))
			.map(upstream => upstream.slownessAt(nowMs)).toSorted((left, right) => left - right);
		return slowness[Math.floor((slowness.length - 1) / 2)] ?? 1;
	}
}

/** The upstreams of one batched pool: what is known of each, which of them are sound, and how much they are worth together. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {Allowance} from '../../routing/common/send-bounds.js';
import {BatchUpstream} from './batch-upstream.js';
import {fullCallMs} from './throughput.js';

/**
An upstream that is this many times slower than its neighbours gets work only when the others can't take all. What is declared is a first
guess: where all are slow, none is worse than the others, and refusing what they can do helps nobody.
*/
const slowFactor = 1.7;
const secondMs = 1000;

/** Tells what may go to an upstream now, of what all hosts together may send it. */
export type AllowanceSource = (server: UpstreamServer, nowMs: number) => Allowance;

/** Follows the upstreams of a pool. */
export class PoolUpstreams {
	/**
	Makes one that knows nothing of any upstream.
	@param allowanceOf - tells what may go to each.
	*/
	static create(allowanceOf: AllowanceSource): PoolUpstreams {
		return new PoolUpstreams(allowanceOf);
	}

	private readonly byId = new Map<string, BatchUpstream>();

	private constructor(private readonly allowanceOf: AllowanceSource) {}

	/** Calls at work. */
	get callCount(): number {
		return [...this.byId.values()].filter(({call}) => call).length;
	}

	/**
	Gives what is known of an upstream.
	@param server - the upstream.
	*/
	of({serverId}: UpstreamServer): BatchUpstream {
		let upstream = this.byId.get(serverId);
		if (!upstream) {
			upstream = BatchUpstream.create();
			this.byId.set(serverId, upstream);
		}

		return upstream;
	}

	/**
	Results are no longer needed, or are lost.
	@param serverId - where they are.
	@param handles - their names.
	*/
	released(serverId: string, handles: readonly string[]): void {
		const upstream = this.byId.get(serverId);
		for (const handle of handles) {
			upstream?.room.free(handle);
		}
	}

	/**
	Forgets upstreams that are gone and have no call at work.
	@param isKnown - tells whether an upstream is still listed.
	*/
	sweep(isKnown: (serverId: string) => boolean): void {
		for (const [serverId, {call}] of this.byId) {
			if (!call && !isKnown(serverId)) {
				this.byId.delete(serverId);
			}
		}
	}

	/**
	Tells how much room of an upstream is taken, as far as is known here.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	keptAt(serverId: string, nowMs: number): number {
		return this.byId.get(serverId)?.room.takenBytes(nowMs) ?? 0;
	}

	/**
	Tells how much room of all upstreams is taken.
	@param nowMs - the time.
	*/
	keptBytes(nowMs: number): number {
		let keptBytes = 0;
		for (const {room} of this.byId.values()) {
			keptBytes += room.takenBytes(nowMs);
		}

		return keptBytes;
	}

	/**
	Tells whether an upstream may get one more call now.
	@param server - the upstream.
	@param nowMs - the time.
	*/
	isOpen(server: UpstreamServer, nowMs: number): boolean {
		return this.allowanceOf(server, nowMs).left > 0;
	}

	/**
	Gives the upstreams that neither fail nor are far slower than the others.
	@param servers - upstreams that may get work.
	@param nowMs - the time.
	*/
	soundOf(servers: readonly UpstreamServer[], nowMs: number): UpstreamServer[] {
		const mostSlowness = slowFactor * Math.max(1, this.usualSlowness(servers, nowMs));
		return servers.filter(server => !this.of(server).isAvoided(nowMs) && this.of(server).slownessAt(nowMs) <= mostSlowness);
	}

	/**
	Tells how many upstreams as declared some are worth: one that is slow is a part of one, as is one whose rate is bounded.
	@param servers - the upstreams.
	@param capacity - of each.
	@param nowMs - the time.
	*/
	countAtWork(servers: readonly UpstreamServer[], capacity: BatchCapacity, nowMs: number): number {
		const callMs = fullCallMs(capacity);
		let count = 0;
		for (const server of servers) {
			const bySpeed = 1 / Math.max(1, this.of(server).slownessAt(nowMs));
			count += Math.min(bySpeed, this.allowanceOf(server, nowMs).perS * callMs / secondMs);
		}

		return count;
	}

	/**
	Tells how many times longer than declared the calls of a pool take, by its middle upstream; the faster one of two.
	@param servers - upstreams that may get work.
	@param nowMs - the time.
	@returns 1 where all fail.
	*/
	usualSlowness(servers: readonly UpstreamServer[], nowMs: number): number {
		const slowness = servers.map(server => this.of(server)).filter(upstream => !upstream.isAvoided(nowMs))
			.map(upstream => upstream.slownessAt(nowMs)).toSorted((left, right) => left - right);
		return slowness[Math.floor((slowness.length - 1) / 2)] ?? 1;
	}
}

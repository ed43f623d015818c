/** Which upstreams of a pool may get something now, and what callers are told where none may: all are cold, or stand in drained halls. */
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {StagePlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {Candidate} from '../../routing/common/chooser.js';
import type {ColdShare} from '../../routing/common/cold-share.js';

/** A drain lasts for seconds at least; callers heed up to a third of the time they have left, some 2 s. */
const drainedRetryAfterMs = 2000;
/** Bounds of the time after which a caller that cold upstreams could not serve comes back: most are warm by then. */
const shortestRetryAfterMs = 300;
const longestRetryAfterMs = 2500;

/** What decides. */
export type PoolAvailabilityOptions = {
	readonly registry: Pick<ServerRegistry, 'coldLeftMs' | 'usable' | 'isPoolDrained'>;
	/** This host's part of what cold upstreams bear. */
	readonly share: ColdShare;
	/** Gives what a cold upstream of a pool bears a second. */
	readonly bearsPerS: (pool: string) => number;
};

/** Knows what may be sent where, and follows what this host sends to cold upstreams. */
export class PoolAvailability {
	static create(options: PoolAvailabilityOptions): PoolAvailability {
		return new PoolAvailability(options);
	}

	private constructor(private readonly options: PoolAvailabilityOptions) {}

	/**
	Leaves out cold upstreams. Warm ones are enough as long as there are any, and a cold one is the slower choice; where all are
	cold, those are left that may get something from this host nevertheless.
	@param candidates - upstreams of the stage's pool.
	@param stage - what is to be sent.
	@param nowMs - the time.
	*/
	withoutCold(candidates: readonly Candidate[], stage: StagePlan, nowMs: number): readonly Candidate[] {
		if (!this.options.share.isBounded) {
			return candidates;
		}

		const warm = candidates.filter(({upstreamId}) => this.leftMs(upstreamId, nowMs) === 0);
		return warm.length > 0 ? warm : candidates.filter(({upstreamId}) => this.bearsMore(upstreamId, stage, nowMs));
	}

	/**
	Tells why requests that need certain pools can't be served for now, whatever they are.
	@param pools - their names.
	@returns nothing where each pool has upstreams that may get work, or that may be there in a moment.
	*/
	ofPools(pools: readonly string[]): Unavailability | undefined {
		const drained = pools.find(pool => this.options.registry.isPoolDrained(pool));
		return drained === undefined
			? undefined
			: {
				message: `all upstreams of ${drained} stand in data halls that are being drained`, retryAfterMs: drainedRetryAfterMs,
			};
	}

	/**
	Tells why a stage can't be sent for now.
	@param stage - what is to be sent.
	@param nowMs - the time.
	@returns nothing where an upstream may get it, or may be there in a moment.
	*/
	ofStage(stage: StagePlan, nowMs: number): Unavailability | undefined {
		return this.ofPools([stage.pool]) ?? this.ofCold(stage, nowMs);
	}

	/**
	Something was sent to an upstream, cold or not.
	@param serverId - the upstream.
	@param nowMs - the time.
	*/
	sent(serverId: string, nowMs: number): void {
		if (this.leftMs(serverId, nowMs) > 0) {
			this.options.share.sent(serverId, nowMs);
		}
	}

	/** An upstream is gone. */
	forget(serverId: string): void {
		this.options.share.forget(serverId);
	}

	/** Until when a pool is cold as a whole and bears no more from this host. */
	private ofCold(stage: StagePlan, nowMs: number): Unavailability | undefined {
		const {pool} = stage;
		const upstreams = this.options.registry.usable(pool);
		const leftMs = upstreams.map(({serverId}) => this.leftMs(serverId, nowMs));
		const mayBeSent = upstreams.some(({serverId}, index) => leftMs[index] === 0 || this.bearsMore(serverId, stage, nowMs));
		return upstreams.length === 0 || mayBeSent
			? undefined
			: {
				message: `all upstreams of ${pool} are cold and bear no more for now`,
				retryAfterMs: Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, Math.min(...leftMs))),
			};
	}

	private leftMs(serverId: string, nowMs: number): number {
		return this.options.registry.coldLeftMs(serverId, nowMs);
	}

	private bearsMore(serverId: string, {pool, rank = 0}: StagePlan, nowMs: number): boolean {
		const {share, bearsPerS} = this.options;
		return share.left(serverId, bearsPerS(pool), {isUrgent: rank === 0}, nowMs) > 0;
	}
}

/** Which upstreams may be chosen while some are cold, and what callers are told where a pool is cold as a whole. */
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {StagePlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {Candidate} from '../../routing/common/chooser.js';
import type {ColdShare} from '../../routing/common/cold-share.js';

/** Bounds of the time after which a caller that cold upstreams could not serve comes back: most are warm by then. */
const shortestRetryAfterMs = 300;
const longestRetryAfterMs = 2500;

/** What decides. */
export type ColdUpstreamsOptions = {
	readonly registry: Pick<ServerRegistry, 'coldLeftMs' | 'usable'>;
	/** This host's part of what cold upstreams bear. */
	readonly share: ColdShare;
	/** Gives what a cold upstream of a pool bears a second. */
	readonly bearsPerS: (pool: string) => number;
};

/** Follows what this host sends to cold upstreams. */
export class ColdUpstreams {
	static create(options: ColdUpstreamsOptions): ColdUpstreams {
		return new ColdUpstreams(options);
	}

	private constructor(private readonly options: ColdUpstreamsOptions) {}

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
	Tells until when a pool is cold as a whole and bears no more from this host.
	@param stage - what is to be sent.
	@param nowMs - the time.
	@returns nothing where an upstream may get it.
	*/
	unavailability(stage: StagePlan, nowMs: number): Unavailability | undefined {
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

	private leftMs(serverId: string, nowMs: number): number {
		return this.options.registry.coldLeftMs(serverId, nowMs);
	}

	private bearsMore(serverId: string, {pool, rank = 0}: StagePlan, nowMs: number): boolean {
		const {share, bearsPerS} = this.options;
		// One send is kept for the most urgent work.
		const reserve = rank > 0 ? 1 : 0;
		return share.left(serverId, bearsPerS(pool), nowMs) > reserve;
	}
}

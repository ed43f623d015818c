/** Which upstreams of a pool may get something now, and what callers are told where none may: all are cold, limited, or stand in drained halls. */
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {StagePlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {Candidate} from '../../routing/common/chooser.js';
import type {BoundedServer, SendBounds} from '../../routing/common/send-bounds.js';
import type {BoundedWork} from '../../routing/common/send-share.js';

/** A drain lasts for seconds at least; callers heed up to a third of the time they have left, some 2 s. */
const drainedRetryAfterMs = 2000;

/** What decides. */
export type PoolAvailabilityOptions = {
	readonly registry: Pick<ServerRegistry, 'usable' | 'isPoolDrained'>;
	readonly bounds: SendBounds;
};

/** Knows what may be sent where. */
export class PoolAvailability {
	static create(options: PoolAvailabilityOptions): PoolAvailability {
		return new PoolAvailability(options);
	}

	private constructor(private readonly options: PoolAvailabilityOptions) {}

	/**
	Leaves out upstreams that may get nothing from this host now, and cold ones as long as there are warm ones, which are the faster choice.
	@param candidates - upstreams of the stage's pool.
	@param stage - what is to be sent.
	@param nowMs - the time.
	*/
	open(candidates: readonly Candidate[], stage: StagePlan, nowMs: number): readonly Candidate[] {
		const {bounds} = this.options;
		const open = candidates.filter(candidate => bounds.mayGet(serverOf(candidate, stage), workOf(stage), nowMs));
		const warm = open.filter(candidate => !bounds.isCold(serverOf(candidate, stage), nowMs));
		return warm.length > 0 ? warm : open;
	}

	/**
	A stage was sent to an upstream.
	@param candidate - the upstream.
	@param stage - the stage.
	@param nowMs - the time.
	*/
	sent(candidate: Candidate, stage: StagePlan, nowMs: number): void {
		this.options.bounds.sent(serverOf(candidate, stage), nowMs);
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
		return this.ofPools([stage.pool]) ?? this.ofBounded(stage, nowMs);
	}

	/** Why a pool bears no more from this host, where each of its upstreams is bounded. */
	private ofBounded(stage: StagePlan, nowMs: number): Unavailability | undefined {
		const {registry, bounds} = this.options;
		const upstreams = registry.usable(stage.pool);
		if (upstreams.length === 0 || upstreams.some(upstream => bounds.mayGet(upstream, workOf(stage), nowMs))) {
			return undefined;
		}

		const isLimited = upstreams.some(upstream => bounds.isLimited(upstream, nowMs));
		return {
			message: `all upstreams of ${stage.pool} ${isLimited ? 'get what their limits allow' : 'are cold and bear no more for now'}`,
			retryAfterMs: bounds.retryAfterMs(upstreams, nowMs),
		};
	}
}

/** A stage as bounds see it: any host may send one. */
function workOf({rank = 0}: StagePlan): BoundedWork {
	return {isUrgent: rank === 0, isSoleSender: false};
}

function serverOf({upstreamId, hall}: Candidate, {pool}: StagePlan): BoundedServer {
	return {serverId: upstreamId, pool, hall};
}

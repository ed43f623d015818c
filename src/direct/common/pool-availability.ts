/** Which upstreams of a pool may get something now, and what callers are told where none may: all are cold, limited, at rest, leave, or stand in drained halls. */
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {StagePlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {Candidate} from '../../routing/common/chooser.js';
import {directWork, type BoundedServer, type SendBounds} from '../../routing/common/send-bounds.js';

/** A drain lasts for seconds at least, as does the start of another upstream; callers heed up to a third of the time they have left, some 2 s. */
const closedRetryAfterMs = 2000;

/** What decides. */
export type PoolAvailabilityOptions = {
	readonly registry: Pick<ServerRegistry, 'usable' | 'isPoolClosed'>;
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
		const open = candidates.filter(candidate => bounds.maySend(serverOf(candidate, stage), directWork, nowMs));
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
		const closed = pools.find(pool => this.options.registry.isPoolClosed(pool));
		return closed === undefined
			? undefined
			: {
				message: `all upstreams of ${closed} leave or stand in data halls that are being drained`, retryAfterMs: closedRetryAfterMs,
			};
	}

	/**
	Tells whether a pool may get a request from this host now, so that a route with several pools is served by one of those that may.
	@param pool - the pool.
	@param nowMs - the time.
	*/
	isOpen(pool: string, nowMs: number): boolean {
		return this.ofPools([pool]) === undefined && this.left(pool, nowMs) >= 1;
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

	/**
	Tells how many requests of any kind this host may send to a pool now.
	@param pool - the pool.
	@param nowMs - the time.
	@returns Infinity where one of its upstreams is not bounded, or where it has none.
	*/
	left(pool: string, nowMs: number): number {
		const upstreams = this.options.registry.usable(pool);
		let left = upstreams.length === 0 ? Infinity : 0;
		for (const upstream of upstreams) {
			left += this.options.bounds.allowance(upstream, directWork, nowMs).left;
			if (left === Infinity) {
				break;
			}
		}

		return left;
	}

	/**
	Says why a pool takes no more from this host for now, each of its upstreams being bounded.
	@param pool - the pool.
	@param nowMs - the time.
	*/
	boundedText(pool: string, nowMs: number): Unavailability {
		const {registry, bounds} = this.options;
		const upstreams = registry.usable(pool);
		return {
			message: `all upstreams of ${pool} ${this.reasonOf(upstreams, nowMs)}`,
			retryAfterMs: bounds.retryAfterMs(upstreams, nowMs),
		};
	}

	private reasonOf(upstreams: readonly BoundedServer[], nowMs: number): string {
		const {bounds} = this.options;
		if (upstreams.some(upstream => bounds.isLimited(upstream, nowMs))) {
			return 'get what their limits allow';
		}

		return upstreams.some(upstream => bounds.isInBackoff(upstream, nowMs)) ? 'have asked for rest' : 'are cold and bear no more for now';
	}

	/** Why a pool bears no more from this host; a request whose steps are done waits for the next send instead. */
	private ofBounded({pool, inputBytesByHall}: StagePlan, nowMs: number): Unavailability | undefined {
		const isPrepared = inputBytesByHall !== undefined && inputBytesByHall.size > 0;
		return isPrepared || this.left(pool, nowMs) > 0 ? undefined : this.boundedText(pool, nowMs);
	}
}

function serverOf({upstreamId, hall}: Candidate, {pool}: StagePlan): BoundedServer {
	return {serverId: upstreamId, pool, hall};
}

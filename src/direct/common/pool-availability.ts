/**
Determines which upstreams of a pool may receive requests now, and the reason given to callers where none may: all are cold,
limited, in a backoff that they asked for, leaving, or in drained data halls.
*/
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {StagePlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {Candidate} from '../../routing/common/chooser.js';
import {directWork, type BoundedServer, type SendBounds} from '../../routing/common/send-bounds.js';

/**
Retry delay while a pool is closed. A drain takes seconds at least, as does the start of another upstream. Callers accept a retry delay of up to a third of their
remaining time, about 2 s.
*/
const closedRetryAfterMs = 2000;

/** What availability depends on. */
export type PoolAvailabilityOptions = {
	readonly registry: Pick<ServerRegistry, 'usable' | 'isPoolClosed'>;
	readonly bounds: SendBounds;
};

/** Determines what this host may send to which upstreams. */
export class PoolAvailability {
	static create(options: PoolAvailabilityOptions): PoolAvailability {
		return new PoolAvailability(options);
	}

	private constructor(private readonly options: PoolAvailabilityOptions) {}

	/**
	Filters out upstreams that may receive nothing from this host now. Cold ones are filtered out as well while there are warm
	ones, which are faster.
	@param candidates - upstreams of the stage's pool.
	@param stage - the stage to be sent.
	@param nowMs - the current time.
	*/
	eligible(candidates: readonly Candidate[], stage: StagePlan, nowMs: number): readonly Candidate[] {
		const {bounds} = this.options;
		const eligible = candidates.filter(candidate => bounds.maySend(serverOf(candidate, stage), directWork, nowMs));
		const warm = eligible.filter(candidate => !bounds.isCold(serverOf(candidate, stage), nowMs));
		return warm.length > 0 ? warm : eligible;
	}

	/**
	Records that a stage was sent to an upstream.
	@param candidate - the upstream.
	@param stage - the stage.
	@param nowMs - the current time.
	*/
	recordSend(candidate: Candidate, stage: StagePlan, nowMs: number): void {
		this.options.bounds.sent(serverOf(candidate, stage), nowMs);
	}

	/**
	Returns why no request that needs the given pools can be served now.
	@param pools - names of the pools.
	@returns the reason, or undefined if each pool has an upstream that may receive work, or may have one soon.
	*/
	poolsUnavailability(pools: readonly string[]): Unavailability | undefined {
		const closed = pools.find(pool => this.options.registry.isPoolClosed(pool));
		return closed === undefined
			? undefined
			: {
				message: `all upstreams of ${closed} leave or stand in data halls that are being drained`, retryAfterMs: closedRetryAfterMs,
			};
	}

	/**
	Returns whether this host may send a request to a pool now. A route with several pools is served by one for which this is true.
	@param pool - the name of the pool.
	@param nowMs - the current time.
	*/
	isOpen(pool: string, nowMs: number): boolean {
		return this.poolsUnavailability([pool]) === undefined && this.remainingSends(pool, nowMs) >= 1;
	}

	/**
	Returns why a stage can't be sent now.
	@param stage - the stage to be sent.
	@param nowMs - the current time.
	@returns the reason, or undefined if an upstream may receive the stage, or may become available soon.
	*/
	stageUnavailability(stage: StagePlan, nowMs: number): Unavailability | undefined {
		return this.poolsUnavailability([stage.pool]) ?? this.boundedStageUnavailability(stage, nowMs);
	}

	/**
	Returns how many requests of any kind this host may send to a pool now.
	@param pool - the name of the pool.
	@param nowMs - the current time.
	@returns the number of requests; Infinity if one of the pool's upstreams is not bounded, or if the pool has no upstreams.
	*/
	remainingSends(pool: string, nowMs: number): number {
		const upstreams = this.options.registry.usable(pool);
		let remaining = upstreams.length === 0 ? Infinity : 0;
		for (const upstream of upstreams) {
			remaining += this.options.bounds.allowance(upstream, directWork, nowMs).remaining;
			if (remaining === Infinity) {
				break;
			}
		}

		return remaining;
	}

	/**
	Returns why this host may send nothing to a pool now, given that each of its upstreams is bounded.
	@param pool - the name of the pool.
	@param nowMs - the current time.
	*/
	boundedUnavailability(pool: string, nowMs: number): Unavailability {
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

	/** Returns why the bounds of a pool leave no send for this host. A request whose preparation steps are complete is not refused but waits for the next send. */
	private boundedStageUnavailability({pool, inputBytesByHall}: StagePlan, nowMs: number): Unavailability | undefined {
		const isPrepared = inputBytesByHall !== undefined && inputBytesByHall.size > 0;
		return isPrepared || this.remainingSends(pool, nowMs) > 0 ? undefined : this.boundedUnavailability(pool, nowMs);
	}
}

function serverOf({upstreamId, hall}: Candidate, {pool}: StagePlan): BoundedServer {
	return {serverId: upstreamId, pool, hall};
}

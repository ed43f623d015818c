/** What is known of a request before anything is done for it, because of which it is refused at the door. */
import {barredText, type Standing} from '../../quarantine/common/quarantine.js';
import type {RequestPlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {BoundedAdmission} from '../common/bounded-admission.js';
import {notRunText} from './pass-through-writer.js';
import {
	ownStatuses, rankOf, type Recognized, type Refusal,
} from './recognize-request.js';

/** Who knows. */
export type DoorChecks = {
	/** Tells whether a request may be sent, by what became of the same content before. */
	readonly standingOf: (plan: RequestPlan) => Standing;
	/** Tells why requests that need certain pools can't be served for now. */
	readonly unavailabilityOf: (pools: readonly string[]) => Unavailability | undefined;
	/** Tells whether a pool may get a request now. */
	readonly isOpen: (pool: string, nowMs: number) => boolean;
	/** Decides whether a request of a rank may begin that a bounded pool is to serve. */
	readonly admission: Pick<BoundedAdmission, 'admit' | 'reserve'>;
};

/**
Tells why a request is refused at the door.
@param request - as recognized.
@param plan - what would be done.
@param checks - who knows.
@param nowMs - the time.
@returns nothing for one that may be begun.
*/
export function doorRefusal(request: Pick<Recognized, 'route' | 'ask' | 'workspace'>, plan: RequestPlan, {standingOf, unavailabilityOf, admission}: DoorChecks, nowMs: number): Refusal | undefined {
	const {route, ask: {requestId, pieceCounts}} = request;
	const status = ownStatuses.unavailable;
	const standing = standingOf(plan);
	if (standing.type === 'barred') {
		return {
			requestId, status, reason: notRunText(barredText), retryAfterMs: standing.forMs, content: standing.contentId,
		};
	}

	const stepPools = route.steps.filter((_, index) => (pieceCounts[index] ?? 0) > 0).map(({pool}) => pool);
	const [{pool}] = plan.stages;
	const unavailability = unavailabilityOf([pool, ...stepPools]) ?? admission.admit(pool, rankOf(request), nowMs);
	return unavailability && {
		requestId, status, reason: notRunText(unavailability.message), retryAfterMs: unavailability.retryAfterMs,
	};
}

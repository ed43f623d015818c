/** What is known of a request before anything is done for it, because of which it is refused at the door. */
import {barredText, type Standing} from '../../quarantine/common/quarantine.js';
import type {RequestPlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import {notRunText} from './pass-through-writer.js';
import {ownStatuses, type Recognized, type Refusal} from './recognize-request.js';

/** Who knows. */
export type DoorChecks = {
	/** Tells whether a request may be sent, by what became of the same content before. */
	readonly standingOf: (plan: RequestPlan) => Standing;
	/** Tells why requests that need certain pools can't be served for now. */
	readonly unavailabilityOf: (pools: readonly string[]) => Unavailability | undefined;
};

/**
Tells why a request is refused at the door.
@param request - as recognized.
@param plan - what would be done.
@param checks - who knows.
@returns nothing for one that may be begun.
*/
export function doorRefusal(request: Pick<Recognized, 'route' | 'ask'>, plan: RequestPlan, {standingOf, unavailabilityOf}: DoorChecks): Refusal | undefined {
	const {route, ask: {requestId, pieceCounts}} = request;
	const status = ownStatuses.unavailable;
	const standing = standingOf(plan);
	if (standing.type === 'barred') {
		return {
			requestId, status, reason: notRunText(barredText), retryAfterMs: standing.forMs, content: standing.contentId,
		};
	}

	const stepPools = route.steps.filter((_, index) => (pieceCounts[index] ?? 0) > 0).map(({pool}) => pool);
	const unavailability = unavailabilityOf([plan.stages[0].pool, ...stepPools]);
	return unavailability && {
		requestId, status, reason: notRunText(unavailability.message), retryAfterMs: unavailability.retryAfterMs,
	};
}

/** Checks whether a request is refused on admission, before any work is done for it. */
import {barredTextOf, type Standing} from '../../quarantine/common/quarantine.js';
import type {RequestPlan} from '../../request/common/request-plan.js';
import type {Unavailability} from '../../request/common/request-router.js';
import type {BoundedAdmission} from '../common/bounded-admission.js';
import {notRunText} from './pass-through-writer.js';
import {
	hostStatuses, rankOf, type ResolvedRequest, type Refusal,
} from './resolve-request.js';

/** Checks made on admission. */
export type AdmissionChecks = {
	/** Returns whether a request may be sent, given the outcomes of earlier requests with the same content. */
	readonly standingOf: (plan: RequestPlan) => Standing;
	/** Returns why requests that need the given pools can't be served now, or undefined if they can. */
	readonly unavailabilityOf: (pools: readonly string[]) => Unavailability | undefined;
	/** Returns whether a request may be sent to a pool now. */
	readonly isOpen: (pool: string, nowMs: number) => boolean;
	/** Decides by rank whether a request to a bounded pool may start, and reserves sends for started requests. */
	readonly admission: Pick<BoundedAdmission, 'admit' | 'reserve'>;
};

/**
Returns why a request is refused on admission.
@param request - the request, with its route and workspace.
@param plan - plan of the request.
@param checks - the checks to make.
@param nowMs - the current time.
@returns undefined if the request may start.
*/
export function admissionRefusal(
	request: Pick<ResolvedRequest, 'route' | 'callerRequest' | 'workspace'>,
	plan: RequestPlan,
	{standingOf, unavailabilityOf, admission}: AdmissionChecks,
	nowMs: number,
): Refusal | undefined {
	const {route, callerRequest: {requestId, pieceCounts}} = request;
	const status = hostStatuses.unavailable;
	const standing = standingOf(plan);
	if (standing.type === 'barred') {
		return {
			requestId, status, reason: notRunText(barredTextOf(standing)), retryAfterMs: standing.forMs, ...('part' in standing ? {part: standing.part} : {content: standing.contentId}),
		};
	}

	const stepPools = route.steps.filter((_, index) => (pieceCounts[index] ?? 0) > 0).map(({pool}) => pool);
	const [{pool}] = plan.stages;
	const unavailability = unavailabilityOf([pool, ...stepPools]) ?? admission.admit(pool, rankOf(request), nowMs);
	return unavailability && {
		requestId, status, reason: notRunText(unavailability.message), retryAfterMs: unavailability.retryAfterMs,
	};
}

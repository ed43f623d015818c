/** Bounds on the rate of requests that all hosts together send to an upstream, and how they are derived. */

/** A bound on the requests of all hosts together to one upstream. */
export type RateBound = {
	/** Maximum number of requests within any window; at least 1. */
	readonly maxRequests: number;
	readonly windowMs: number;
	/** Whether sends are spread over the window. If all requests went out at its start, no caller would be served for the rest of the window. */
	readonly isPaced: boolean;
};

/** Bounds on the requests per second to a cold upstream, from the deployment's settings. */
export type ColdBounds = {
	/** Requests allowed per request that the upstream tolerates; a factor. */
	readonly excess: number;
	/** Requests allowed in addition. */
	readonly tolerance: number;
};

const secondMs = 1000;

/**
Share of a cold upstream's bound that is used. The other half is a reserve for times when hosts disagree on the list of hosts:
a sender that the other hosts no longer list may continue to send while its replacement also sends. In addition, requests may arrive
closer together than they were sent.
*/
const coldUsedShare = 0.5;

/**
An upstream that announces a limit tolerates, in any 4 s, one and a half times the requests that the limit allows plus 5 requests.
Hosts send no more than the limit itself and no more than half of the tolerated number, so that two partitioned groups of hosts do
not overload it together.
*/
const limitExcess = 1.5;
const limitTolerance = 5;
const limitUsedShare = 0.5;
const limitWindowMs = 4000;
/** Minimum requests per second that are sent even to an upstream that announces fewer: only its responses show when it accepts more again. */
const minPerS = 0.2;

/**
Computes the bound for a cold upstream.
@param toleratedPerS - requests per second that the upstream tolerates, as declared for its pool.
@param bounds - the bounds from the settings.
*/
export function coldUpstreamBound(toleratedPerS: number, {excess, tolerance}: ColdBounds): RateBound {
	return {maxRequests: Math.max(1, Math.floor(coldUsedShare * ((toleratedPerS * excess) + tolerance))), windowMs: secondMs, isPaced: false};
}

/**
Computes the bound for an upstream that announces a limit.
@param perS - requests per second that the upstream accepts from all hosts together.
*/
export function limitBound(perS: number): RateBound {
	const usedPerS = Math.max(minPerS, perS);
	const allowed = usedPerS * limitWindowMs / secondMs;
	const maxRequests = Math.floor(Math.min(allowed, limitUsedShare * ((limitExcess * allowed) + limitTolerance)));
	return maxRequests >= 1 ? {maxRequests, windowMs: limitWindowMs, isPaced: true} : {maxRequests: 1, windowMs: secondMs / usedPerS, isPaced: true};
}

/**
Computes the rate that a bound allows.
@param bound - the bound on all hosts together.
@returns requests per second.
*/
export function boundPerS({maxRequests, windowMs}: RateBound): number {
	return maxRequests * secondMs / windowMs;
}

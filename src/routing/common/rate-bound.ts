/** What an upstream may get from all hosts together within a window, and where such bounds come from. */

/** A bound over all hosts. */
export type RateBound = {
	/** Requests within any window, one at least. */
	readonly most: number;
	readonly windowMs: number;
	/** Whether the requests are spread over the window: where they all go at its beginning, nobody is served for the rest of it. */
	readonly isPaced: boolean;
};

/** Bounds on what a cold upstream gets within a second, as the deployment's settings give them. */
export type ColdBounds = {
	/** Requests allowed for each that the upstream bears. */
	readonly excess: number;
	/** Requests allowed besides. */
	readonly tolerance: number;
};

const secondMs = 1000;

/**
Part of a cold upstream's bound that is used. The other half is for hosts that do not know the same hosts: senders that the others
have forgotten, and those that took their place. Requests also arrive closer together than they were sent.
*/
const coldShare = 0.5;

/**
What an upstream that names a limit stands for in any 4 s: one and a half times what the limit allows, and 5 requests besides. Never more
is sent than the limit itself, and no more than half of this, so that two groups of hosts that do not see each other do no harm.
*/
const limitExcess = 1.5;
const limitTolerance = 5;
const toleratedShare = 0.5;
const limitWindowMs = 4000;
/** An upstream that names less is asked this often nevertheless: only its answers tell that it takes more again. */
const leastPerS = 0.2;

/**
Gives the bound of a cold upstream.
@param bearsPerS - requests a second that it bears, as its pool declares.
@param bounds - as the settings give them.
*/
export function boundOfCold(bearsPerS: number, {excess, tolerance}: ColdBounds): RateBound {
	return {most: Math.max(1, Math.floor(coldShare * ((bearsPerS * excess) + tolerance))), windowMs: secondMs, isPaced: false};
}

/**
Gives the bound of an upstream that names a limit.
@param perS - requests a second that it takes from all hosts together.
*/
export function boundOfLimit(perS: number): RateBound {
	const usedPerS = Math.max(leastPerS, perS);
	const allowed = usedPerS * limitWindowMs / secondMs;
	const most = Math.floor(Math.min(allowed, toleratedShare * ((limitExcess * allowed) + limitTolerance)));
	return most >= 1 ? {most, windowMs: limitWindowMs, isPaced: true} : {most: 1, windowMs: secondMs / usedPerS, isPaced: true};
}

/**
Gives the rate that a bound allows.
@param bound - over all hosts.
@returns requests a second.
*/
export function perSecondOf({most, windowMs}: RateBound): number {
	return most * secondMs / windowMs;
}

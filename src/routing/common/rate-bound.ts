/** What an upstream may get from all hosts together within a window, and where such bounds come from. */

/** A bound over all hosts. */
export type RateBound = {
	/** Requests within any window, one at least. */
	readonly most: number;
	readonly windowMs: number;
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
The same of a limit that an upstream names. Two groups of hosts that do not see each other then send one and a half times what it
names, which it is expected to stand for a few seconds.
*/
const limitShare = 0.75;
const limitWindowMs = 4000;
/** An upstream that names less is asked this often nevertheless: only its answers tell that it takes more again. */
const leastPerS = 0.2;

/**
Gives the bound of a cold upstream.
@param bearsPerS - requests a second that it bears, as its pool declares.
@param bounds - as the settings give them.
*/
export function boundOfCold(bearsPerS: number, {excess, tolerance}: ColdBounds): RateBound {
	return {most: Math.max(1, Math.floor(coldShare * ((bearsPerS * excess) + tolerance))), windowMs: secondMs};
}

/**
Gives the bound of an upstream that names a limit.
@param perS - requests a second that it takes from all hosts together.
*/
export function boundOfLimit(perS: number): RateBound {
	const usedPerS = limitShare * Math.max(leastPerS, perS);
	const most = Math.floor(usedPerS * limitWindowMs / secondMs);
	return most >= 1 ? {most, windowMs: limitWindowMs} : {most: 1, windowMs: secondMs / usedPerS};
}

/**
Gives the rate that a bound allows.
@param bound - over all hosts.
@returns requests a second.
*/
export function perSecondOf({most, windowMs}: RateBound): number {
	return most * secondMs / windowMs;
}

/** Where a stream began, which determines the upstreams that may continue it. */

/** The pool and the software version that began a stream. */
export type StreamOrigin = {
	readonly pool: string;
	/** Undefined if it is not known; then no upstream may continue the stream. */
	readonly softwareVersion: string | undefined;
};

/** Why a stream is not continued, as callers and logs are told. */
export const versionGoneText = 'no upstream of the software version that began this stream accepts work';

/**
Returns whether an upstream may continue a stream. What two software versions write does not fit together, and upstreams do not check it.
@param origin - where the stream began.
@param upstream - the upstream that would continue it.
*/
export function mayContinue(origin: StreamOrigin, upstream: {readonly pool: string; readonly softwareVersion?: string | undefined}): boolean {
	return origin.softwareVersion !== undefined && upstream.softwareVersion === origin.softwareVersion && upstream.pool === origin.pool;
}

/** Estimates how long an upstream takes to fetch the results that a request reads, from the declared link speeds. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';

/**
Time from writing a call with results until its engine begins to fetch them and receives a first response: a few times
the network and decoding time.
*/
const fetchStartMs = 20;
/** An upstream serves its results one after another; the results of two full calls may be requested on its link at once. */
const queuedFullCalls = 2;
/** Link speed if none is declared: 10 Gbit/s, common between hosts that store large results. */
const defaultLinkBytesPerMs = 1_250_000;

/**
Estimates the time after which a request that was written has certainly fetched the results it reads.
@param steps - steps of its route.
@param index - the declaration in force; defaults replace what it does not specify.
*/
export function fetchTimeMs(steps: readonly PreparationStep[], index: DeploymentIndex | undefined): number {
	let maxMs = 0;
	for (const {pool, resultBytes} of steps) {
		const batch = index?.pool(pool)?.batch;
		const bytes = queuedFullCalls * (batch?.batchSize ?? 1) * resultBytes;
		maxMs = Math.max(maxMs, bytes / (batch?.linkBytesPerMs ?? defaultLinkBytesPerMs));
	}

	return fetchStartMs + maxMs;
}

/** How long an upstream takes to fetch the results that a request reads, reckoned from what the declaration tells of links. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';

/**
From the moment a call with results is written until its engine begins to fetch them, and a first answer of
the fetch: a few times what the way there and its decoding take.
*/
const fetchStartMs = 20;
/** Results are fetched from an upstream in turn; two full calls' worth may be asked of its link at once. */
const fetchedCalls = 2;
/** Where the declaration tells no link: 10 Gbit/s, usual between hosts that keep large results. */
const usualLinkBytesPerMs = 1_250_000;

/**
Reckons how long after it was written a request has surely fetched the results it reads.
@param steps - of its route.
@param index - of the declaration in force; usual values stand in for what it does not tell.
*/
export function fetchTimeMs(steps: readonly PreparationStep[], index: DeploymentIndex | undefined): number {
	let longestMs = 0;
	for (const {pool, resultBytes} of steps) {
		const batch = index?.pool(pool)?.batch;
		const bytes = fetchedCalls * (batch?.batchSize ?? 1) * resultBytes;
		longestMs = Math.max(longestMs, bytes / (batch?.linkBytesPerMs ?? usualLinkBytesPerMs));
	}

	return fetchStartMs + longestMs;
}

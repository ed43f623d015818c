/** Estimates how long an upstream takes to fetch the results that a request or a step reads, from the declared link speeds. */
import type {PreparationStep} from '../../deployment/common/declaration.js';
import type {DeploymentIndex} from '../../deployment/common/deployment-index.js';
import {maxQuoteMs} from '../../wire/common/messages.js';

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

/** A step that reads results of other steps. */
export type ReadingStep = {
	readonly pool: string;
	/** Pools that store its inputs. */
	readonly inputPools: readonly string[];
	/** Bytes that each piece reads; every piece fetches its inputs for itself. */
	readonly inputBytes: number;
};

/**
Estimates the time after which a call has certainly fetched its inputs, if its turn came when it arrived. It is that of a full
call of pieces of this step whose inputs are all stored at one upstream, over both links.
@param step - the step.
@param index - the declaration in force.
@returns the time in milliseconds; undefined if the pool is not declared to work in batches, or if the time is longer than any
request waits.
*/
export function inputFetchTimeMs({pool, inputPools, inputBytes}: ReadingStep, index: DeploymentIndex | undefined): number | undefined {
	const batch = index?.pool(pool)?.batch;
	if (!batch) {
		return undefined;
	}

	const linksBytesPerMs = inputPools.map(inputPool => index?.pool(inputPool)?.batch?.linkBytesPerMs ?? defaultLinkBytesPerMs);
	const callBytes = batch.batchSize * inputBytes;
	const sendMs = queuedFullCalls * callBytes / Math.min(...linksBytesPerMs);
	const timeMs = fetchStartMs + sendMs + (callBytes / (batch.linkBytesPerMs ?? defaultLinkBytesPerMs));
	return timeMs <= maxQuoteMs ? timeMs : undefined;
}

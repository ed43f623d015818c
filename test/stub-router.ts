/** Stub of the request router for tests of the layers above it: allows everything, records nothing, and names dispatches `d0`, `d1` and so on. */
import {clearStanding} from '../src/quarantine/common/quarantine.js';
import type {RequestRouter} from '../src/request/common/request-router.js';
import {UpstreamStats} from '../src/routing/common/upstream-stats.js';

/**
Creates a stub.
@param upstreams - upstreams to choose from; the first one that is not excluded is chosen.
@param overrides - methods that the test replaces.
@returns the router.
*/
export function stubRouter(upstreams: readonly string[], overrides: Partial<RequestRouter> = {}): RequestRouter {
	let serial = 0;
	const choiceOf = (upstreamId: string | undefined) => upstreamId === undefined
		? undefined
		: {
			chosen: {
				upstreamId, hall: 'a', stats: UpstreamStats.create(), joinedMs: 0,
			}, scored: [],
		};
	return {
		choose: (_stage, excluded) => choiceOf(upstreams.find(item => !excluded.has(item))),
		chooseAgain: (_stage, upstreamId) => choiceOf(upstreams.find(item => item === upstreamId)),
		standingOf: () => clearStanding,
		unavailability: () => undefined,
		retryAfterMs: () => undefined,
		mayRetry: () => true,
		hedgeDelayMs: () => undefined,
		mayHedge: () => true,
		optimisticRunMs: () => 0,
		optimisticFinishMs: () => 0,
		didDispatch: () => undefined,
		didEnd: () => undefined,
		didBegin: () => undefined,
		didComplete: () => undefined,
		softwareVersionOf: () => undefined,
		originOf: () => undefined,
		canContinue: () => true,
		newDispatchId: () => `d${serial++}`,
		...overrides,
	};
}

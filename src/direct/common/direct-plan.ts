/** Builds the plan of a request that is sent to upstreams directly: a single stage with the limits of its route. */
import type {Random} from '../../base/common/random.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import {makePrompt} from '../../routing/common/engine-loads.js';
import {directRules} from '../../request/common/attempt-rules.js';
import type {RequestPlan} from '../../request/common/request-plan.js';
import type {StreamOrigin} from '../../request/common/stream-origin.js';
import {policyDefaults, type EffectivePolicy} from '../../settings/common/schema.js';
import type {HttpCall} from '../../wire/common/messages.js';

/** Share of the target for which a request may wait while no upstream can be chosen. A caller that is refused early can still retry in time. */
const holdTargetShare = 0.2;
/** Time without an event after which a resumable stream is sent to another upstream, too: callers may abandon a stream after two seconds. */
const streamSilenceTimeoutMs = 1200;
const unlimitedTimeoutMs = 600_000;
/** Subtracted from the caller's own time limit, so that a final response still reaches it. */
const responseMarginMs = 15;
const defaultSlots = 8;

/** What a plan is built from. */
export type DirectPlanOptions = {
	readonly requestId: string;
	readonly workspace: string;
	readonly route: Route;
	readonly version: number;
	readonly pool: string;
	readonly engineSlots: number | undefined;
	readonly http: HttpCall;
	readonly promptParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	/** Keys of the parts that the prompt shares with others. */
	readonly sharedParts?: readonly string[];
	readonly needsPreparation: boolean;
	readonly remainingMs: number | undefined;
	/** Where the stream began that the request resumes. */
	readonly origin?: StreamOrigin | undefined;
};

/**
Chooses one of a route's pools at random by weight.
@param route - the route.
@param random - source of random numbers.
@param isUsable - whether a pool has upstreams that may receive work; pools without any are ignored if another pool has some.
@returns the pool's name.
*/
export function choosePool({targets}: Route, random: Random, isUsable: (pool: string) => boolean): string {
	const usable = targets.filter(({pool}) => isUsable(pool));
	const choices = usable.length > 0 ? usable : targets;
	let remainingWeight = random.next() * choices.reduce((sum, target) => sum + target.weight, 0);
	for (const {pool, weight} of choices) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return pool;
		}
	}

	return choices.at(-1)!.pool;
}

/**
Builds the plan of a request.
@param options - the request and its route.
@param nowMs - when the request was received.
*/
export function makeDirectPlan(options: DirectPlanOptions, nowMs: number): RequestPlan {
	const {route} = options;
	const isStreaming = route.kind === routeKinds.stream;
	const isRepeatable = route.kind === routeKinds.repeatable || (isStreaming && route.isResumable);
	const timeLimitMs = Math.min(route.timeoutMs, (options.remainingMs ?? Infinity) - responseMarginMs);
	const deadlineMs = nowMs + Math.max(1, timeLimitMs);
	const policy: EffectivePolicy = {
		...policyDefaults,
		maxAttempts: route.maxAttempts,
		holdMs: route.targetMs * holdTargetShare,
		timeoutMs: isStreaming ? streamSilenceTimeoutMs : unlimitedTimeoutMs,
		isRepeatable,
	};
	return {
		requestId: options.requestId,
		workspace: options.workspace,
		pipeline: route.name,
		stages: [{
			name: route.name,
			index: 0,
			kind: 'http',
			pool: options.pool,
			slots: options.engineSlots ?? defaultSlots,
			key: `${options.pool}/${route.name}`,
			budgetKey: options.pool,
			policy,
			rank: route.rank,
			...(isRepeatable && !isStreaming && {targetMs: route.targetMs}),
			...(options.origin && {origin: options.origin}),
			...(options.promptParts.length > 0 && {prompt: makePrompt(options.promptParts)}),
		}],
		policy,
		isRepeatable,
		settingsRevision: options.version,
		needsClaim: false,
		needsPreparation: options.needsPreparation,
		rules: directRules,
		isStreaming,
		startMs: nowMs,
		deadlineMs,
		hardDeadlineMs: deadlineMs,
		input: new Uint8Array(0),
		http: options.http,
		...(options.sharedParts !== undefined && options.sharedParts.length > 0 && {sharedParts: options.sharedParts}),
		prefixHash: 0,
		seed: 0,
	};
}

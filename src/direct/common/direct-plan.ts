/** The plan of a request that goes straight to upstreams: one stage, with the route's bounds. */
import type {Random} from '../../base/common/random.js';
import {routeKinds, type Route} from '../../deployment/common/declaration.js';
import {makePrompt} from '../../routing/common/engine-loads.js';
import {directRules} from '../../request/common/attempt-rules.js';
import type {RequestPlan} from '../../request/common/request-plan.js';
import {policyDefaults, type EffectivePolicy} from '../../settings/common/schema.js';
import type {HttpCall} from '../../wire/common/messages.js';

/** Share of the target that a request may wait while no upstream can be chosen: a caller told sooner can come back in time. */
const holdTargetShare = 0.2;
/** Silence of a stream that can be taken up elsewhere after which it is: callers give a stream up after two seconds. */
const streamSilenceMs = 1200;
const unboundedMs = 600_000;
/** Kept back from the caller's own limit, so that a last answer still reaches it. */
const answerMarginMs = 15;
const defaultSlots = 8;

/** What a plan is made of. */
export type DirectAsk = {
	readonly requestId: string;
	readonly workspace: string;
	readonly route: Route;
	readonly version: number;
	readonly pool: string;
	readonly engineSlots: number | undefined;
	readonly http: HttpCall;
	readonly promptParts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
	readonly needsPreparation: boolean;
	readonly remainingMs: number | undefined;
};

/**
Chooses one of a route's pools by weight.
@param route - the route.
@param random - the source of chance.
@param isUsable - tells whether a pool has upstreams that may get work; one that has none is left out if another has.
@returns the pool's name.
*/
export function choosePool({targets}: Route, random: Random, isUsable: (pool: string) => boolean): string {
	const usable = targets.filter(({pool}) => isUsable(pool));
	const choices = usable.length > 0 ? usable : targets;
	let left = random.next() * choices.reduce((sum, target) => sum + target.weight, 0);
	for (const {pool, weight} of choices) {
		left -= weight;
		if (left < 0) {
			return pool;
		}
	}

	return choices.at(-1)!.pool;
}

/**
Makes a plan.
@param ask - the request and its route.
@param nowMs - when it was received.
*/
export function makeDirectPlan(ask: DirectAsk, nowMs: number): RequestPlan {
	const {route} = ask;
	const isStreaming = route.kind === routeKinds.stream;
	const isRepeatable = route.kind === routeKinds.repeatable || (isStreaming && route.isResumable);
	const heldMs = Math.min(route.timeoutMs, (ask.remainingMs ?? Infinity) - answerMarginMs);
	const deadlineMs = nowMs + Math.max(1, heldMs);
	const policy: EffectivePolicy = {
		...policyDefaults,
		maxAttempts: route.maxAttempts,
		holdMs: route.targetMs * holdTargetShare,
		timeoutMs: isStreaming ? streamSilenceMs : unboundedMs,
		isRepeatable,
	};
	return {
		requestId: ask.requestId,
		workspace: ask.workspace,
		pipeline: route.name,
		stages: [{
			name: route.name,
			index: 0,
			kind: 'http',
			pool: ask.pool,
			slots: ask.engineSlots ?? defaultSlots,
			key: `${ask.pool}/${route.name}`,
			budgetKey: ask.pool,
			policy,
			rank: route.rank,
			...(isRepeatable && !isStreaming && {targetMs: route.targetMs}),
			...(ask.promptParts.length > 0 && {prompt: makePrompt(ask.promptParts)}),
		}],
		policy,
		isRepeatable,
		settingsRevision: ask.version,
		needsClaim: false,
		needsPreparation: ask.needsPreparation,
		rules: directRules,
		isStreaming,
		startMs: nowMs,
		deadlineMs,
		hardDeadlineMs: deadlineMs,
		input: new Uint8Array(0),
		http: ask.http,
		prefixHash: 0,
		seed: 0,
	};
}

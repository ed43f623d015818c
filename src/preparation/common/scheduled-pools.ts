/** Determines the pools in which requests are admitted by quotes from the pool's scheduler. See docs/design/hard-load.md. */
import type {
	BatchCapacity, Deployment, PreparationStep, Route,
} from '../../deployment/common/declaration.js';
import {fullCallMs} from './throughput.js';

const minChainSteps = 2;
/**
Minimum ratio of a route's target to the full calls on its longest chain. Its steps can then wait for a call in progress at each
pool and absorb the spread among upstreams, and still be in time, so that the scheduler has a choice.
*/
const minTargetRatio = 7 / 3;
/** Tolerance for rounding in sums of decimal durations. */
const roundingShare = 1e-9;

/** Longest chain that ends with a step: its number of steps, and the largest sum of full calls. */
type Chain = {readonly steps: number; readonly callsMs: number};

/**
Returns the names of the pools whose scheduler admits requests: those used by a route that leaves the scheduler a choice.
@param deployment - the routes and pools of a declaration, which may refer to pools or steps that do not exist.
*/
export function scheduledPools({routes, pools}: Pick<Deployment, 'routes' | 'pools'>): ReadonlySet<string> {
	const fullCalls = new Map<string, number>();
	for (const {name, batch} of pools) {
		if (batch && isUsable(batch)) {
			fullCalls.set(name, fullCallMs(batch));
		}
	}

	return new Set(routes.filter(route => isQualified(route, fullCalls)).flatMap(({steps}) => steps.map(({pool}) => pool)));
}

/**
Returns the key that identifies a step among all routes.
@param routeName - name of the route.
@param step - number of the step in the route, from 0.
*/
export function stepKeyOf(routeName: string, step: number): string {
	return `${routeName}#${step}`;
}

function isUsable(capacity: BatchCapacity): boolean {
	const {slots, batchSize, callMs, itemMs} = capacity;
	return slots > 0 && batchSize > 0 && callMs >= 0 && itemMs >= 0 && callMs + itemMs > 0 && Number.isFinite(fullCallMs(capacity));
}

function isQualified({steps, targetMs}: Route, fullCalls: ReadonlyMap<string, number>): boolean {
	const longest = longestChain(steps, fullCalls);
	return longest !== undefined && longest.steps >= minChainSteps && targetMs >= minTargetRatio * longest.callsMs * (1 - roundingShare);
}

/** Returns the maxima over all chains; undefined if a step uses a pool without usable figures or depends on itself or on an unknown step. */
function longestChain(steps: readonly PreparationStep[], fullCalls: ReadonlyMap<string, number>): Chain | undefined {
	const chains = new Map<number, Chain>();
	const readers = steps.map((): number[] => []);
	const openInputs: number[] = [];
	for (const [index, {pool, after}] of steps.entries()) {
		if (!fullCalls.has(pool) || after.some(input => !(input in steps))) {
			return undefined;
		}

		const inputs = new Set(after);
		openInputs.push(inputs.size);
		for (const input of inputs) {
			readers[input].push(index);
		}
	}

	const ready = [...steps.keys()].filter(index => openInputs[index] === 0);
	for (let index = ready.pop(); index !== undefined; index = ready.pop()) {
		const {pool, after} = steps[index];
		const inputs = after.flatMap(input => chains.get(input) ?? []);
		chains.set(index, {
			steps: 1 + maxOf(inputs.map(input => input.steps)),
			callsMs: fullCalls.get(pool)! + maxOf(inputs.map(input => input.callsMs)),
		});
		for (const reader of readers[index]) {
			openInputs[reader]--;
			if (openInputs[reader] === 0) {
				ready.push(reader);
			}
		}
	}

	// Steps of a cycle never become ready.
	const all = [...chains.values()];
	return all.length < steps.length ? undefined : {steps: maxOf(all.map(chain => chain.steps)), callsMs: maxOf(all.map(chain => chain.callsMs))};
}

function maxOf(values: readonly number[]): number {
	let max = 0;
	for (const value of values) {
		max = Math.max(max, value);
	}

	return max;
}

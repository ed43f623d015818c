/** The deployments of both users at their present size, with the mix of requests that their callers send. */
import {fileURLToPath} from 'node:url';
import {kaolackFleet, kookpakketFleet, type FleetSpec} from '../examples/local-fleet.js';
import type {Random} from '../src/base/common/random.js';
import type {LoadKind} from './load.js';

/** A deployment to measure. */
export type Deployment = {
	readonly name: string;
	readonly spec: FleetSpec;
	readonly declaration: string;
	readonly workspaces: ReadonlyArray<{readonly name: string; readonly share: number}>;
	readonly kinds: (isSharingPrefixes: boolean) => LoadKind[];
	readonly deadlineMs: number;
	/** Requests per second that keep the engines about two thirds busy. */
	readonly steadyRate: number;
};

/** Slower than the engines of the quickstart, so that one process can run engines, agents, entries and the load generator. */
const benchEngineSpeed = {
	slots: 4, stepMs: 20, slowdownPerSequence: 0.05, prefillSteps: 4,
};

function pathOf(file: string): string {
	return fileURLToPath(new URL(`../../examples/${file}`, import.meta.url));
}

function pipeline(name: string, share: number, isSharing: boolean): LoadKind {
	return {
		name, share, path: `pipelines/${name}/requests`, method: 'POST', isRepeatForbidden: false, body: (number, random) => promptOf(number, random, isSharing),
	};
}

function promptOf(number: number, random: Random, isSharing: boolean): string {
	const group = isSharing ? `group ${random.int(24)} `.repeat(10) : `request ${number} of ${random.int(1_000_000)} `.repeat(4);
	return JSON.stringify({prompt: `${group} and ${number}`});
}

function reservation(name: string, share: number, path: string): LoadKind {
	return {
		name, share, path: `services/${path}`, method: 'POST', isRepeatForbidden: true, body: number => JSON.stringify({reserve: number}),
	};
}

function lookup(name: string, share: number, path: string): LoadKind {
	return {
		name, share, path: `services/${path}`, method: 'GET', isRepeatForbidden: false, body: () => undefined,
	};
}

export const deployments: readonly Deployment[] = [
	{
		name: 'kaolack',
		spec: {...kaolackFleet, engineSpeed: benchEngineSpeed, logLevel: 'error'},
		declaration: pathOf('kaolack.jsonc'),
		workspaces: [
			{name: 'buyers', share: 4}, {name: 'mill-saloum', share: 3}, {name: 'mill-nioro', share: 1}, {name: 'mill-kaffrine', share: 1}, {name: 'mill-foundiougne', share: 1},
		],
		kinds: isSharing => [
			pipeline('quote', 3, isSharing),
			pipeline('tally', 4, isSharing),
			pipeline('inspection', 1, isSharing),
			lookup('lookup', 4, 'stock/lots/17'),
			reservation('reserve', 1, 'stock/reservations'),
			lookup('gate', 2, 'yard-gate/trucks'),
		],
		deadlineMs: 2000,
		steadyRate: 72,
	},
	{
		name: 'kookpakket',
		spec: {...kookpakketFleet, engineSpeed: benchEngineSpeed, logLevel: 'error'},
		declaration: pathOf('kookpakket.jsonc'),
		workspaces: [
			{name: 'supermarket', share: 4}, {name: 'flanders', share: 3}, {name: 'wallonia', share: 1}, {name: 'support', share: 1}, {name: 'box-planning', share: 1},
		],
		kinds: isSharing => [
			pipeline('menu', 1, isSharing),
			pipeline('recipe', 2, isSharing),
			pipeline('question', 4, isSharing),
			reservation('order', 1, 'orders/boxes'),
			lookup('pantry', 3, 'pantry/items'),
			lookup('delivery', 1, 'partner-gateway/slots'),
		],
		deadlineMs: 3500,
		steadyRate: 31,
	},
];

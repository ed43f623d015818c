/** Measures attainment, latency and cost of a policy in a scenario, over real loopback sockets. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';
import {LocalFleet} from '../examples/local-fleet.js';
import {planEdits, readDeclaration, toChangeRequest} from '../src/settings/common/plan.js';
import type {Deployment} from './deployments.js';
import {LoadRun} from './load.js';
import type {Policy} from './policies.js';
import type {Scenario} from './scenarios.js';

const warmUpMs = 1500;

/** Results of one measured run. */
export type AttainmentRun = {
	readonly deployment: string;
	readonly scenario: string;
	readonly policy: string;
	readonly attainment: number;
	/** Lowest attainment of any workspace. */
	readonly worstWorkspace: number;
	readonly workspaces: Readonly<Record<string, number>>;
	readonly kinds: Readonly<Record<string, number>>;
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	/** Upstream time for each attained request, and the share of the upstream time that was wasted. */
	readonly costMs: number;
	readonly wastedShare: number;
	/** Share of time in which the event loop of the only process was busy; above 0.9 the results mean little. */
	readonly busyShare: number;
};

const costReportSchema = z.object({stages: z.array(z.object({usefulMs: z.number(), wastedMs: z.number()}))});

/** Parameters of a run. */
export type AttainmentOptions = {readonly deployment: Deployment; readonly scenario: Scenario; readonly policy: Policy; readonly durationMs: number; readonly seed: number};

/**
Measures one run.
@param options - deployment, scenario, policy, duration and seed.
@returns the results.
*/
export async function measureAttainment(options: AttainmentOptions): Promise<AttainmentRun> {
	const {deployment, scenario, policy, durationMs, seed} = options;
	const fleet = await LocalFleet.create({...deployment.spec, ...(policy.adjust && {adjust: policy.adjust})});
	await applyDeclaration(fleet, deployment.declaration);
	const plan = {
		origins: fleet.entries.map((_, index) => fleet.callersOrigin(index)),
		workspaces: deployment.workspaces,
		kinds: deployment.kinds(scenario.isSharingPrefixes === true),
		deadlineMs: deployment.deadlineMs,
	};
	// A short warm-up load, so that every policy starts with open connections and estimates.
	await new LoadRun({
		...plan, rateAt: () => deployment.steadyRate, durationMs: warmUpMs, seed: seed + 1,
	}).run();
	const before = await readCost(fleet);
	const startUtilization = performance.eventLoopUtilization();
	const faults = scenario.injectFaults(fleet, durationMs);
	const result = await new LoadRun({
		...plan, rateAt: atMs => deployment.steadyRate * scenario.loadFactorAt(atMs / durationMs), durationMs, seed,
	}).run();
	await faults;
	const busyShare = performance.eventLoopUtilization(startUtilization).utilization;
	const after = await readCost(fleet);
	fleet.dispose();

	const countsByWorkspace = [...result.workspaces].filter(([, load]) => load.requests > 0);
	const requests = countsByWorkspace.reduce((sum, [, load]) => sum + load.requests, 0);
	const attained = countsByWorkspace.reduce((sum, [, load]) => sum + load.attained, 0);
	const workspaces = Object.fromEntries(countsByWorkspace.map(([name, load]) => [name, load.attained / load.requests]));
	const usefulMs = after.usefulMs - before.usefulMs;
	const wastedMs = after.wastedMs - before.wastedMs;
	return {
		deployment: deployment.name,
		scenario: scenario.name,
		policy: policy.name,
		attainment: attained / requests,
		worstWorkspace: Math.min(...Object.values(workspaces)),
		workspaces,
		kinds: Object.fromEntries(Array.from(result.byKind, ([name, load]) => [name, load.requests === 0 ? 1 : load.attained / load.requests])),
		p50Ms: result.latency.getValueAtPercentile(50),
		p95Ms: result.latency.getValueAtPercentile(95),
		p99Ms: result.latency.getValueAtPercentile(99),
		costMs: (usefulMs + wastedMs) / Math.max(1, attained),
		wastedShare: wastedMs / Math.max(1, usefulMs + wastedMs),
		busyShare,
	};
}

async function applyDeclaration(fleet: LocalFleet, declaration: string): Promise<void> {
	const nodes = readDeclaration(readFileSync(declaration), declaration);
	if (!nodes.ok) {
		throw new Error(JSON.stringify(nodes.error));
	}

	await call(fleet.operatorsOrigin(0), '/v1/settings/changes', JSON.stringify(toChangeRequest(planEdits(nodes.value, new Map()), 'bench', 'bench')));
	for (;;) {
		const statuses = await Promise.all(fleet.entries.map(async (_, index) => readStatus(fleet, index)));
		if (statuses.every(status => status.settingsRevision > 0 && status.upstreams.length === fleet.upstreams.length)) {
			return;
		}

		await sleep(20);
	}
}

async function readStatus(fleet: LocalFleet, index: number) {
	return z.object({settingsRevision: z.number(), upstreams: z.array(z.unknown())}).parse(await call(fleet.operatorsOrigin(index), '/v1/status'));
}

async function readCost(fleet: LocalFleet): Promise<{usefulMs: number; wastedMs: number}> {
	const cost = {usefulMs: 0, wastedMs: 0};
	for (const index of fleet.entries.keys()) {
		for (const stage of costReportSchema.parse(await call(fleet.operatorsOrigin(index), '/v1/report')).stages) {
			cost.usefulMs += stage.usefulMs;
			cost.wastedMs += stage.wastedMs;
		}
	}

	return cost;
}

async function call(origin: string, path: string, body?: string): Promise<unknown> {
	const response = await request(`${origin}${path}`, {
		method: body === undefined ? 'GET' : 'POST', body, headers: {authorization: 'Bearer demo-operator', 'content-type': 'application/json'},
	});
	return response.body.json();
}

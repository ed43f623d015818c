/** Measures the time that entry and agent add to a call, compared with calling the upstream directly. */
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import {LocalFleet} from '../examples/local-fleet.js';
import {planEdits, readDeclaration, toChangeRequest} from '../src/settings/common/plan.js';

const callCount = 300;
const stageMs = 20;
/** Batches of calls before the measurement, so that the JIT compiler has compiled the code. */
const warmUpBatches = 60;

/** Median times of direct calls and of calls through the fleet, and the added time as a share of a stage of 20 ms. */
export type HopMeasurement = {readonly directMs: number; readonly throughMs: number; readonly addedShare: number};

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
}

/**
Measures the hop with calls of both kinds in turn, one at a time.
@returns the median times, and the added time as a share of a stage of 20 ms.
*/
export async function measureHop(): Promise<HopMeasurement> {
	const fleet = await LocalFleet.create({
		entries: 1,
		models: [],
		logLevel: 'error',
		pools: [{
			pool: 'yard-gate', kind: 'service', count: 1, serviceMs: stageMs, slots: 8,
		}],
	});
	const file = fileURLToPath(new URL('../../examples/kaolack.jsonc', import.meta.url));
	const nodes = readDeclaration(readFileSync(file), file);
	if (!nodes.ok) {
		throw new Error(JSON.stringify(nodes.error));
	}

	const dispatcher = new Agent({connections: 4});
	const post = async (url: string, body?: string, token = 'demo-buyers') => {
		const startMs = performance.now();
		const response = await request(url, {
			dispatcher, method: body === undefined ? 'GET' : 'POST', body, headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
		});
		await response.body.dump();
		return performance.now() - startMs;
	};

	await post(`${fleet.operatorsOrigin(0)}/v1/settings/changes`, JSON.stringify(toChangeRequest(planEdits(nodes.value, new Map()), 'hop', 'hop')), 'demo-operator');
	await sleep(1500);
	for (let batch = 0; batch < warmUpBatches; batch++) {
		await Promise.all(Array.from({length: 40}, async () => post(`${fleet.callersOrigin(0)}/v1/workspaces/buyers/services/yard-gate/x`)));
	}

	const direct: number[] = [];
	const through: number[] = [];
	for (let call = 0; call < callCount; call++) {
		direct.push(await post(`${fleet.upstreams[0].service!.origin}/x`));
		through.push(await post(`${fleet.callersOrigin(0)}/v1/workspaces/buyers/services/yard-gate/x`));
	}

	fleet.dispose();
	await dispatcher.destroy();
	const [directMs, throughMs] = [median(direct), median(through)];
	return {directMs, throughMs, addedShare: (throughMs - directMs) / stageMs};
}

/** Measures how memory, time and traffic grow with the size of a fleet; docs/CAPACITY.md is derived from these slopes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import {request} from 'undici';
import {LocalFleet} from '../examples/local-fleet.js';
import {ManualClock} from '../src/base/common/clock.js';
import {SettingsTree, snapshotSchema} from '../src/settings/common/settings-tree.js';
import {checkTree} from '../src/settings/common/validate.js';
import {encodeFrame} from '../src/wire/common/frame-codec.js';
import type {Message} from '../src/wire/common/messages.js';
import {Planner} from '../src/entry/common/planner.js';
import {MemberTable} from '../src/membership/common/member-table.js';
import {makeSnapshot, makeTree} from './synthetic-settings.js';

/** Number of copies over which memory is measured, so that the noise of the garbage collector is small compared with their size. */
const treeCopies = 20;

/** One measured value: what was measured, at which size, and its unit. */
export type SlopeMeasurement = {readonly what: string; readonly at: string; readonly value: number; readonly unit: string};

setFlagsFromString('--expose_gc');
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the flag above exposes this function
const collectGarbage = runInNewContext('gc') as () => void;

function heapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function medianTimeMs(run: () => void): number {
	const times: number[] = [];
	for (let round = 0; round < 5; round++) {
		const startMs = performance.now();
		run();
		times.push(performance.now() - startMs);
	}

	return times.toSorted((a, b) => a - b)[2];
}

/**
Measures settings of three sizes: their memory, and the times to restore a snapshot, check a change and look up a policy.
@returns the measurements.
*/
export function measureSettings(): SlopeMeasurement[] {
	return [5, 500, 4800].flatMap(workspaces => {
		const at = `${workspaces} workspaces`;
		const text = JSON.stringify(makeSnapshot(workspaces));
		const tree = SettingsTree.create();
		tree.restore(snapshotSchema.parse(JSON.parse(text)));
		const beforeBytes = heapBytes();
		const copies = Array.from({length: treeCopies}, () => {
			const copy = SettingsTree.create();
			copy.restore(snapshotSchema.parse(JSON.parse(text)));
			return copy;
		});
		const bytes = (heapBytes() - beforeBytes) / copies.length;
		const planner = Planner.create(tree);
		const requestParameters = (number: number) => ({
			requestId: 'r', workspace: `w${number % workspaces}`, target: 'p1', isRepeatable: true, hasIdempotencyKey: false, isStreaming: false, input: new Uint8Array(0),
		});
		const lookupMs = medianTimeMs(() => {
			for (let number = 0; number < 100; number++) {
				tree.policyAt(`/workspaces/w${number % workspaces}/pipelines/p1/stages/generate`);
			}
		}) / 100;
		planner.plan(requestParameters(0), 0);
		return [
			{
				what: 'snapshot as sent', at, value: text.length / 1024, unit: 'KiB',
			},
			{
				what: 'memory of the tree', at, value: bytes / 1024, unit: 'KiB',
			},
			{
				what: 'take over a snapshot', at, value: medianTimeMs(() => {
					SettingsTree.create().restore(snapshotSchema.parse(JSON.parse(text)));
				}), unit: 'ms',
			},
			...[['a workspace', '/workspaces/w0'], ['the fleet', '/']].map(([name, path]) => ({
				what: `copy and check the tree for a change of ${name}`, at, value: medianTimeMs(() => {
					const copy = SettingsTree.create();
					copy.restore(tree.snapshot());
					checkTree(copy, [path]);
				}), unit: 'ms',
			})),
			{
				what: 'look up one effective policy', at, value: lookupMs * 1000, unit: 'us',
			},
		];
	});
}

/**
Measures the encoded size of the control messages on one connection.
@returns the measurements.
*/
export function measureControlFrames(): SlopeMeasurement[] {
	const load = {
		running: 7, queued: 3, slots: 8, serviceMs: 512.25, models: [{model: 'sawmill-7b', version: 'v3', adapters: ['quotes', 'tallies']}],
	};
	const messages: Array<[string, Message]> = [
		['ping', {type: 'ping', nonce: 12, settingsRevision: 123_456}],
		['pong with load', {
			type: 'pong', nonce: 12, settingsRevision: 123_456, state: 'serving', load,
		}],
		['pong without load', {
			type: 'pong', nonce: 12, settingsRevision: 123_456, state: 'serving',
		}],
	];
	return messages.map(([name, message]) => ({
		what: `frame: ${name}`, at: 'one', value: encodeFrame(message).byteLength, unit: 'bytes',
	}));
}

/**
Measures the processor time and memory of an idle fleet against its number of connections.
@returns the measurements.
*/
export async function measureIdleFleet(): Promise<SlopeMeasurement[]> {
	const figures: SlopeMeasurement[] = [];
	for (const [entries, count] of [[2, 0], [34, 0], [1, 8], [1, 32], [1, 96], [5, 96]]) {
		const beforeBytes = heapBytes();
		const fleet = await LocalFleet.create({
			entries,
			models: [],
			logLevel: 'error',
			pools: [{
				pool: 'yard-gate', kind: 'service', count, serviceMs: 10, slots: 8,
			}],
		});
		await sleep(2000);
		const bytes = heapBytes() - beforeBytes;
		const cpu = process.cpuUsage();
		const elapsedMs = 6000;
		await sleep(elapsedMs);
		const used = process.cpuUsage(cpu);
		fleet.dispose();
		await sleep(200);
		const at = `${entries} entries, ${count} agents and upstreams`;
		figures.push({
			what: 'processor time of the idle fleet', at, value: (used.user + used.system) / 10 / elapsedMs, unit: '% of a core',
		}, {
			what: 'memory of the idle fleet', at, value: bytes / 1024, unit: 'KiB',
		});
	}

	return figures;
}

/**
Measures the memory of the member table in which an entry tracks the upstreams.
@returns the measurements.
*/
export function measureMembers(): SlopeMeasurement[] {
	return [8, 730].map(count => {
		const clock = ManualClock.create();
		const beforeBytes = heapBytes();
		const members = MemberTable.create();
		for (let number = 0; number < count; number++) {
			members.connected({
				upstreamId: `u${number}`, hostId: `h${number}`, pool: 'p', hall: 'a', incarnation: `incarnation-${number}`, role: 'agent',
			}, clock.nowMs());
		}

		const bytes = heapBytes() - beforeBytes;
		members.candidates('p', clock.nowMs());
		return {
			what: 'memory of the member table', at: `${count} upstreams`, value: bytes / 1024, unit: 'KiB',
		};
	});
}

/**
Measures the time from sending a change of the settings until it is in effect on every entry, and the load on the table service meanwhile.
@returns the measurements.
*/
export async function measureInForce(): Promise<SlopeMeasurement[]> {
	const figures: SlopeMeasurement[] = [];
	for (const hosts of [2, 8, 32, 100]) {
		const fleet = await LocalFleet.create({
			entries: hosts, models: [], logLevel: 'error', pools: [],
		});
		await sleep(4500);
		const times: number[] = [];
		const {readCount, writeCount} = fleet.platform.table;
		const startMs = performance.now();
		for (let change = 0; change < 5; change++) {
			times.push(await measureTimeInForce(fleet, change));
		}

		const elapsedMs = performance.now() - startMs;
		const {table} = fleet.platform;
		figures.push({
			what: 'change in force everywhere, middle of five', at: `${hosts} hosts`, value: times.toSorted((a, b) => a - b)[2], unit: 'ms',
		}, {
			what: 'change in force everywhere, slowest of five', at: `${hosts} hosts`, value: Math.max(...times), unit: 'ms',
		}, {
			what: 'reads of the table service', at: `${hosts} hosts`, value: (table.readCount - readCount) * 1000 / elapsedMs, unit: 'a second',
		}, {
			what: 'writes of the table service', at: `${hosts} hosts`, value: (table.writeCount - writeCount) * 1000 / elapsedMs, unit: 'a second',
		});
		fleet.dispose();
		await sleep(200);
	}

	return figures;
}

async function measureTimeInForce(fleet: LocalFleet, change: number): Promise<number> {
	const call = async (index: number, path: string, body?: string): Promise<unknown> => {
		const response = await request(`${fleet.operatorsOrigin(index)}${path}`, {
			method: body === undefined ? 'GET' : 'POST', body, headers: {authorization: 'Bearer demo-operator', 'content-type': 'application/json'},
		});
		return response.body.json();
	};

	await sleep(300);
	const startMs = performance.now();
	await call(0, '/v1/settings/changes', JSON.stringify({changeId: `c${change}`, edits: [{path: '/', baseRevision: change, after: {deadlineMs: 1000 + change}}]}));
	for (const index of fleet.entries.keys()) {
		while (!JSON.stringify(await call(index, '/v1/status')).includes(`"settingsRevision":${change + 1}`)) {
			await sleep(2);
		}
	}

	return performance.now() - startMs;
}

/**
Measures everything in this file.
@returns the measurements.
*/
export async function measureSlopes(): Promise<SlopeMeasurement[]> {
	// Makes one tree first, so that the measured memory does not include that of the schemas.
	makeTree(5);
	return [
		...measureSettings(), ...measureMembers(), ...measureControlFrames(), ...await measureIdleFleet(), ...await measureInForce(),
	];
}

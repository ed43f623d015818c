/** Saves results to files, and renders them as the tables of docs/MEASUREMENTS.md. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {AttainmentRun} from './attainment.js';
import type {DecisionMeasurement} from './decisions.js';
import type {HopMeasurement} from './hop.js';
import type {SlopeMeasurement} from './slopes.js';

/** All results; each part is saved in a file of its own in bench/results. */
export type Results = {
	readonly decisions: DecisionMeasurement[];
	readonly hop: HopMeasurement;
	readonly slopes: SlopeMeasurement[];
	readonly attainment: AttainmentRun[];
};

const root = new URL('../../', import.meta.url);
const folder = new URL('bench/results/', root);
const page = fileURLToPath(new URL('docs/MEASUREMENTS.md', root));

function fileOf(part: keyof Results): string {
	return fileURLToPath(new URL(`${part}.json`, folder));
}

/**
Saves the results of one part, replacing the former ones.
@param part - the part.
@param value - the results.
*/
export function saveResults<K extends keyof Results>(part: K, value: Results[K]): void {
	mkdirSync(folder, {recursive: true});
	writeFileSync(fileOf(part), `${JSON.stringify(value, undefined, '\t')}\n`);
}

/**
Reads the results of one part that were saved last.
@param part - the part.
@returns the results, or undefined if there are none.
*/
export function readResults<K extends keyof Results>(part: K): Results[K] | undefined {
	try {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written by saveResults
		return JSON.parse(readFileSync(fileOf(part), 'utf8')) as Results[K];
	} catch {
		return undefined;
	}
}

function table(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	return [`| ${headings.join(' | ')} |`, `| ${headings.map(() => '---').join(' | ')} |`, ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n');
}

function percent(value: number): string {
	return `${(value * 100).toFixed(1)}%`;
}

function median(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
}

/** The rounds of one deployment, scenario and policy, aggregated; `lowest` and `highest` are attainments. */
export type AggregatedRun = AttainmentRun & {readonly lowest: number; readonly highest: number; readonly rounds: number};

/**
Aggregates the rounds of each deployment, scenario and policy.
@param runs - all runs.
@returns the median of each value over the rounds, the highest `busyShare`, and the lowest and highest attainment.
*/
export function aggregateRounds(runs: readonly AttainmentRun[]): AggregatedRun[] {
	return Array.from(groupRuns(runs).values(), group => {
		const medianOf = (of: (run: AttainmentRun) => number) => median(group.map(run => of(run)));
		return {
			...group[0],
			attainment: medianOf(run => run.attainment),
			worstWorkspace: medianOf(run => run.worstWorkspace),
			p50Ms: medianOf(run => run.p50Ms),
			p95Ms: medianOf(run => run.p95Ms),
			p99Ms: medianOf(run => run.p99Ms),
			costMs: medianOf(run => run.costMs),
			wastedShare: medianOf(run => run.wastedShare),
			busyShare: Math.max(...group.map(run => run.busyShare)),
			lowest: Math.min(...group.map(run => run.attainment)),
			highest: Math.max(...group.map(run => run.attainment)),
			rounds: group.length,
		};
	});
}

function keyOf(run: AttainmentRun): string {
	return `${run.deployment}/${run.scenario}/${run.policy}`;
}

function groupRuns(runs: readonly AttainmentRun[]): Map<string, AttainmentRun[]> {
	const groups = new Map<string, AttainmentRun[]>();
	for (const run of runs) {
		groups.set(keyOf(run), [...(groups.get(keyOf(run)) ?? []), run]);
	}

	return groups;
}

const renderers: {readonly [K in keyof Results]: (value: Results[K]) => string} = {
	decisions: figures => table(['decision', 'time', 'spread (median deviation)'], figures.map(item => [item.name, `${item.microseconds.toFixed(1)} us`, percent(item.spreadShare)])),
	hop: ({directMs, throughMs, addedShare}) => table(
		['call', 'middle time'],
		[['the upstream itself', `${directMs.toFixed(2)} ms`], ['through entry and agent', `${throughMs.toFixed(2)} ms`], ['added, as a share of a 20 ms stage', percent(addedShare)]],
	),
	slopes: figures => table(['what', 'at', 'value'], figures.map(item => [item.what, item.at, `${item.value.toFixed(item.value < 10 ? 2 : 0)} ${item.unit}`])),
	attainment: runs => table(
		['deployment', 'scenario', 'policy', 'attained (lowest–highest)', 'worst workspace', 'p50 / p95 / p99 ms', 'cost ms', 'wasted'],
		aggregateRounds(runs).map(run => [
			run.deployment,
			run.scenario,
			run.policy,
			`${percent(run.attainment)} (${percent(run.lowest)}–${percent(run.highest)})`,
			percent(run.worstWorkspace),
			`${run.p50Ms.toFixed(0)} / ${run.p95Ms.toFixed(0)} / ${run.p99Ms.toFixed(0)}`,
			run.costMs.toFixed(0),
			percent(run.wastedShare),
		]),
	),
};

function fillTable<K extends keyof Results>(text: string, part: K): string {
	const value = readResults(part);
	const [start, end] = [`<!-- bench:${part} -->`, `<!-- /bench:${part} -->`];
	const from = text.indexOf(start) + start.length;
	const to = text.indexOf(end);
	return value && to > from ? `${text.slice(0, from)}\n${renderers[part](value)}\n${text.slice(to)}` : text;
}

/** Replaces the tables between their marker comments in docs/MEASUREMENTS.md. */
export function writePage(): void {
	let text = readFileSync(page, 'utf8');
	text = fillTable(text, 'decisions');
	text = fillTable(text, 'hop');
	text = fillTable(text, 'attainment');
	text = fillTable(text, 'slopes');

	writeFileSync(page, text);
}

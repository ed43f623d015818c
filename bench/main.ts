/** `npm run bench`: measures decisions, the hop, attainment and slopes, saves the results, and writes them into the docs. */
import process from 'node:process';
import sade from 'sade';
import {measureAttainment, type AttainmentRun} from './attainment.js';
import {checkResults} from './check.js';
import {measureDecisions} from './decisions.js';
import {deployments} from './deployments.js';
import {measureHop} from './hop.js';
import {policies} from './policies.js';
import {saveResults, readResults, writePage} from './report.js';
import {scenarios} from './scenarios.js';
import {measureSlopes} from './slopes.js';

const decisionTimeMs = 500;

type Flags = {
	readonly decisions?: boolean;
	readonly attainment?: boolean;
	readonly slopes?: boolean;
	readonly check?: boolean;
	readonly keep: boolean;
	readonly scenario?: string;
	readonly policy?: string;
	readonly deployment?: string;
	readonly seconds: number;
	readonly rounds: number;
};

function writeLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function formatRun(run: AttainmentRun): string {
	const share = (value: number) => `${(value * 100).toFixed(1)}%`;
	return [
		run.deployment.padEnd(11),
		run.scenario.padEnd(33),
		run.policy.padEnd(14),
		share(run.attainment).padStart(6),
		share(run.worstWorkspace).padStart(6),
		`p50 ${run.p50Ms}`.padEnd(9),
		`p95 ${run.p95Ms}`.padEnd(9),
		`p99 ${run.p99Ms}`.padEnd(9),
		`cost ${run.costMs.toFixed(0)}`.padEnd(10),
		`wasted ${share(run.wastedShare)}`.padEnd(14),
		`busy ${share(run.busyShare)}`,
	].join(' ');
}

async function runAttainment(flags: Flags): Promise<void> {
	const runs: AttainmentRun[] = [];
	for (let round = 0; round < flags.rounds; round++) {
		for (const deployment of deployments.filter(item => !flags.deployment || item.name === flags.deployment)) {
			for (const scenario of scenarios.filter(item => !flags.scenario || item.name.includes(flags.scenario))) {
				for (const policy of policies.filter(item => !flags.policy || item.name === flags.policy)) {
					const run = await measureAttainment({
						deployment, scenario, policy, durationMs: flags.seconds * 1000, seed: 100 + round,
					});
					runs.push(run);
					writeLine(formatRun(run));
				}
			}
		}
	}

	if (flags.keep) {
		// Saved runs of combinations of deployment, scenario and policy that were not measured now are kept.
		const isMeasured = (old: AttainmentRun) => runs.some(run => run.deployment === old.deployment && run.scenario === old.scenario && run.policy === old.policy);
		saveResults('attainment', [...(readResults('attainment') ?? []).filter(old => !isMeasured(old)), ...runs]);
	}
}

async function runDecisions(): Promise<void> {
	const decisions = await measureDecisions(decisionTimeMs);
	for (const item of decisions) {
		writeLine(`${item.name.padEnd(40)} ${item.microseconds.toFixed(1)} us`);
	}

	saveResults('decisions', decisions);
	const hop = await measureHop();
	writeLine(`the hop adds ${(hop.throughMs - hop.directMs).toFixed(2)} ms, ${(hop.addedShare * 100).toFixed(1)}% of a 20 ms stage`);
	saveResults('hop', hop);
}

async function runSlopes(): Promise<void> {
	const slopes = await measureSlopes();
	for (const item of slopes) {
		writeLine(`${item.what.padEnd(46)} ${item.at.padEnd(38)} ${item.value.toFixed(2)} ${item.unit}`);
	}

	saveResults('slopes', slopes);
}

async function run(flags: Flags): Promise<void> {
	const isAll = !flags.decisions && !flags.attainment && !flags.slopes && !flags.check;
	if (isAll || flags.decisions) {
		await runDecisions();
	}

	if (isAll || flags.attainment) {
		await runAttainment(flags);
	}

	if (isAll || flags.slopes) {
		await runSlopes();
	}

	if (flags.check) {
		const broken = checkResults();
		for (const line of broken) {
			writeLine(`out of bounds: ${line}`);
		}

		writeLine(broken.length === 0 ? 'Every bound holds.' : `${broken.length} bounds are broken.`);
		process.exitCode = broken.length === 0 ? 0 : 1;
	}

	writePage();
}

sade('bench', true)
	.describe('Measures, keeps the results in bench/results, and writes the tables of docs/MEASUREMENTS.md. Without a part, all are measured.')
	.option('--decisions', 'Only decisions and the hop')
	.option('--attainment', 'Only attainment, latency and cost')
	.option('--slopes', 'Only slopes')
	.option('--check', 'Only check the kept results against bench/bounds.jsonc')
	.option('--keep', 'Keep attainment results (--no-keep for trials)', true)
	.option('--scenario', 'Only scenarios whose names contain this')
	.option('--policy', 'Only this policy')
	.option('--deployment', 'Only this deployment')
	.option('--seconds', 'Length of each attainment run', 8)
	.option('--rounds', 'Rounds of attainment, interleaved', 2)
	.action(async (flags: Flags) => {
		await run(flags);
	})
	.parse(process.argv);

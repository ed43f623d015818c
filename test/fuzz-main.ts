/** `npm run fuzz -- --minutes N --seed S`: runs the fuzzers with new seeds, and prints the command that replays a failure. */
import process from 'node:process';
import fc from 'fast-check';
import sade from 'sade';
import {newSeed} from '../src/base/node/ids.js';
import {requestProperty} from './request-fuzz.js';
import {settingsProperty} from './settings-fuzz.js';

const runsPerBatch = 200;
const maxCommands = 200;

type Flags = {readonly minutes?: number; readonly seed?: number; readonly only?: string};

const properties = {
	request: async (seed: number) => fc.check(requestProperty(maxCommands), {seed, numRuns: runsPerBatch}),
	settings: async (seed: number) => fc.check(settingsProperty(maxCommands), {seed, numRuns: runsPerBatch}),
} as const;

async function fuzz(flags: Flags): Promise<void> {
	const endMs = Date.now() + ((flags.minutes ?? 1) * 60_000);
	const names = Object.keys(properties).filter((name): name is keyof typeof properties => flags.only === undefined || flags.only === name);
	let seed = flags.seed ?? newSeed();
	let runs = 0;
	process.stdout.write(`first seed ${seed}\n`);
	do {
		for (const name of names) {
			const details = await properties[name](seed);
			runs += details.numRuns;
			if (details.failed) {
				process.stdout.write(`${JSON.stringify(details.counterexample, undefined, ' ')}\n${String(details.errorInstance)}\n`);
				process.stdout.write(`replay: npm run fuzz -- --only ${name} --seed ${seed} --minutes 0\n`);
				process.exitCode = 1;
				return;
			}
		}

		seed = (seed + 1) % 0x7F_FF_FF_FF;
	} while (Date.now() < endMs);

	process.stdout.write(`${runs} runs of up to ${maxCommands} commands, last seed ${seed - 1}: no promise was broken\n`);
}

sade('fuzz', true)
	.option('--minutes', 'How long to go on', 1)
	.option('--seed', 'First seed; each batch takes the next')
	.option('--only', 'One property: request or settings')
	.action(async (flags: Flags) => {
		await fuzz(flags);
	})
	.parse(process.argv);

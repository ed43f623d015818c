/** Quickstart: starts a fleet with simulated upstreams, applies a declaration and sends real requests. */
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {request} from 'undici';
import {z} from 'zod';
import {runCommandLine} from '../src/cli/node/program.js';
import {kaolackFleet, LocalFleet} from './local-fleet.js';

const declaration = fileURLToPath(new URL('../../examples/kaolack.jsonc', import.meta.url));
const workspace = 'buyers';
const summarySchema = z.object({
	requestId: z.string(),
	outcome: z.string(),
	tookMs: z.number(),
	units: z.number(),
	stages: z.array(z.object({
		stage: z.string(), upstream: z.string().optional(), tookMs: z.number(), usefulMs: z.number(), wastedMs: z.number(),
	})),
});

function writeLine(sentence = ''): void {
	process.stdout.write(`${sentence}\n`);
}

function check(isTrue: boolean, what: string): void {
	if (!isTrue) {
		writeLine(`FAILED: ${what}`);
		process.exitCode = 1;
	}
}

async function commandLine(fleet: LocalFleet, ...args: string[]): Promise<void> {
	writeLine(`$ pumicehatch ${args.join(' ')}`);
	const code = await runCommandLine(['node', 'pumicehatch', ...args, '--entry', fleet.operatorsOrigin(0)]);
	check(code === 0, `exit code ${code}`);
	writeLine();
}

async function send(origin: string, path: string, init: {method: 'GET' | 'POST'; headers?: Record<string, string>; body?: string}) {
	const response = await request(`${origin}/v1/workspaces/${workspace}/${path}`, {
		...init, headers: {authorization: `Bearer demo-${workspace}`, 'content-type': 'application/json', ...init.headers},
	});
	return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
}

async function quote(fleet: LocalFleet): Promise<void> {
	writeLine('A quote: four stages, streamed.');
	const body = JSON.stringify({
		customer: 'a furniture maker in Dakar', lot: 'teak-17', cubicMetres: 4.2, grade: 'A', wish: 'planks, dry, 40 mm, delivered next week',
	});
	const answer = await send(fleet.callersOrigin(0), 'pipelines/quote/requests', {method: 'POST', headers: {accept: 'text/event-stream'}, body});
	const events = answer.text.split('\n\n').filter(event => event !== '');
	const texts = events.filter(event => event.startsWith('event: chunk')).map(event => z.object({text: z.string()}).parse(dataOf(event)).text);
	writeLine(`  answer: ${texts.join('').slice(0, 100)}…`);
	const last = events.at(-1) ?? '';
	check(last.startsWith('event: end'), 'the stream has an end mark');
	const summary = summarySchema.parse(dataOf(last));
	writeLine(`  ${summary.outcome} in ${summary.tookMs} ms, ${summary.units} tokens in ${texts.length} pieces`);
	for (const stage of summary.stages) {
		writeLine(`  ${stage.stage.padEnd(9)} on ${(stage.upstream ?? '-').padEnd(13)} ${String(stage.tookMs).padStart(6)} ms, cost ${stage.usefulMs} ms useful, ${stage.wastedMs} ms wasted`);
	}

	writeLine();
}

function dataOf(event: string): unknown {
	return JSON.parse(event.slice(event.indexOf('data: ') + 'data: '.length));
}

async function lookUp(fleet: LocalFleet): Promise<void> {
	writeLine('A stock lookup.');
	const answer = await send(fleet.callersOrigin(1), 'services/stock/lots/teak-17', {method: 'GET'});
	writeLine(`  HTTP ${answer.status} from ${String(answer.headers['x-upstream'])}: ${answer.text}`);
	check(answer.status === 200, 'the lookup is answered');
	writeLine();
}

async function reserve(fleet: LocalFleet): Promise<void> {
	writeLine('A reservation, sent twice through both entries under one key.');
	const body = JSON.stringify({reserve: 'teak-17', for: 'yard 3'});
	for (const entry of [0, 1]) {
		const answer = await send(fleet.callersOrigin(entry), 'services/stock/reservations', {
			method: 'POST', headers: {'idempotency-key': 'reservation-1', 'not-repeatable': 'true'}, body,
		});
		writeLine(`  entry ${entry}: HTTP ${answer.status}, outcome ${String(answer.headers['x-outcome'])}, replay ${String(answer.headers['idempotent-replay'] ?? false)}: ${answer.text}`);
		check(answer.status === 200, 'the reservation is answered');
		// Waits until the outcome of the first request is stored, which takes one batch of claims.
		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
	}

	const count = fleet.poolOf('stock').flatMap(upstream => upstream.service!.ran).filter(item => item === body).length;
	writeLine(`  the stock service ran it ${count} time(s)`);
	check(count === 1, 'the reservation ran exactly once');
	writeLine();
}

function writeNextSteps(fleet: LocalFleet): void {
	writeLine('The fleet stays up; end it with Ctrl+C. Try next, in another terminal:');
	writeLine('  export PUMICEHATCH_TOKEN=demo-operator PUMICEHATCH_CALLER_TOKEN=demo-buyers');
	writeLine(`  export PUMICEHATCH_ENTRY=${fleet.operatorsOrigin(0)} PUMICEHATCH_CALLERS=${fleet.callersOrigin(0)}`);
	writeLine('  node dist/src/cli/node/main.js status');
	writeLine('  node dist/src/cli/node/main.js request buyers quote --data \'{"lot":"teak-17"}\' --explain');
	writeLine('  node dist/src/cli/node/main.js settings set /workspaces/buyers deadlineMs=1500 --reason "a try" --wait');
	writeLine('  node dist/src/cli/node/main.js drain models-1');
	writeLine('  node dist/src/cli/node/main.js report');
}

process.env.PUMICEHATCH_TOKEN = 'demo-operator';
const fleet = await LocalFleet.create(kaolackFleet);
writeLine(`Started a platform, ${fleet.upstreams.length} upstreams with their agents, and ${fleet.entries.length} entries.\n`);
await commandLine(fleet, 'settings', 'apply', declaration, '--reason', 'quickstart', '--wait');
await quote(fleet);
await lookUp(fleet);
await reserve(fleet);
await commandLine(fleet, 'report');
if (process.argv.includes('--keep')) {
	writeNextSteps(fleet);
} else {
	fleet.dispose();
	writeLine(process.exitCode ? 'Something did not work.' : 'All of it worked.');
}

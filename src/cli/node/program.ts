/** Defines all commands of `pumicehatch`. */
import sade from 'sade';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import type {CommonFlags} from './entry-client.js';
import {
	drain, report, request, status, type RequestFlags,
} from './fleet-commands.js';
import {
	explain, quarantine, summary, type LogFlags,
} from './log-commands.js';
import {
	apply, get, history, plan, set, validate, type SettingsFlags,
} from './settings-commands.js';

type Action = (...args: unknown[]) => ExitCode | Promise<ExitCode>;

/**
Runs one command.
@param argv - arguments as in `process.argv`, with the two leading ones.
@returns the exit code.
*/
export async function runCommandLine(argv: string[]): Promise<ExitCode> {
	const parsed = createProgram().parse(argv, {lazy: true});
	// Nothing to run: help or the version was requested and has been printed.
	if (!parsed) {
		return exitCodes.ok;
	}

	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- every action below returns an exit code
	const action = parsed.handler as unknown as Action;
	return action(...parsed.args);
}

function createProgram() {
	const program = sade('pumicehatch')
		.version('0.1.0')
		.describe('Operates a pumicehatch fleet. Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 unavailable, 10 drift.')
		.option('--entry', 'Operators\' address of an entry (or PUMICEHATCH_ENTRY); the token is in PUMICEHATCH_TOKEN')
		.option('--json', 'Write the result as JSON');

	program.command('settings validate <file>')
		.describe('Check a declaration without calling an entry.')
		.action((file: string, flags: SettingsFlags) => validate(file, flags));

	program.command('settings plan <file>')
		.describe('Show what a declaration would change. Exits with 10 if it differs from the settings in force.')
		.action(async (file: string, flags: SettingsFlags) => plan(file, flags));

	program.command('settings apply <file>')
		.describe('Apply a declaration to the settings in force, as one change.')
		.option('--reason', 'Why, for the audit trail')
		.option('--wait', 'Wait until it is in force on every live host')
		.option('--change-id', 'Id under which the change takes effect at most once')
		.action(async (file: string, flags: SettingsFlags) => apply(file, flags));

	program.command('settings get <path>')
		.describe('Show a node, and each effective value with the node that it comes from.')
		.example('settings get /workspaces/mill-a/pipelines/quote/stages/rerank')
		.action(async (path: string, flags: SettingsFlags) => get(path, flags));

	program.command('settings set <path> <assignment>')
		.describe('Change fields of one node: FIELD=VALUE sets a field, FIELD= inherits it again. More assignments may follow.')
		.option('--reason', 'Why, for the audit trail')
		.option('--wait', 'Wait until it is in force on every live host')
		.option('--change-id', 'Id under which the change takes effect at most once')
		.example('settings set /workspaces/mill-a deadlineMs=1500 --reason "slow link"')
		.action(async (path: string, assignment: string, flags: SettingsFlags & {_: string[]}) => set(path, [assignment, ...flags._], flags));

	program.command('settings history')
		.describe('Show accepted changes: who, when, why.')
		.option('--after', 'Only revisions above this one')
		.option('--limit', 'Maximum number of changes to read')
		.option('--path', 'Only changes of nodes below this path')
		.option('--author', 'Only changes of this operator')
		.action(async (flags: SettingsFlags) => history(flags));

	program.command('status')
		.describe('Show an entry, the revision in force on each host, and the upstreams.')
		.action(async (flags: CommonFlags) => status(flags));

	program.command('drain <upstream>')
		.describe('Drain an upstream: it gets no new work and finishes its current work.')
		.action(async (upstreamId: string, flags: CommonFlags) => drain(upstreamId, flags));

	program.command('report')
		.describe('Show attainment by workspace and cost by stage since the entry started.')
		.action(async (flags: CommonFlags) => report(flags));

	program.command('request <workspace> <target>')
		.describe('Send one request as a caller, whose token is in PUMICEHATCH_CALLER_TOKEN.')
		.option('--callers', 'Callers\' address of an entry (or PUMICEHATCH_CALLERS)')
		.option('--data', 'Body')
		.option('--method', 'HTTP method, for services')
		.option('--deadline', 'Time for the whole request in milliseconds')
		.option('--key', 'Idempotency key')
		.option('--once', 'Mark the request as not repeatable')
		.option('--stream', 'Stream the response')
		.option('--explain', 'Show candidates, choices, waits and costs')
		.example('request mill-a quote --data \'{"lot":"teak-17"}\' --explain')
		.example('request mill-a services/stock/lots/17')
		.action(async (workspace: string, target: string, flags: RequestFlags) => request(workspace, target, flags));

	program.command('explain <requestId>')
		.describe('Show the outcome of a request and its cause, from the log lines of all hosts on standard input.')
		.option('--file', 'Read this file instead')
		.example('explain 9c41d07be2a35f68 < logs')
		.action((requestId: string, flags: LogFlags) => explain(requestId, flags));

	program.command('logs summary')
		.describe('Count the outcomes of requests by host and route, from log lines on standard input.')
		.option('--file', 'Read this file instead')
		.action((flags: LogFlags) => summary(flags));

	program.command('logs quarantine')
		.describe('List requests during which servers crashed, with the ids of all attempts, from log lines on standard input.')
		.option('--file', 'Read this file instead')
		.action((flags: LogFlags) => quarantine(flags));

	return program;
}

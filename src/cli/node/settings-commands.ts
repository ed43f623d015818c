/** The commands `pumicehatch settings …`. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {styleText} from 'node:util';
import {z} from 'zod';
import {messageOf, type InputProblem} from '../../base/common/errors.js';
import {fail, type Outcome} from '../../base/common/outcome.js';
import {newId} from '../../base/node/ids.js';
import {changeSchema, type ChangeRequest, type PlannedEdit} from '../../settings/common/change.js';
import {planEdits, readDeclaration, toChangeRequest} from '../../settings/common/plan.js';
import type {NodeFields} from '../../settings/common/schema.js';
import {snapshotSchema, type SettingsNode} from '../../settings/common/settings-tree.js';
import {checkNode} from '../../settings/common/validate.js';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import {formatTable} from '../common/tables.js';
import {EntryClient, type CallFailure, type CommonFlags} from './entry-client.js';
import {
	note, print, reportFailure, reportProblems,
} from './output.js';

const statusPollMs = 100;
const waitTimeoutMs = 30_000;

const snapshotOrEmptySchema = snapshotSchema.or(z.object({revision: z.literal(0), nodes: z.array(z.never())}));
const acceptanceSchema = z.object({revision: z.number(), isRepeat: z.boolean()});
const nodeSchema = z.object({
	path: z.string(),
	revision: z.number(),
	fields: z.record(z.string(), z.unknown()).optional(),
	effective: z.array(z.object({field: z.string(), value: z.unknown(), from: z.string()})),
});
const historySchema = z.object({changes: z.array(changeSchema)});
const revisionsSchema = z.object({
	hostId: z.string(), settingsRevision: z.number(), hosts: z.array(z.object({hostId: z.string(), revision: z.number()})),
});

/** Flags of the settings commands. */
export type SettingsFlags = CommonFlags & {
	readonly reason?: string;
	readonly wait?: boolean;
	readonly 'change-id'?: string;
	readonly after?: number;
	readonly limit?: number;
	readonly path?: string;
	readonly author?: string;
};

/** Reads and validates the declaration in a file. */
function loadDeclaration(file: string): Outcome<Map<string, NodeFields>, InputProblem[]> {
	try {
		return readDeclaration(readFileSync(file), file);
	} catch (error) {
		return fail([{code: 'unreadable', message: messageOf(error), place: {source: file}}]);
	}
}

export function validate(file: string, flags: SettingsFlags): ExitCode {
	const nodes = loadDeclaration(file);
	if (!nodes.ok) {
		return reportProblems(flags.json, nodes.error);
	}

	print(flags.json, {isValid: true, nodes: nodes.value.size}, () => `${file}: valid, ${nodes.value.size} nodes.`);
	return exitCodes.ok;
}

export async function plan(file: string, flags: SettingsFlags): Promise<ExitCode> {
	const nodes = loadDeclaration(file);
	if (!nodes.ok) {
		return reportProblems(flags.json, nodes.error);
	}

	const edits = await planAgainstCurrent(EntryClient.create(flags), nodes.value);
	if (!edits.ok) {
		return reportFailure(flags.json, edits.error);
	}

	print(flags.json, {edits: edits.value}, () => formatEdits(edits.value));
	return edits.value.length > 0 ? exitCodes.drift : exitCodes.ok;
}

export async function apply(file: string, flags: SettingsFlags): Promise<ExitCode> {
	const nodes = loadDeclaration(file);
	if (!nodes.ok) {
		return reportProblems(flags.json, nodes.error);
	}

	const client = EntryClient.create(flags);
	const edits = await planAgainstCurrent(client, nodes.value);
	if (!edits.ok) {
		return reportFailure(flags.json, edits.error);
	}

	if (edits.value.length === 0) {
		print(flags.json, {edits: []}, () => 'Nothing to change.');
		return exitCodes.ok;
	}

	if (!flags.json) {
		note(formatEdits(edits.value));
	}

	return submitChange(client, toChangeRequest(edits.value, flags['change-id'] ?? newId(), flags.reason ?? `apply ${file}`), flags);
}

export async function get(path: string, flags: SettingsFlags): Promise<ExitCode> {
	const node = await EntryClient.create(flags).get(`/v1/settings/node?path=${encodeURIComponent(path)}`, nodeSchema);
	if (!node.ok) {
		return reportFailure(flags.json, node.error);
	}

	const {fields, revision, effective} = node.value;
	print(flags.json, node.value, () => [
		fields ? `${path}, last changed in revision ${revision}: ${JSON.stringify(fields)}` : `${path} has no node of its own; it inherits:`,
		formatTable(['FIELD', 'VALUE', 'FROM'], effective.map(item => [item.field, JSON.stringify(item.value), item.from])),
	].join('\n'));
	return exitCodes.ok;
}

export async function set(path: string, assignments: readonly string[], flags: SettingsFlags): Promise<ExitCode> {
	const client = EntryClient.create(flags);
	const node = await client.get(`/v1/settings/node?path=${encodeURIComponent(path)}`, nodeSchema);
	if (!node.ok) {
		return reportFailure(flags.json, node.error);
	}

	const fields: Record<string, unknown> = {...node.value.fields};
	for (const assignment of assignments) {
		const at = assignment.indexOf('=');
		if (at < 1) {
			return reportProblems(flags.json, [{code: 'badArgument', message: 'expected FIELD=VALUE, or FIELD= to inherit again', place: {source: `argument "${assignment}"`}}]);
		}

		const text = assignment.slice(at + 1);
		if (text === '') {
			// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- the field's name comes from the command line
			delete fields[assignment.slice(0, at)];
		} else {
			fields[assignment.slice(0, at)] = parseValue(text);
		}
	}

	const problems = checkNode(path, fields);
	if (problems.length > 0) {
		return reportProblems(flags.json, problems);
	}

	const request = {
		changeId: flags['change-id'] ?? newId(),
		reason: flags.reason ?? `set ${path} ${assignments.join(' ')}`,
		edits: [{path, baseRevision: node.value.revision, after: fields}],
	};
	return submitChange(client, request, flags);
}

export async function history(flags: SettingsFlags): Promise<ExitCode> {
	const query = new URLSearchParams({after: String(flags.after ?? 0), limit: String(flags.limit ?? 200)});
	const result = await EntryClient.create(flags).get(`/v1/settings/history?${query.toString()}`, historySchema);
	if (!result.ok) {
		return reportFailure(flags.json, result.error);
	}

	const changes = result.value.changes.filter(change =>
		(flags.author === undefined || change.author === flags.author)
		&& (flags.path === undefined || change.edits.some(edit => edit.path.startsWith(flags.path!))));
	print(flags.json, {changes}, () => formatTable(
		['REVISION', 'WHEN', 'WHO', 'NODES', 'WHY'],
		changes.map(change => [change.revision, new Date(change.atMs).toISOString(), change.author, change.edits.length, change.reason]),
	));
	return exitCodes.ok;
}

/** Parses a value as JSON; text that is not JSON is taken as a string. */
function parseValue(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

async function planAgainstCurrent(client: EntryClient, wanted: ReadonlyMap<string, NodeFields>): Promise<Outcome<PlannedEdit[], CallFailure>> {
	const snapshot = await client.get('/v1/settings/snapshot', snapshotOrEmptySchema);
	if (!snapshot.ok) {
		return snapshot;
	}

	const current = new Map<string, SettingsNode>(snapshot.value.nodes.map(({path, fields, revision}) => [path, {fields, revision}]));
	return {ok: true, value: planEdits(wanted, current)};
}

async function submitChange(client: EntryClient, request: ChangeRequest, flags: SettingsFlags): Promise<ExitCode> {
	const accepted = await client.post('/v1/settings/changes', request, acceptanceSchema);
	if (!accepted.ok) {
		note(`The change id was ${request.changeId}: it takes effect at most once, so the command can be repeated with --change-id.`);
		return reportFailure(flags.json, accepted.error);
	}

	const {revision} = accepted.value;
	const hosts = flags.wait ? await waitUntilInForce(client, revision) : undefined;
	if (hosts && !hosts.ok) {
		return reportFailure(flags.json, hosts.error);
	}

	const where = hosts?.ok ? `, in force on ${hosts.value} hosts` : '';
	print(flags.json, {...accepted.value, ...(hosts?.ok && {hosts: hosts.value})}, () => `Accepted as revision ${revision}${where}.`);
	return exitCodes.ok;
}

async function waitUntilInForce(client: EntryClient, revision: number): Promise<Outcome<number, CallFailure>> {
	const deadlineMs = Date.now() + waitTimeoutMs;
	let isWaitNoted = false;
	for (;;) {
		const status = await client.get('/v1/status', revisionsSchema);
		if (!status.ok) {
			return status;
		}

		const hosts = [{hostId: status.value.hostId, revision: status.value.settingsRevision}, ...status.value.hosts];
		const outdatedHosts = hosts.filter(host => host.revision < revision);
		if (outdatedHosts.length === 0) {
			return {ok: true, value: hosts.length};
		}

		if (Date.now() > deadlineMs) {
			return fail({exitCode: exitCodes.unavailable, message: `revision ${revision} is accepted, but not in force on ${outdatedHosts.map(host => host.hostId).join(', ')}`});
		}

		if (!isWaitNoted && Date.now() > deadlineMs - waitTimeoutMs + 1000) {
			isWaitNoted = true;
			note(`Waiting for ${outdatedHosts.length} hosts…`);
		}

		await sleep(statusPollMs);
	}
}

const editMarkers = {add: '+', change: '~', remove: '-'} as const;
const editColors = {add: 'green', change: 'yellow', remove: 'red'} as const;

function formatEdits(edits: readonly PlannedEdit[]): string {
	if (edits.length === 0) {
		return 'The settings in force match the file.';
	}

	return edits.map(edit => {
		const line = `${editMarkers[edit.kind]} ${edit.path} ${edit.kind === 'change' ? fieldDifferences(edit) : ''}`.trimEnd();
		return process.stdout.isTTY ? styleText(editColors[edit.kind], line) : line;
	}).join('\n');
}

function fieldDifferences({before = {}, after = {}}: PlannedEdit): string {
	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
	return names
		.filter(name => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
		.map(name => `${name}: ${formatValue(before[name])} → ${formatValue(after[name])}`)
		.join(', ');
}

function formatValue(value: unknown): string {
	return value === undefined ? 'inherited' : JSON.stringify(value);
}

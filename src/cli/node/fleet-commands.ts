/** The commands `pumicehatch status`, `drain`, `report` and `request`. */
import process from 'node:process';
import {request as httpRequest} from 'undici';
import {z} from 'zod';
import {messageOf} from '../../base/common/errors.js';
import {exitCodeOfStatus, exitCodes, type ExitCode} from '../common/exit-codes.js';
import {formatMs, formatShare, formatTable} from '../common/tables.js';
import {EntryClient, type CommonFlags} from './entry-client.js';
import {note, print, reportFailure} from './output.js';

const statusSchema = z.looseObject({
	hostId: z.string(),
	phase: z.string(),
	notReadyReason: z.string().optional(),
	settingsRevision: z.number(),
	requestsInFlight: z.number(),
	leaseEpoch: z.number().optional(),
	hosts: z.array(z.looseObject({
		hostId: z.string(), role: z.string(), hall: z.string(), revision: z.number(),
	})),
	upstreams: z.array(z.looseObject({
		upstreamId: z.string(),
		pool: z.string(),
		hall: z.string(),
		state: z.string(),
		isEjected: z.boolean(),
		inFlight: z.number(),
		slowness: z.number().optional(),
		load: z.looseObject({running: z.number(), queued: z.number(), slots: z.number()}).optional(),
	})),
});

const reportSchema = z.object({
	workspaces: z.array(z.object({
		workspace: z.string(), requests: z.number(), attained: z.number(), late: z.number(), refused: z.number(), failed: z.number(), unknown: z.number(),
	})),
	stages: z.array(z.object({
		workspace: z.string(), pipeline: z.string(), stage: z.string(), attempts: z.number(), retries: z.number(), hedges: z.number(), usefulMs: z.number(), wastedMs: z.number(),
	})),
});

const drainSchema = z.object({upstreamId: z.string(), state: z.string()});

/** Flags of the command `request`. */
export type RequestFlags = CommonFlags & {
	readonly data?: string;
	readonly deadline?: number;
	readonly key?: string;
	readonly once?: boolean;
	readonly stream?: boolean;
	readonly explain?: boolean;
	readonly method?: string;
};

export async function status(flags: CommonFlags): Promise<ExitCode> {
	const result = await EntryClient.create(flags).get('/v1/status', statusSchema);
	if (!result.ok) {
		return reportFailure(flags.json, result.error);
	}

	const entry = result.value;
	const lease = entry.leaseEpoch === undefined ? '' : `, holds the placement lease (epoch ${entry.leaseEpoch})`;
	print(flags.json, entry, () => [
		`${entry.hostId}: ${entry.notReadyReason ?? entry.phase}, settings revision ${entry.settingsRevision}, ${entry.requestsInFlight} requests in flight${lease}`,
		'',
		formatTable(['HOST', 'ROLE', 'HALL', 'REVISION'], entry.hosts.map(host => [host.hostId, host.role, host.hall, host.revision])),
		'',
		formatTable(
			['UPSTREAM', 'POOL', 'HALL', 'STATE', 'IN FLIGHT', 'RUNNING', 'QUEUED', 'SLOTS', 'SLOWNESS'],
			entry.upstreams.map(item => [
				item.upstreamId,
				item.pool,
				item.hall,
				item.isEjected ? 'ejected' : item.state,
				item.inFlight,
				item.load?.running ?? '-',
				item.load?.queued ?? '-',
				item.load?.slots ?? '-',
				item.slowness?.toFixed(2) ?? '-',
			]),
		),
	].join('\n'));
	return exitCodes.ok;
}

export async function drain(upstreamId: string, flags: CommonFlags): Promise<ExitCode> {
	const result = await EntryClient.create(flags).post(`/v1/upstreams/${encodeURIComponent(upstreamId)}/drain`, {}, drainSchema);
	if (!result.ok) {
		return reportFailure(flags.json, result.error);
	}

	print(flags.json, result.value, () => `${upstreamId} gets no new work and finishes what it has.`);
	return exitCodes.ok;
}

export async function report(flags: CommonFlags): Promise<ExitCode> {
	const result = await EntryClient.create(flags).get('/v1/report', reportSchema);
	if (!result.ok) {
		return reportFailure(flags.json, result.error);
	}

	const {workspaces, stages} = result.value;
	print(flags.json, result.value, () => [
		formatTable(
			['WORKSPACE', 'REQUESTS', 'ATTAINED', 'LATE', 'REFUSED', 'FAILED', 'UNKNOWN'],
			workspaces.map(item => [item.workspace, item.requests, formatShare(item.attained, item.requests), item.late, item.refused, item.failed, item.unknown]),
		),
		'',
		formatTable(
			['WORKSPACE', 'PIPELINE', 'STAGE', 'ATTEMPTS', 'RETRIES', 'HEDGES', 'USEFUL', 'WASTED'],
			stages.map(item => [item.workspace, item.pipeline, item.stage, item.attempts, item.retries, item.hedges, formatMs(item.usefulMs), formatMs(item.wastedMs)]),
		),
	].join('\n'));
	return exitCodes.ok;
}

/**
Sends one request as a caller and prints the response.
@param workspace - the caller's workspace; its token is in PUMICEHATCH_CALLER_TOKEN.
@param target - the name of a pipeline, or `services/NAME/PATH`.
@param flags - body, deadline, idempotency key and output options.
@returns the exit code.
*/
export async function request(workspace: string, target: string, flags: RequestFlags): Promise<ExitCode> {
	const origin = flags.callers ?? process.env.PUMICEHATCH_CALLERS ?? 'http://127.0.0.1:7001';
	const isService = target.startsWith('services/');
	const path = isService ? target : `pipelines/${target}/requests`;
	try {
		const response = await httpRequest(`${origin}/v1/workspaces/${workspace}/${path}`, {
			method: isService ? flags.method ?? 'GET' : 'POST',
			headers: headersOf(flags),
			body: flags.data ?? (isService ? undefined : '{}'),
		});
		process.stderr.write(`HTTP ${response.statusCode}, request ${String(response.headers['x-request-id'] ?? '-')}\n`);
		for await (const chunk of response.body) {
			if (chunk instanceof Uint8Array) {
				process.stdout.write(chunk);
			}
		}

		process.stdout.write('\n');
		return exitCodeOfStatus(response.statusCode);
	} catch (error) {
		note(`pumicehatch: ${origin}: ${messageOf(error)}`);
		return exitCodes.unavailable;
	}
}

function headersOf(flags: RequestFlags): Record<string, string> {
	return {
		authorization: `Bearer ${process.env.PUMICEHATCH_CALLER_TOKEN ?? ''}`,
		'content-type': 'application/json',
		...(flags.deadline !== undefined && {'deadline-ms': String(flags.deadline)}),
		...(flags.key !== undefined && {'idempotency-key': String(flags.key)}),
		...(flags.once && {'not-repeatable': 'true'}),
		...(flags.stream && {accept: 'text/event-stream'}),
		...(flags.explain && {explain: 'true'}),
	};
}

/** The HTTP interface for operators, described in docs/API.md: settings, status, drain, report. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {App} from '@tinyhttp/app';
import type {z} from 'zod';
import type {Logger} from '../../base/common/logger.js';
import {formatProblem} from '../../base/common/errors.js';
import {checkDocument, readJsonc} from '../../base/common/jsonc.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {changeRequestSchema} from '../../settings/common/change.js';
import {kindOfPath} from '../../settings/common/node-path.js';
import {operatorRights, type OperatorRight} from '../../settings/common/schema.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {EntryReport} from '../common/accounting.js';
import {problemOf, type Problem} from '../common/problems.js';
import type {EntryStatus} from '../common/status.js';
import {
	attachApp, hasToken, makeApp, readBody, sendJson, sendProblem,
} from './http-common.js';

const maxHistoryLimit = 1000;
const maxBodyBytes = 32 * 1024 * 1024;
const retryAfterMs = 1000;

/** Dependencies of the interface. */
export type OperatorsApiOptions = {
	readonly settings: SettingsService;
	readonly log: Logger;
	/** Hash of a token that has all rights while no operator is declared. */
	readonly bootstrapTokenHash: string | undefined;
	readonly status: () => EntryStatus;
	readonly report: () => EntryReport;
	/** Asks the agent of an upstream to drain and leave; returns false if none is connected. */
	readonly drain: (upstreamId: string) => boolean;
};

type Operator = {readonly name: string};

/** Handles operators' requests. */
export class OperatorsApi {
	static create(options: OperatorsApiOptions): OperatorsApi {
		return new OperatorsApi(options);
	}

	private readonly app: App;

	private constructor(private readonly options: OperatorsApiOptions) {
		this.app = makeApp(options.log);
		this.route('get', '/v1/status', operatorRights.read, async (_request, response) => {
			sendJson(response, 200, options.status());
		});
		this.route('get', '/v1/report', operatorRights.read, async (_request, response) => {
			sendJson(response, 200, options.report());
		});
		this.route('get', '/v1/settings/snapshot', operatorRights.read, async (_request, response) => {
			sendJson(response, 200, options.settings.tree.snapshot());
		});
		this.route('get', '/v1/settings/node', operatorRights.read, async (request, response) => {
			this.getNode(request, response);
		});
		this.route('get', '/v1/settings/history', operatorRights.read, async (request, response) => {
			await this.getHistory(request, response);
		});
		this.route('post', '/v1/settings/changes', operatorRights.change, async (request, response, operator) => {
			await this.postChange(request, response, operator);
		});
		this.route('post', '/v1/upstreams/:upstreamId/drain', operatorRights.order, async (request, response) => {
			const {upstreamId} = request.params;
			if (options.drain(upstreamId)) {
				sendJson(response, 202, {upstreamId, state: 'leaving'});
			} else {
				sendProblem(response, problemOf('notFound', `no agent of upstream "${upstreamId}" is connected here`));
			}
		});
	}

	/**
	Handles the requests of a server.
	@param server - the HTTP server whose requests are handled.
	*/
	attachTo(server: Server): void {
		attachApp(server, this.app);
	}

	private route(
		method: 'get' | 'post',
		path: string,
		right: OperatorRight,
		handler: (request: IncomingMessage & {params: Record<string, string>}, response: ServerResponse, operator: Operator) => Promise<void>,
	): void {
		this.app[method](path, async (request, response) => {
			const operator = this.operatorOf(request, right);
			if (operator.ok) {
				await handler(request, response, operator.value);
			} else {
				sendProblem(response, operator.error);
			}
		});
	}

	private operatorOf(request: IncomingMessage, right: OperatorRight): Outcome<Operator, Problem> {
		const {tree} = this.options.settings;
		const names = tree.paths.filter(path => kindOfPath(path) === 'operator').map(path => path.slice('/operators/'.length));
		if (names.length === 0 && hasToken(request, [this.options.bootstrapTokenHash ?? ''])) {
			return ok({name: 'bootstrap'});
		}

		const name = names.find(candidate => hasToken(request, [tree.operator(candidate)!.tokenHash]));
		if (name === undefined) {
			return fail(problemOf('unauthorized', 'the bearer token is no operator\'s'));
		}

		return tree.operator(name)!.rights.includes(right)
			? ok({name})
			: fail(problemOf('forbidden', `operator "${name}" lacks the right "${right}"`));
	}

	private getNode(request: IncomingMessage, response: ServerResponse): void {
		const path = queryOf(request).get('path') ?? '/';
		const {tree} = this.options.settings;
		if (!kindOfPath(path)) {
			sendProblem(response, problemOf('badRequest', 'no such place in the tree', {place: `query path=${path}`}));
			return;
		}

		const node = tree.get(path);
		sendJson(response, 200, {
			path, revision: node?.revision ?? 0, fields: node?.fields, effective: tree.effectiveFieldsAt(path),
		});
	}

	private async getHistory(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const query = queryOf(request);
		const after = Number(query.get('after') ?? 0);
		const limit = Number(query.get('limit') ?? 50);
		if (!Number.isInteger(after) || after < 0 || !Number.isInteger(limit) || limit < 1 || limit > maxHistoryLimit) {
			sendProblem(response, problemOf('badRequest', `expected whole numbers, limit from 1 to ${maxHistoryLimit}`, {place: 'query after, limit'}));
			return;
		}

		const changes = await this.options.settings.history(after, limit);
		if (changes.ok) {
			sendJson(response, 200, {changes: changes.value});
		} else {
			sendProblem(response, problemOf('storeUnavailable', changes.error.message, {retryAfterMs}));
		}
	}

	private async postChange(request: IncomingMessage, response: ServerResponse, operator: Operator): Promise<void> {
		const body = await readValidBody(request, changeRequestSchema);
		if (!body.ok) {
			sendProblem(response, body.error);
			return;
		}

		const accepted = await this.options.settings.change(body.value, operator.name);
		if (accepted.ok) {
			sendJson(response, 200, accepted.value);
			return;
		}

		const refusal = accepted.error;
		switch (refusal.code) {
			case 'invalid': {
				const lines = refusal.problems.map(problem => formatProblem(problem));
				sendProblem(response, problemOf('invalid', lines.slice(0, 20).join('; '), {more: refusal.problems}));
				break;
			}

			case 'conflict': {
				const lines = refusal.conflicts.map(({path, author, revision}) => `${path} was changed by "${author}" in revision ${revision}`);
				sendProblem(response, problemOf('conflict', lines.slice(0, 20).join('; '), {more: refusal.conflicts}));
				break;
			}

			case 'storeUnavailable': {
				const advice = refusal.mayHaveTakenEffect ? 'the change may have been accepted: send it again under the same change id' : 'nothing was changed';
				sendProblem(response, problemOf('storeUnavailable', `${refusal.message}; ${advice}`, {retryAfterMs, more: {mayHaveTakenEffect: refusal.mayHaveTakenEffect}}));
				break;
			}
		}
	}
}

function queryOf(request: IncomingMessage): URLSearchParams {
	return new URL(request.url ?? '/', 'http://localhost').searchParams;
}

async function readValidBody<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<Outcome<T, Problem>> {
	const body = await readBody(request, maxBodyBytes);
	if (!body.ok) {
		return body;
	}

	const document = readJsonc(body.value, 'body');
	const checked = document.ok ? checkDocument(document.value, schema) : document;
	return checked.ok
		? checked
		: fail(problemOf('badRequest', checked.error.map(problem => formatProblem(problem)).join('; ') || 'the body is empty', {place: 'body'}));
}

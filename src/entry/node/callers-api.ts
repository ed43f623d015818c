/** The callers' HTTP interface, described in docs/API.md. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Clock} from '../../base/common/clock.js';
import {hashText} from '../../base/common/hash.js';
import type {Logger} from '../../base/common/logger.js';
import {newId} from '../../base/node/ids.js';
import {claimKey, writerOf, type Claim} from '../../request/common/claim.js';
import {type ClaimStore, type GrantedClaim} from '../../request/common/claim-store.js';
import {outcomes, type RequestPlan, type RequestResult} from '../../request/common/request-plan.js';
import {WorkspaceLimiter} from '../../routing/common/workspace-limiter.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {HttpCall} from '../../wire/common/messages.js';
import type {Accounting} from '../common/accounting.js';
import {Planner} from '../common/planner.js';
import {problemOf, type Problem} from '../common/problems.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import {AnswerWriter} from './answer-writer.js';
import {
	checkJsonBody, passedHeaders, readCallerHeaders, type CallerHeaders,
} from './caller-request.js';
import {
	attachApp, hasToken, makeApp, readBody, sendJson, sendProblem,
} from './http-common.js';

/** Clocks of hosts may differ by this much when a claim's end is judged. */
const clockMarginMs = 5000;
const progressRetryMs = 1000;

/** What the interface is made of. */
export type CallersApiOptions = {
	readonly settings: SettingsService;
	readonly runner: RequestRunner;
	readonly claims: ClaimStore;
	readonly accounting: Accounting;
	readonly clock: Clock;
	readonly incarnation: string;
	readonly log: Logger;
	/** Why this host takes no requests, or nothing if it does. */
	readonly notReadyReason: () => string | undefined;
	/** Whether a planned stop was announced: the balancer shall send no more, while requests are still taken. */
	readonly isAnnounced: () => boolean;
};

type Target = {readonly workspace: string; readonly name: string; readonly http?: {readonly method: string; readonly path: string}};

type Parsed = {readonly headers: CallerHeaders; readonly body: Uint8Array; readonly target: Target; readonly requestId: string};

/** Takes callers' requests. */
export class CallersApi {
	static create(options: CallersApiOptions): CallersApi {
		return new CallersApi(options);
	}

	private readonly app = makeApp();
	private readonly planner: Planner;
	private readonly limiters = new Map<string, WorkspaceLimiter>();

	private constructor(private readonly options: CallersApiOptions) {
		this.planner = Planner.create(options.settings.tree);
		this.app.get('/healthz', (_request, response) => {
			sendJson(response, 200, {status: 'ok'});
		});
		this.app.get('/readyz', (_request, response) => {
			const reason = options.notReadyReason() ?? (options.isAnnounced() ? 'this host is about to stop' : undefined);
			sendJson(response, reason === undefined ? 200 : 503, reason === undefined ? {status: 'ready'} : {status: 'notReady', reason});
		});
		this.app.post('/v1/workspaces/:workspace/pipelines/:pipeline/requests', async (request, response) => {
			const {workspace, pipeline} = request.params;
			await this.serve(request, response, {workspace, name: pipeline});
		});
		for (const route of ['/v1/workspaces/:workspace/services/:service', '/v1/workspaces/:workspace/services/:service/*']) {
			this.app.all(route, async (request, response) => {
				const {workspace, service} = request.params;
				const prefix = `/v1/workspaces/${workspace}/services/${service}`;
				const path = request.originalUrl.slice(prefix.length);
				await this.serve(request, response, {workspace, name: service, http: {method: request.method ?? 'GET', path}});
			});
		}
	}

	/**
	Answers the requests of a server.
	@param server - the server.
	*/
	attachTo(server: Server): void {
		attachApp(server, this.app);
	}

	private async serve(request: IncomingMessage, response: ServerResponse, target: Target): Promise<void> {
		const parsed = await this.parse(request, target);
		if ('code' in parsed) {
			sendProblem(response, parsed);
			return;
		}

		const {headers, body, requestId} = parsed;
		const plan = this.planner.plan({
			requestId,
			workspace: target.workspace,
			target: target.name,
			deadlineMs: headers.deadlineMs,
			isRepeatable: headers.isRepeatable,
			hasKey: headers.idempotencyKey !== undefined,
			isStreaming: headers.isStreaming && !target.http,
			input: body,
			http: httpCallOf(request, parsed),
		}, this.options.clock.nowMs());
		if (!plan.ok) {
			sendProblem(response, problemOf(plan.error.code, plan.error.message, {requestId, outcome: outcomes.refused, notRun: true}));
			return;
		}

		const key = headers.idempotencyKey ?? headers.requestId;
		if (plan.value.needsClaim && key === undefined) {
			sendProblem(response, problemOf('badRequest', 'a request that may not be repeated needs a key, so that a copy of it is recognised', {
				place: 'header Idempotency-Key', requestId, outcome: outcomes.refused, notRun: true,
			}));
			return;
		}

		this.run(response, plan.value, parsed, key);
	}

	private async parse(request: IncomingMessage, target: Target): Promise<Parsed | Problem> {
		const refused = {outcome: outcomes.refused, notRun: true};
		const notReady = this.options.notReadyReason();
		if (notReady !== undefined) {
			return problemOf('notReady', notReady, {...refused, retryAfterMs: progressRetryMs});
		}

		const hashes = this.options.settings.tree.workspace(target.workspace)?.tokenHashes ?? [];
		if (!hasToken(request, hashes)) {
			return problemOf('unauthorized', 'the bearer token is not one of this workspace', refused);
		}

		const headers = readCallerHeaders(request);
		if (!headers.ok) {
			return {...headers.error, ...refused};
		}

		const body = await readBody(request);
		if (!body.ok) {
			return {...body.error, ...refused};
		}

		const problem = target.http ? undefined : checkJsonBody(body.value);
		return problem
			? {...problem, ...refused}
			: {
				headers: headers.value, body: body.value, target, requestId: headers.value.requestId ?? newId(),
			};
	}

	private run(response: ServerResponse, plan: RequestPlan, parsed: Parsed, key: string | undefined): void {
		const limiter = this.limiterOf(plan.workspace);
		const entered = limiter.tryAdmit(plan.policy, this.options.clock.nowMs());
		if (!entered.ok) {
			const {code, retryAfterMs} = entered.error;
			sendProblem(response, problemOf(code, 'this workspace sends more than its limits allow', {
				requestId: plan.requestId, outcome: outcomes.refused, notRun: true, retryAfterMs,
			}));
			return;
		}

		const writer = AnswerWriter.create(response, {
			requestId: plan.requestId, isStreaming: plan.isStreaming, isExplained: parsed.headers.isExplained, isPlain: plan.http !== undefined,
		});
		let granted: GrantedClaim | undefined;
		let ended: RequestResult | undefined;
		let isTaken = false;
		const gone = this.options.runner.start(plan, {
			claim: async () => {
				const claimed = await this.options.claims.claim(claimKey(plan.workspace, key!), this.claimOf(plan, parsed));
				if (claimed.ok) {
					granted = claimed.value;
					if (ended) {
						// The request was given up while its claim was under way: nothing ran.
						void this.options.claims.settle(granted, outcomes.refused);
					}
				}

				return claimed;
			},
			taken: ({claim}) => {
				isTaken = true;
				this.answerRepeat(response, plan, claim, parsed);
			},
			deliver: async (units, data) => writer.deliver(units, data),
			finish: result => {
				ended = result;
				limiter.release();
				if (!isTaken) {
					this.options.accounting.record(plan, result);
					const answer = writer.finish(result);
					if (granted) {
						void this.options.claims.settle(granted, result.outcome, answer);
					}
				}
			},
			settle: outcome => {
				if (granted) {
					void this.options.claims.settle(granted, outcome);
				}
			},
		});
		response.on('close', () => {
			if (!response.writableFinished) {
				gone();
			}
		});
	}

	private claimOf(plan: RequestPlan, parsed: Parsed): Claim {
		const wallMs = this.options.clock.wallMs();
		const {http} = plan;
		const target = http ? `${http.method} ${plan.pipeline}${http.path}` : plan.pipeline;
		return {
			writer: writerOf(this.options.incarnation, newId()),
			requestId: plan.requestId,
			fingerprint: hashText(`${target}\n${new TextDecoder('latin1').decode(parsed.body)}`),
			state: 'claimed',
			claimedAtMs: wallMs,
			endsByMs: wallMs + (plan.giveUpMs - plan.startMs) + clockMarginMs,
		};
	}

	/** A key that was used before: the caller learns what became of the first request. */
	private answerRepeat(response: ServerResponse, plan: RequestPlan, claim: Claim, parsed: Parsed): void {
		const {requestId} = plan;
		const isOver = this.options.clock.wallMs() > claim.endsByMs;
		if (claim.fingerprint !== this.claimOf(plan, parsed).fingerprint) {
			sendProblem(response, problemOf('idempotencyKeyReused', 'the key was used for another request', {requestId, outcome: outcomes.refused, notRun: true}));
		} else if (claim.state === 'claimed' && !isOver) {
			sendProblem(response, problemOf('requestInProgress', 'the first request with this key has not ended', {
				requestId: claim.requestId, retryAfterMs: progressRetryMs,
			}));
		} else if (claim.state === outcomes.completed && claim.answer) {
			const {status, contentType, text} = claim.answer;
			response.writeHead(status, {
				'content-type': contentType, 'x-request-id': claim.requestId, 'x-outcome': claim.state, 'idempotent-replay': 'true',
			});
			response.end(text);
		} else {
			const outcome = claim.state === 'claimed' ? outcomes.unknown : claim.state;
			sendProblem(response, problemOf('duplicateRequest', 'the key was used before; this is what became of that request', {
				requestId: claim.requestId, outcome,
			}));
		}
	}

	private limiterOf(workspace: string): WorkspaceLimiter {
		let limiter = this.limiters.get(workspace);
		if (!limiter) {
			limiter = WorkspaceLimiter.create(this.options.clock.nowMs());
			this.limiters.set(workspace, limiter);
		}

		return limiter;
	}
}

function httpCallOf(request: IncomingMessage, {target, body}: Parsed): HttpCall | undefined {
	return target.http && {
		kind: 'http', method: target.http.method, path: target.http.path || '/', headers: passedHeaders(request), body,
	};
}

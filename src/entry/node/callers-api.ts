/** The HTTP interface for callers, described in docs/API.md. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {App} from '@tinyhttp/app';
import type {Clock} from '../../base/common/clock.js';
import {toDisposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import {hashText} from '../../base/common/hash.js';
import type {Logger} from '../../base/common/logger.js';
import {detach} from '../../base/common/unexpected-errors.js';
import {newId} from '../../base/node/ids.js';
import {claimKey, claimWriterId, type Claim} from '../../request/common/claim.js';
import {type ClaimStore, type GrantedClaim} from '../../request/common/claim-store.js';
import {outcomes, type RequestPlan, type RequestResult} from '../../request/common/request-plan.js';
import {WorkspaceLimiter} from '../../routing/common/workspace-limiter.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import {connectionEndings, type CallerConnections} from '../../wire/node/caller-connections.js';
import {httpCallSchema, type HttpCall} from '../../wire/common/messages.js';
import type {Accounting} from '../common/accounting.js';
import {Planner} from '../common/planner.js';
import {problemOf, type Problem} from '../common/problems.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import {ResponseWriter} from './response-writer.js';
import {
	checkJsonBody, forwardedHeaders, readCallerHeaders, type CallerHeaders,
} from './caller-request.js';
import {
	attachApp, hasToken, makeApp, readBody, sendJson, sendProblem, sendText,
} from './http-common.js';

/** Difference between the clocks of hosts that is allowed for when a claim expires. */
const maxClockSkewMs = 5000;
const defaultRetryAfterMs = 1000;

/** Dependencies of the interface. */
export type CallersApiOptions = {
	readonly settings: SettingsService;
	readonly runner: RequestRunner;
	readonly claims: ClaimStore;
	readonly accounting: Accounting;
	readonly clock: Clock;
	readonly incarnation: string;
	readonly log: Logger;
	readonly connections: CallerConnections;
	/** Returns why this host accepts no requests, or undefined if it does. */
	readonly notReadyReason: () => string | undefined;
	/** Whether a planned stop was announced: the load balancer should send no more requests, but those that arrive are still accepted. */
	readonly isStopAnnounced: () => boolean;
};

type Target = {readonly workspace: string; readonly name: string; readonly http?: {readonly method: string; readonly path: string}};

type ParsedRequest = {readonly headers: CallerHeaders; readonly body: Uint8Array; readonly target: Target; readonly requestId: string};

/** Handles callers' requests. */
export class CallersApi {
	static create(options: CallersApiOptions): CallersApi {
		return new CallersApi(options);
	}

	private readonly app: App;
	private readonly planner: Planner;
	private readonly limiters = new Map<string, WorkspaceLimiter>();

	private constructor(private readonly options: CallersApiOptions) {
		this.app = makeApp(options.log);
		this.planner = Planner.create(options.settings.tree);
		this.app.get('/healthz', (_request, response) => {
			sendJson(response, 200, {status: 'ok'});
		});
		this.app.get('/readyz', (_request, response) => {
			const reason = options.notReadyReason() ?? (options.isStopAnnounced() ? 'this host is about to stop' : undefined);
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
	Handles the requests of a server.
	@param server - the HTTP server whose requests are handled.
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
		this.options.connections.identify(response, requestId);
		const turn = this.options.connections.turnOf(response);
		if (turn !== true && !await turn) {
			return;
		}

		const http = httpCallOf(request, parsed);
		const invalidField = http && httpCallSchema.safeParse(http).error?.issues.at(0)?.path.at(0);
		if (invalidField !== undefined) {
			sendProblem(response, problemOf('badRequest', 'the method, the path or a header is too long to be forwarded, or there are too many headers', {
				place: String(invalidField), requestId, outcome: outcomes.refused, notRun: true,
			}));
			return;
		}

		const plan = this.planner.plan({
			requestId,
			workspace: target.workspace,
			target: target.name,
			deadlineMs: headers.deadlineMs,
			isRepeatable: headers.isRepeatable,
			hasIdempotencyKey: headers.idempotencyKey !== undefined,
			isStreaming: headers.isStreaming && !target.http,
			input: body,
			http,
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

	private async parse(request: IncomingMessage, target: Target): Promise<ParsedRequest | Problem> {
		const refusalFields = {outcome: outcomes.refused, notRun: true};
		const notReady = this.options.notReadyReason();
		if (notReady !== undefined) {
			return problemOf('notReady', notReady, {...refusalFields, retryAfterMs: defaultRetryAfterMs});
		}

		const hashes = this.options.settings.tree.workspace(target.workspace)?.tokenHashes ?? [];
		if (!hasToken(request, hashes)) {
			return problemOf('unauthorized', 'the bearer token is not one of this workspace', refusalFields);
		}

		const headers = readCallerHeaders(request);
		if (!headers.ok) {
			return {...headers.error, ...refusalFields};
		}

		const body = await readBody(request);
		if (!body.ok) {
			return {...body.error, ...refusalFields};
		}

		const problem = target.http ? undefined : checkJsonBody(body.value);
		return problem
			? {...problem, ...refusalFields}
			: {
				headers: headers.value, body: body.value, target, requestId: headers.value.requestId ?? newId(),
			};
	}

	private run(response: ServerResponse, plan: RequestPlan, parsed: ParsedRequest, key: string | undefined): void {
		const limiter = this.limiterOf(plan.workspace);
		const admitted = limiter.tryAdmit(plan.policy, this.options.clock.nowMs());
		if (!admitted.ok) {
			const {code, retryAfterMs} = admitted.error;
			sendProblem(response, problemOf(code, 'this workspace sends more than its limits allow', {
				requestId: plan.requestId, outcome: outcomes.refused, notRun: true, retryAfterMs,
			}));
			return;
		}

		const writer = ResponseWriter.create(response, {
			requestId: plan.requestId, isStreaming: plan.isStreaming, isExplained: parsed.headers.isExplained, isPassThrough: plan.http !== undefined,
		});
		let granted: GrantedClaim | undefined;
		let finalResult: RequestResult | undefined;
		let isKeyTaken = false;
		const admission = toDisposable(() => {
			limiter.release();
		});
		const notifyCallerGone = this.options.runner.start(plan, {
			claim: async () => {
				const claimed = await this.options.claims.claim(claimKey(plan.workspace, key!), this.claimOf(plan, parsed));
				if (claimed.ok) {
					granted = claimed.value;
					if (finalResult) {
						// The request was abandoned while its claim was being written, so nothing ran.
						detach('outcome of a claim', this.options.claims.settle(granted, outcomes.refused));
					}
				}

				return claimed;
			},
			keyTaken: ({claim}) => {
				isKeyTaken = true;
				this.answerRepeat(response, plan, claim, parsed);
			},
			deliver: (units, data): Promise<void> | undefined => writer.deliver(units, data),
			finish: result => {
				finalResult = result;
				admission.dispose();
				if (!isKeyTaken) {
					this.options.accounting.record(plan, result);
					const storedResponse = writer.finish(result);
					if (granted) {
						detach('outcome of a claim', this.options.claims.settle(granted, result.outcome, storedResponse));
					}
				}
			},
			settle: outcome => {
				if (granted) {
					detach('outcome of a claim', this.options.claims.settle(granted, outcome));
				}
			},
			fail: error => {
				admission.dispose();
				this.fail(response, plan.requestId, error);
				if (granted && finalResult) {
					detach('outcome of a claim', this.options.claims.settle(granted, finalResult.outcome));
				}
			},
		});
		response.on('close', () => {
			if (!response.writableFinished) {
				notifyCallerGone();
			}
		});
	}

	/** Answers a request that failed because of an error of this host. A response that has begun is cut off, and one that is complete stays. */
	private fail(response: ServerResponse, requestId: string, error: unknown): void {
		this.options.log.error('Could not serve a request.', {request: requestId, reason: messageOf(error)});
		if (response.writableEnded) {
			return;
		}

		if (response.headersSent) {
			this.options.connections.attribute(response, connectionEndings.exception);
		}

		sendProblem(response, problemOf('internal', 'this host could not complete the request', {requestId}));
	}

	private claimOf(plan: RequestPlan, parsed: ParsedRequest): Claim {
		const wallMs = this.options.clock.wallMs();
		const {http} = plan;
		const target = http ? `${http.method} ${plan.pipeline}${http.path}` : plan.pipeline;
		return {
			writer: claimWriterId(this.options.incarnation, newId()),
			requestId: plan.requestId,
			fingerprint: hashText(`${target}\n${new TextDecoder('latin1').decode(parsed.body)}`),
			state: 'claimed',
			claimedAtMs: wallMs,
			endsByMs: wallMs + (plan.hardDeadlineMs - plan.startMs) + maxClockSkewMs,
		};
	}

	/** Responds to a request whose key was used before: sends the state or the response of the first request. */
	private answerRepeat(response: ServerResponse, plan: RequestPlan, claim: Claim, parsed: ParsedRequest): void {
		const {requestId} = plan;
		const isExpired = this.options.clock.wallMs() > claim.endsByMs;
		if (claim.fingerprint !== this.claimOf(plan, parsed).fingerprint) {
			sendProblem(response, problemOf('idempotencyKeyReused', 'the key was used for another request', {requestId, outcome: outcomes.refused, notRun: true}));
		} else if (claim.state === 'claimed' && !isExpired) {
			sendProblem(response, problemOf('requestInProgress', 'the first request with this key has not ended', {
				requestId: claim.requestId, retryAfterMs: defaultRetryAfterMs,
			}));
		} else if (claim.state === outcomes.completed && claim.answer) {
			const {status, contentType, text} = claim.answer;
			sendText(response, status, {
				'content-type': contentType, 'x-request-id': claim.requestId, 'x-outcome': claim.state, 'idempotent-replay': 'true',
			}, text);
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

function httpCallOf(request: IncomingMessage, {target, body}: ParsedRequest): HttpCall | undefined {
	return target.http && {
		kind: 'http', method: target.http.method, path: target.http.path || '/', headers: forwardedHeaders(request), body,
	};
}

/** HTTP ingress for callers of a deployment: accepts requests for any path, routes them by the current declaration and forwards them directly to upstreams. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {InjectionToken} from 'tsyringe';
import {setRepeating} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import {detach} from '../../base/common/unexpected-errors.js';
import type {CallerLimits} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {PoolAsk} from '../../preparation/common/quotes.js';
import type {Preparer, PreparationRequest, RequestScheduling} from '../../preparation/node/preparer.js';
import {sharedPartKeys} from '../../quarantine/common/prompt-parts.js';
import {contentIdOf} from '../../quarantine/common/request-content.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {otherHostRetryAfterMs, type RequestPlan, type StagePlan} from '../../request/common/request-plan.js';
import type {StreamOrigin} from '../../request/common/stream-origin.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import type {Endpoint} from '../../wire/common/endpoint.js';
import {CallerConnections, connectionEndings} from '../../wire/node/caller-connections.js';
import {listenOn} from '../../wire/node/listen.js';
import {BodyBudget} from '../common/body-budget.js';
import type {CallerProtocol} from '../common/caller-protocol.js';
import {choosePool, makeDirectPlan} from '../common/direct-plan.js';
import {FirstTryEstimator} from '../common/first-try-estimator.js';
import type {RunPrediction} from '../common/direct-router.js';
import type {DirectLinks} from './direct-links.js';
import {admissionRefusal, type AdmissionChecks} from './admission-checks.js';
import {notRunText, responseEndings, sendHostResponse} from './pass-through-writer.js';
import {OpenRequests} from './open-requests.js';
import {readBody} from './read-request.js';
import {
	hostStatuses, needsPreparation, rankOf, resolveRequest, type ResolvedRequest, type Refusal,
} from './resolve-request.js';
import {ServedRequest} from './served-request.js';
import type {StreamResumption} from './stream-resumption.js';
import {
	StepAdmission, type StepAdmissionOptions, type StepRequest, type StepVerdict,
} from './step-admission.js';

/** Maximum size of a head that is read at all; the declaration's own limit is checked in addition. */
const maxHeadBytes = 64 * 1024;
/** Maximum size of all large bodies together, on hosts of a few hundred megabytes. */
const maxBodiesBytes = 64 * 1024 * 1024;
/** Retry delay given to callers whose body does not fit; most requests that hold memory have ended by then. */
const noMemoryRetryAfterMs = 500;
/** Interval at which connections are checked for exceeded time limits. */
const connectionCheckMs = 1000;
/** Longest time limit of an HTTP server; the server adds a second to it, and Node's timers keep at most 2^31 - 1 ms. */
const maxServerTimeoutMs = (2 ** 31) - 10_000;

/** Dependencies of the ingress. */
export type IngressOptions = AdmissionChecks & StepAdmissionOptions & {
	readonly deploymentTracker: DeploymentTracker;
	readonly links: DirectLinks;
	readonly runner: RequestRunner;
	readonly protocol: CallerProtocol;
	readonly registry: Pick<ServerRegistry, 'latestStart'>;
	readonly resumption: Pick<StreamResumption, 'isResumed' | 'originOf' | 'recordBegun'>;
	readonly makePreparer: (request: PreparationRequest) => Preparer;
	/** Predicts where a request with a shared prompt part will most likely run. */
	readonly predictRun: (stage: StagePlan, nowMs: number) => RunPrediction;
	/** Returns why this host should receive no new connections, or undefined if it may receive them. */
	readonly notReadyReason: () => string | undefined;
	/** Whether the host is leaving, so that responses ask callers to use another connection next time. */
	readonly isLeaving: () => boolean;
};

/** A request that has been received completely. */
type ReceivedRequest = ResolvedRequest & {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Uint8Array;
	readonly receivedMs: number;
	/** How long ago the caller first sent the request. */
	readonly sinceFirstTryMs: number;
	/** Where the stream began that the request resumes. */
	readonly origin: StreamOrigin | undefined;
};

/** A request that may run, with what was found out about it on admission. */
type AdmittedRequest = {
	readonly received: ReceivedRequest;
	readonly plan: RequestPlan;
	readonly prediction: RunPrediction;
	/** Absent if no step of the request runs in a scheduled pool. */
	readonly scheduling?: RequestScheduling | undefined;
	/** Reservation of a send, if one was made before the request was admitted. */
	readonly reservation?: Disposable;
};

export const ingressToken: InjectionToken<Ingress> = Symbol('Ingress');

/** Accepts callers' requests and the load balancer's readiness checks. */
export class Ingress implements Disposable {
	static create(options: IngressOptions): Ingress {
		return new Ingress(options);
	}

	private readonly callers: Server;
	private readonly readiness: Server;
	private readonly connections: CallerConnections;
	private readonly disposables = DisposableStore.create();
	private readonly bodyBudget = BodyBudget.create(maxBodiesBytes);
	private readonly openRequests = OpenRequests.create();
	private readonly firstTryEstimator = FirstTryEstimator.create();
	private readonly stepAdmission: StepAdmission;
	/** Responses to requests that were handed to the runner. */
	private readonly mayHaveRun = new WeakSet<ServerResponse>();
	private hasStoppedAccepting = false;
	private isRefusingUnstarted = false;
	/** Number of requests that are being received or checked. */
	private receivingCount = 0;

	private constructor(private readonly options: IngressOptions) {
		this.stepAdmission = StepAdmission.create(options);
		this.callers = createServer({
			maxHeaderSize: maxHeadBytes, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: connectionCheckMs,
		});
		this.connections = CallerConnections.create({
			server: this.callers, clock: options.clock, log: options.log, metrics: options.metrics,
		});
		this.callers.on('request', (request, response) => {
			if (!this.connections.isTaken(response)) {
				return;
			}

			detach('request', this.handle(request, response), () => {
				response.destroy();
			});
		});
		this.readiness = createServer((_request, response) => {
			const reason = options.notReadyReason();
			sendHostResponse(response, reason === undefined ? 200 : hostStatuses.unavailable, reason ?? 'ready');
		});
		this.disposables.add(options.deploymentTracker.onDidChange(({deployment}) => {
			this.applyLimits(deployment.limits);
		}));
	}

	/** Number of requests that have not ended. */
	get openCount(): number {
		return this.openRequests.size + this.receivingCount;
	}

	/** Number of requests whose response has not been written out to the caller's connection. */
	get unwrittenCount(): number {
		return this.connections.openCount;
	}

	/**
	Starts listening for requests.
	@param callers - endpoint for callers.
	@param readiness - endpoint for the load balancer's readiness checks.
	@returns the endpoints on which the ingress listens.
	@throws UnavailableError if it can't listen on an address.
	*/
	async listen(callers: Endpoint, readiness: Endpoint): Promise<{readonly callers: Endpoint; readonly readiness: Endpoint}> {
		return {callers: await listenOn(this.callers, callers), readiness: await listenOn(this.readiness, readiness)};
	}

	/**
	Stops accepting requests: new connections are not accepted, requests on open ones that are not yet received are refused as not run, and idle
	connections are closed periodically until the ingress is disposed.
	*/
	stopAccepting(): void {
		this.hasStoppedAccepting = true;
		this.connections.stopAccepting();
		this.disposables.add(setRepeating(this.options.clock, () => connectionCheckMs / 2, () => {
			this.connections.closeIdle();
		}));
	}

	/** Refuses requests that have not been sent to an upstream, as the process is about to exit. */
	refuseUnstarted(): void {
		this.isRefusingUnstarted = true;
		this.options.runner.refuseUnstarted();
	}

	dispose(): void {
		this.disposables.dispose();
		this.connections.reportPlannedStop();
		this.callers.close();
		this.readiness.close();
		this.callers.closeAllConnections();
		this.readiness.closeAllConnections();
	}

	private applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.callers.headersTimeout = serverTimeoutOf(headerTimeoutMs);
		this.callers.keepAliveTimeout = serverTimeoutOf(idleTimeoutMs);
	}

	/** Confines an error in one request to its own connection, and logs it. */
	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.receivingCount++;
		try {
			await this.serve(request, response);
		} catch (error) {
			this.fail(response, error);
		} finally {
			this.receivingCount--;
		}
	}

	/** Answers a request that failed because of an error of this host. A response that has begun is cut off, and one that is complete stays. */
	private fail(response: ServerResponse, error: unknown): void {
		const requestId = this.connections.requestIdOf(response);
		const mayHaveRun = this.mayHaveRun.has(response);
		this.options.log.error('Could not serve a request.', {request: requestId, mayHaveRun, reason: messageOf(error)});
		if (response.writableEnded) {
			return;
		}

		if (response.headersSent) {
			this.connections.attribute(response, connectionEndings.exception);
			response.destroy();
		} else if (mayHaveRun) {
			sendHostResponse(response, hostStatuses.internalError, 'This host could not complete the request');
		} else {
			sendHostResponse(response, hostStatuses.unavailable, notRunText('this host could not start the request'), otherHostRetryAfterMs);
		}
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const receivedMs = this.options.clock.nowMs();
		if (this.options.isLeaving()) {
			response.shouldKeepAlive = false;
		}

		if (this.hasStoppedAccepting) {
			this.refuse(response, stoppingRefusal(''));
			return;
		}

		const resolved = resolveRequest(request, this.options.deploymentTracker.current, this.options.protocol, this.options.registry);
		if ('status' in resolved) {
			this.refuse(response, resolved);
			return;
		}

		this.connections.identify(response, resolved.callerRequest.requestId);
		const share = this.bodyBudget.open();
		response.once('close', () => {
			share.dispose();
		});
		const body = await readBody(request, resolved.index.deployment.limits.maxBodyBytes, share);
		if (body === 'gone') {
			return;
		}

		if (body === 'tooLarge') {
			response.shouldKeepAlive = false;
			this.refuse(response, {requestId: resolved.callerRequest.requestId, status: hostStatuses.bodyTooLarge, reason: 'the body is larger than the limit'});
			return;
		}

		if (body === 'noMemory') {
			share.dispose();
			response.shouldKeepAlive = false;
			const {requestId} = resolved.callerRequest;
			const reason = notRunText('the bodies of other requests take the memory of this host');
			this.refuse(response, {
				requestId, status: hostStatuses.unavailable, reason, retryAfterMs: noMemoryRetryAfterMs,
			});
			return;
		}

		// A body may end long after its head has arrived.
		if (this.hasStoppedAccepting) {
			this.refuse(response, stoppingRefusal(resolved.callerRequest.requestId));
			return;
		}

		const turn = this.connections.turnOf(response);
		if (turn !== true && !await turn) {
			return;
		}

		if (this.isRefusingUnstarted) {
			this.refuse(response, stoppingRefusal(resolved.callerRequest.requestId));
			return;
		}

		const {route, callerRequest} = resolved;
		const sinceFirstTryMs = this.firstTryEstimator.sinceFirstTryMs(route, callerRequest.remainingMs, receivedMs);
		const received: ReceivedRequest = {
			...resolved, request, response, body, receivedMs, sinceFirstTryMs, origin: undefined,
		};
		if (this.options.resumption.isResumed(resolved)) {
			await this.startResumed(received);
		} else {
			this.start(received);
		}
	}

	/** Starts a request that resumes a stream once it is known where the stream began, unless its caller has left or this host is about to stop by then. */
	private async startResumed(received: ReceivedRequest): Promise<void> {
		const {response, callerRequest} = received;
		const origin = await this.options.resumption.originOf(received);
		if (response.destroyed) {
			return;
		}

		if ('status' in origin) {
			this.refuse(response, origin);
		} else if (this.isRefusingUnstarted) {
			this.refuse(response, stoppingRefusal(callerRequest.requestId));
		} else {
			this.start({...received, origin});
		}
	}

	private refuse(response: ServerResponse, {requestId, status, reason, retryAfterMs, content, part}: Refusal): void {
		const {deploymentTracker, log, metrics} = this.options;
		log.info(requestLogMessages.refusedOnAdmission, {
			request: requestId, status, reason, version: deploymentTracker.version, content, promptPart: part,
		});
		metrics.increment('requests.turnedAway', 1, {status: String(status)});
		sendHostResponse(response, status, reason, retryAfterMs);
	}

	private start(received: ReceivedRequest): void {
		const {response, receivedMs} = received;
		const {predictRun, metrics} = this.options;
		const plan = this.planOf(received);
		const refusal = admissionRefusal(received, plan, this.options, receivedMs);
		if (refusal) {
			if (refusal.content !== undefined || refusal.part !== undefined) {
				metrics.increment('quarantine.refused', 1, {route: plan.pipeline});
			}

			this.refuse(response, refusal);
			return;
		}

		const prediction = predictRun(plan.stages[0], receivedMs);
		if (!plan.needsPreparation) {
			this.run({received, plan, prediction});
			return;
		}

		const {requestId, deadlineMs} = plan;
		const stepRequest: StepRequest = {
			...received, requestId, deadlineMs, firstTokenMs: prediction.firstTokenMs,
		};
		const asks = this.stepAdmission.asksOf(stepRequest);
		if (asks.length > 0) {
			detach('admission of a request', this.startByQuotes({received, plan, prediction}, stepRequest, asks), () => {
				response.destroy();
			});
			return;
		}

		this.startIfAdmitted({received, plan, prediction}, this.stepAdmission.admitByWaits(stepRequest));
	}

	/**
	Starts a request once the schedulers of its pools have answered. It is open meanwhile, and its send to a bounded pool is
	reserved, as other requests are admitted before the answer is there.
	*/
	private async startByQuotes(admitted: AdmittedRequest, stepRequest: StepRequest, asks: readonly PoolAsk[]): Promise<void> {
		const {received: {response}, plan: {requestId, stages: [{pool}]}} = admitted;
		const reservation = this.options.admission.reserve(pool);
		this.openRequests.add(requestId);
		let isStarted = false;
		try {
			const verdict = await this.stepAdmission.admitByQuotes(stepRequest, asks, () => response.destroyed || this.isRefusingUnstarted);
			if (verdict) {
				isStarted = this.startIfAdmitted({...admitted, reservation}, verdict);
			} else if (!response.destroyed) {
				this.refuse(response, stoppingRefusal(stepRequest.callerRequest.requestId));
			}
		} catch (error) {
			this.fail(response, error);
		} finally {
			// A request that failed while it was started has released both.
			if (!isStarted && !this.mayHaveRun.has(response)) {
				reservation.dispose();
				this.openRequests.delete(requestId);
			}
		}
	}

	/** @returns whether the request was started; otherwise it was refused. */
	private startIfAdmitted(admitted: AdmittedRequest, verdict: StepVerdict): boolean {
		if (!verdict.isAdmitted) {
			sendHostResponse(admitted.received.response, hostStatuses.unavailable, 'Not run: the queues before it are too long', verdict.retryAfterMs);
			return false;
		}

		this.run({...admitted, scheduling: verdict.scheduling});
		return true;
	}

	private run(admitted: AdmittedRequest): void {
		const {received, plan, scheduling, reservation} = admitted;
		const {request, response, callerRequest} = received;
		const {links, runner, clock, log, metrics} = this.options;
		const preparer = plan.needsPreparation ? this.preparerFor(admitted) : undefined;
		this.openRequests.add(plan.requestId);
		this.mayHaveRun.add(response);
		ServedRequest.create({
			plan,
			callerRequest,
			response,
			links,
			preparer,
			reservation: reservation ?? (plan.needsPreparation ? this.options.admission.reserve(plan.stages[0].pool) : undefined),
			clock,
			log,
			metrics,
			isHead: request.method === 'HEAD',
			targetMs: received.route.targetMs,
			sinceFirstTryMs: Math.round(received.sinceFirstTryMs),
			latePredictedMs: scheduling?.latePredictedMs,
			onStreamBegun: received.origin
				? undefined
				: origin => {
					this.options.resumption.recordBegun(received, origin);
				},
			onEnded: ending => {
				if (ending === responseEndings.cutOff || ending === responseEndings.mismatched) {
					this.connections.attribute(response, connectionEndings.cutOff);
				}

				this.openRequests.delete(plan.requestId);
			},
			onFailed: error => {
				this.fail(response, error);
			},
		}).start(runner);
	}

	private planOf(received: ReceivedRequest): RequestPlan {
		const {request, index, route, workspace, callerRequest, body, receivedMs, origin} = received;
		const {random, isOpen} = this.options;
		const pool = origin?.pool ?? choosePool(route, random, each => isOpen(each, receivedMs));
		return makeDirectPlan({
			requestId: this.openRequests.uniqueIdFor(callerRequest.requestId),
			workspace: workspace?.name ?? '',
			route,
			version: index.version,
			pool,
			engineSlots: index.pool(pool)?.engine?.slots,
			http: {
				kind: 'http', method: request.method ?? 'GET', path: request.url ?? '/', headers: [...callerRequest.forwardedHeaders], body,
			},
			promptParts: route.hasAffinity ? callerRequest.promptParts : [],
			sharedParts: sharedPartKeys(callerRequest.promptParts),
			needsPreparation: needsPreparation(received),
			remainingMs: callerRequest.remainingMs,
			origin,
		}, receivedMs);
	}

	private preparerFor({received, plan, prediction, scheduling}: AdmittedRequest): Preparer {
		const {requestId, workspace, http, deadlineMs} = plan;
		const {hall, firstTokenMs} = prediction;
		const {route, callerRequest, receivedMs, sinceFirstTryMs} = received;
		return this.options.makePreparer({
			requestId,
			callerRequestId: callerRequest.requestId,
			contentId: contentIdOf({workspace, http: http!}),
			route,
			pieceCounts: callerRequest.pieceCounts,
			pieceKey: callerRequest.pieceKey,
			rank: rankOf(received),
			receivedMs,
			// The target counts from the caller's first try, so that a request that can no longer meet its target yields to others.
			targetMs: receivedMs + route.targetMs - sinceFirstTryMs,
			deadlineMs,
			hall,
			firstTokenMs,
			scheduling,
		});
	}
}

/** Returns the valid time limit of an HTTP server that is closest to a declared one. With a negative time, setting the timer of a connection throws. */
function serverTimeoutOf(declaredMs: number): number {
	return Math.min(maxServerTimeoutMs, Math.max(0, declaredMs));
}

/** Refuses a request because this host is about to stop; another host can serve it. */
function stoppingRefusal(requestId: string): Refusal {
	return {
		requestId, status: hostStatuses.unavailable, reason: 'this host is about to stop', retryAfterMs: otherHostRetryAfterMs,
	};
}

/** HTTP ingress for callers of a deployment: accepts requests for any path, routes them by the current declaration and forwards them directly to upstreams. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {InjectionToken} from 'tsyringe';
import {setRepeating, type Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import {messageOf} from '../../base/common/errors.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import type {CallerLimits} from '../../deployment/common/declaration.js';
import type {DeploymentTracker} from '../../deployment/common/deployment-tracker.js';
import {admit, type WaitEstimator} from '../../preparation/common/admission.js';
import type {Preparer, PreparationRequest} from '../../preparation/node/preparer.js';
import {contentIdOf} from '../../quarantine/common/request-content.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {otherHostRetryAfterMs, type RequestPlan, type StagePlan} from '../../request/common/request-plan.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import type {Endpoint} from '../../wire/common/endpoint.js';
import {listenOn} from '../../wire/node/listen.js';
import type {CallerProtocol} from '../common/caller-protocol.js';
import {choosePool, makeDirectPlan} from '../common/direct-plan.js';
import {FirstTryEstimator} from '../common/first-try-estimator.js';
import type {RunPrediction} from '../common/direct-router.js';
import type {DirectLinks} from './direct-links.js';
import {admissionRefusal, type AdmissionChecks} from './admission-checks.js';
import {sendHostResponse} from './pass-through-writer.js';
import {readBody} from './read-request.js';
import {
	hostStatuses, rankOf, resolveRequest, type ResolvedRequest, type Refusal,
} from './resolve-request.js';
import {ServedRequest} from './served-request.js';

/** Maximum size of a head that is read at all; the declaration's own limit is checked in addition. */
const maxHeadBytes = 64 * 1024;
/** Interval at which connections are checked for exceeded time limits. */
const connectionCheckMs = 1000;

/** Dependencies of the ingress. */
export type IngressOptions = AdmissionChecks & {
	readonly deploymentTracker: DeploymentTracker;
	readonly links: DirectLinks;
	readonly runner: RequestRunner;
	readonly protocol: CallerProtocol;
	readonly makePreparer: (request: PreparationRequest) => Preparer;
	/** Predicts where a request with a shared prompt part will most likely run. */
	readonly predictRun: (stage: StagePlan, nowMs: number) => RunPrediction;
	/** Waiting times of the queues for preparation steps. */
	readonly waits: WaitEstimator;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Metrics;
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
};

export const ingressToken: InjectionToken<Ingress> = Symbol('Ingress');

/** Accepts callers' requests and the load balancer's readiness checks. */
export class Ingress implements Disposable {
	static create(options: IngressOptions): Ingress {
		return new Ingress(options);
	}

	private readonly callers: Server;
	private readonly readiness: Server;
	private readonly disposables = DisposableStore.create();
	/** Ids of the requests that this host is serving, by which messages are matched to their request. */
	private readonly openIds = new Set<string>();
	private readonly firstTryEstimator = FirstTryEstimator.create();
	private serial = 0;
	private hasStoppedAccepting = false;
	/** Number of requests that are being received or checked. */
	private receivingCount = 0;

	private constructor(private readonly options: IngressOptions) {
		this.callers = createServer({
			maxHeaderSize: maxHeadBytes, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: connectionCheckMs,
		}, (request, response) => {
			void this.handle(request, response);
		});
		this.callers.on('clientError', (error, socket) => {
			// The bytes are not a valid HTTP request: nothing was run, and other connections are not affected.
			options.log.debug('A caller sent bytes that are not a valid HTTP request.', {reason: error.message});
			socket.destroy();
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
		return this.openIds.size + this.receivingCount;
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
	Stops accepting requests: new connections are not accepted, requests on open ones are refused as not run, and idle
	connections are closed periodically until the ingress is disposed.
	*/
	stopAccepting(): void {
		this.hasStoppedAccepting = true;
		this.callers.close();
		this.disposables.add(setRepeating(this.options.clock, () => connectionCheckMs / 2, () => {
			this.callers.closeIdleConnections();
		}));
	}

	/** Refuses requests that have not been sent to an upstream, as the process is about to exit. */
	refuseUnstarted(): void {
		this.options.runner.refuseUnstarted();
	}

	dispose(): void {
		this.disposables.dispose();
		this.callers.close();
		this.readiness.close();
		this.callers.closeAllConnections();
		this.readiness.closeAllConnections();
	}

	private applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.callers.headersTimeout = headerTimeoutMs;
		this.callers.keepAliveTimeout = idleTimeoutMs;
	}

	/** Confines an error in one request to its own connection, and logs it. */
	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.receivingCount++;
		try {
			await this.serve(request, response);
		} catch (error) {
			this.options.log.error('Could not serve a request.', {reason: messageOf(error)});
			response.destroy();
		} finally {
			this.receivingCount--;
		}
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const receivedMs = this.options.clock.nowMs();
		if (this.options.isLeaving()) {
			response.shouldKeepAlive = false;
		}

		if (this.hasStoppedAccepting) {
			this.refuse(response, {
				requestId: '', status: hostStatuses.unavailable, reason: 'this host is about to stop', retryAfterMs: otherHostRetryAfterMs,
			});
			return;
		}

		const resolved = resolveRequest(request, this.options.deploymentTracker.current, this.options.protocol);
		if ('status' in resolved) {
			this.refuse(response, resolved);
			return;
		}

		const body = await readBody(request, resolved.index.deployment.limits.maxBodyBytes);
		if (body === 'gone') {
			return;
		}

		if (body === 'tooLarge') {
			response.shouldKeepAlive = false;
			this.refuse(response, {requestId: resolved.callerRequest.requestId, status: hostStatuses.bodyTooLarge, reason: 'the body is larger than the limit'});
			return;
		}

		const {route, callerRequest} = resolved;
		const sinceFirstTryMs = this.firstTryEstimator.sinceFirstTryMs(route.name, route.timeoutMs, callerRequest.remainingMs, receivedMs);
		this.start({
			...resolved, request, response, body, receivedMs, sinceFirstTryMs,
		});
	}

	private refuse(response: ServerResponse, {requestId, status, reason, retryAfterMs, content}: Refusal): void {
		const {deploymentTracker, log, metrics} = this.options;
		log.info(requestLogMessages.refusedOnAdmission, {
			request: requestId, status, reason, version: deploymentTracker.version, content,
		});
		metrics.increment('requests.turnedAway', 1, {status: String(status)});
		sendHostResponse(response, status, reason, retryAfterMs);
	}

	private start(received: ReceivedRequest): void {
		const {request, response, callerRequest, receivedMs} = received;
		const {links, runner, predictRun, clock, log, metrics} = this.options;
		const plan = this.planOf(received);
		const refusal = admissionRefusal(received, plan, this.options, receivedMs);
		if (refusal) {
			if (refusal.content !== undefined) {
				metrics.increment('quarantine.refused', 1, {route: plan.pipeline});
			}

			this.refuse(response, refusal);
			return;
		}

		const prediction = predictRun(plan.stages[0], receivedMs);
		if (plan.needsPreparation && !this.admitSteps(received, prediction.firstTokenMs)) {
			return;
		}

		const preparer = plan.needsPreparation ? this.preparerFor(received, plan, prediction) : undefined;
		const reservation = plan.needsPreparation ? this.options.admission.reserve(plan.stages[0].pool) : undefined;
		this.openIds.add(plan.requestId);
		ServedRequest.create({
			plan,
			callerRequest,
			response,
			links,
			preparer,
			reservation,
			clock,
			log,
			metrics,
			isHead: request.method === 'HEAD',
			targetMs: received.route.targetMs,
			sinceFirstTryMs: Math.round(received.sinceFirstTryMs),
			onEnded: () => {
				this.openIds.delete(plan.requestId);
			},
		}).start(runner);
	}

	private planOf({request, index, route, workspace, callerRequest, body, receivedMs}: ReceivedRequest): RequestPlan {
		const {random, isOpen} = this.options;
		const pool = choosePool(route, random, each => isOpen(each, receivedMs));
		return makeDirectPlan({
			requestId: this.uniqueIdFor(callerRequest.requestId),
			workspace: workspace?.name ?? '',
			route,
			version: index.version,
			pool,
			engineSlots: index.pool(pool)?.engine?.slots,
			http: {
				kind: 'http', method: request.method ?? 'GET', path: request.url ?? '/', headers: [...callerRequest.forwardedHeaders], body,
			},
			promptParts: route.hasAffinity ? callerRequest.promptParts : [],
			needsPreparation: route.steps.length > 0 && callerRequest.pieceCounts.some(count => count > 0),
			remainingMs: callerRequest.remainingMs,
		}, receivedMs);
	}

	/**
	Decides whether the preparation steps of a request can still complete in time, and refuses it if not.
	@returns whether the request was admitted.
	*/
	private admitSteps(received: ReceivedRequest, firstTokenMs: number): boolean {
		const {response, index, route, callerRequest} = received;
		const {random, waits, log, metrics} = this.options;
		const rank = rankOf(received);
		const admission = admit({
			index, route, pieceCounts: callerRequest.pieceCounts, rank, firstTokenMs, sinceFirstTryMs: received.sinceFirstTryMs, jitter: random.next(),
		}, waits);
		if (admission.isAdmitted) {
			return true;
		}

		const {predictedMs, retryAfterMs} = admission;
		log.info(requestLogMessages.refusedForPredictedWait, {
			request: callerRequest.requestId,
			route: route.name,
			rank,
			predictedMs: Math.round(predictedMs),
			targetMs: route.targetMs,
			retryAfterMs: Math.round(retryAfterMs),
			sinceFirstTryMs: Math.round(received.sinceFirstTryMs),
		});
		metrics.increment('requests.refusedAtDoor', 1, {route: route.name});
		sendHostResponse(response, hostStatuses.unavailable, 'Not run: the queues before it are too long', retryAfterMs);
		return false;
	}

	private preparerFor(received: ReceivedRequest, {requestId, workspace, http, deadlineMs}: RequestPlan, {hall, firstTokenMs}: RunPrediction): Preparer {
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
		});
	}

	/** Returns the caller's id of the request, made unique on this host if it is empty or in use by another request. */
	private uniqueIdFor(callerRequestId: string): string {
		if (callerRequestId !== '' && !this.openIds.has(callerRequestId)) {
			return callerRequestId;
		}

		this.serial++;
		return `${callerRequestId}~${this.serial}`;
	}
}

/** The door for callers of a deployment: any path, routed by the declaration in force, passed straight to upstreams. */
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
import {admit, type PoolWaits} from '../../preparation/common/admission.js';
import type {Preparer, PreparationAsk} from '../../preparation/node/preparer.js';
import {contentIdOf} from '../../quarantine/common/request-content.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {otherHostMs, type RequestPlan, type StagePlan} from '../../request/common/request-plan.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import type {Endpoint} from '../../wire/common/endpoint.js';
import {listenOn} from '../../wire/node/listen.js';
import type {CallerProtocol} from '../common/caller-protocol.js';
import {choosePool, makeDirectPlan} from '../common/direct-plan.js';
import {FirstTries} from '../common/first-tries.js';
import type {LikelyPlace} from '../common/direct-router.js';
import type {DirectLinks} from './direct-links.js';
import {doorRefusal, type DoorChecks} from './door-checks.js';
import {sendOwn} from './pass-through-writer.js';
import {readBody} from './read-request.js';
import {
	ownStatuses, rankOf, recognize, type Recognized, type Refusal,
} from './recognize-request.js';
import {ServedRequest} from './served-request.js';

/** Longest head that is read at all; the declaration's own limit is checked besides. */
const mostHeadBytes = 64 * 1024;
/** How often connections are looked through for those past their limits. */
const checkMs = 1000;
/** What the door is made of. */
export type IngressOptions = DoorChecks & {
	readonly board: DeploymentTracker;
	readonly links: DirectLinks;
	readonly runner: RequestRunner;
	readonly protocol: CallerProtocol;
	readonly makePreparer: (ask: PreparationAsk) => Preparer;
	/** Tells where a request with a shared part will most likely run. */
	readonly likelyPlace: (stage: StagePlan, nowMs: number) => LikelyPlace;
	/** Waits of the queues for steps. */
	readonly waits: PoolWaits;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Metrics;
	/** Why this host should get no new connections, or nothing if it should. */
	readonly notReadyReason: () => string | undefined;
	/** Whether answers ask their callers to use another connection next time. */
	readonly isLeaving: () => boolean;
};

/** A request that is here whole. */
type Arrival = Recognized & {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Uint8Array;
	readonly receivedMs: number;
	/** How long ago its caller first asked. */
	readonly sinceFirstTryMs: number;
};
export const ingressToken: InjectionToken<Ingress> = Symbol('Ingress');

/** Takes callers' requests and the balancer's questions. */
export class Ingress implements Disposable {
	static create(options: IngressOptions): Ingress {
		return new Ingress(options);
	}

	private readonly callers: Server;
	private readonly readiness: Server;
	private readonly owned = DisposableStore.create();
	/** Ids in the hands of this host, by which messages find their request. */
	private readonly openIds = new Set<string>();
	private readonly firstTries = FirstTries.create();
	private serial = 0;
	private hasStoppedTaking = false;
	/** Requests whose body has not come whole. */
	private receivingCount = 0;

	private constructor(private readonly options: IngressOptions) {
		this.callers = createServer({
			maxHeaderSize: mostHeadBytes, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: checkMs,
		}, (request, response) => {
			void this.guard(request, response);
		});
		this.callers.on('clientError', (error, socket) => {
			// Bytes that are no request: nothing was run, and nothing else on this host is disturbed.
			options.log.debug('A caller sent bytes that are no request.', {reason: error.message});
			socket.destroy();
		});
		this.readiness = createServer((_request, response) => {
			const reason = options.notReadyReason();
			sendOwn(response, reason === undefined ? 200 : ownStatuses.unavailable, reason ?? 'ready');
		});
		this.owned.add(options.board.onDidChange(({deployment}) => {
			this.applyLimits(deployment.limits);
		}));
	}

	/** Requests that have not ended. */
	get openCount(): number {
		return this.openIds.size + this.receivingCount;
	}

	/**
	Starts taking requests.
	@param callers - where callers come.
	@param readiness - where the balancer asks.
	@returns where it listens.
	@throws UnavailableError when an address can't be had.
	*/
	async listen(callers: Endpoint, readiness: Endpoint): Promise<{readonly callers: Endpoint; readonly readiness: Endpoint}> {
		return {callers: await listenOn(this.callers, callers), readiness: await listenOn(this.readiness, readiness)};
	}

	/**
	Takes no more: new connections are not accepted, requests on open ones are refused as not run, and
	connections that carry nothing are closed until disposed.
	*/
	stopTaking(): void {
		this.hasStoppedTaking = true;
		this.callers.close();
		this.owned.add(setRepeating(this.options.clock, () => checkMs / 2, () => {
			this.callers.closeIdleConnections();
		}));
	}

	/** Refuses what has not been sent to an upstream: the process ends in a moment. */
	refuseUnstarted(): void {
		this.options.runner.refuseUnstarted();
	}

	dispose(): void {
		this.owned.dispose();
		this.callers.close();
		this.readiness.close();
		this.callers.closeAllConnections();
		this.readiness.closeAllConnections();
	}

	private applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.callers.headersTimeout = headerTimeoutMs;
		this.callers.keepAliveTimeout = idleTimeoutMs;
	}

	/** Whatever one request brings about ends with its own connection, and is told of. */
	private async guard(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.receivingCount++;
		try {
			await this.serve(request, response);
		} catch (error) {
			this.options.log.error('A request could not be served.', {reason: messageOf(error)});
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

		if (this.hasStoppedTaking) {
			this.refuse(response, {
				requestId: '', status: ownStatuses.unavailable, reason: 'this host is about to stop', retryAfterMs: otherHostMs,
			});
			return;
		}

		const recognized = recognize(request, this.options.board.current, this.options.protocol);
		if ('status' in recognized) {
			this.refuse(response, recognized);
			return;
		}

		const body = await readBody(request, recognized.index.deployment.limits.maxBodyBytes);
		if (body === 'gone') {
			return;
		}

		if (body === 'tooLarge') {
			response.shouldKeepAlive = false;
			this.refuse(response, {requestId: recognized.ask.requestId, status: ownStatuses.bodyTooLarge, reason: 'the body is larger than the limit'});
			return;
		}

		const {route, ask} = recognized;
		const sinceFirstTryMs = this.firstTries.sinceFirstTryMs(route.name, route.timeoutMs, ask.remainingMs, receivedMs);
		this.start({
			...recognized, request, response, body, receivedMs, sinceFirstTryMs,
		});
	}

	private refuse(response: ServerResponse, {requestId, status, reason, retryAfterMs, content}: Refusal): void {
		const {board, log, metrics} = this.options;
		log.info(requestLogMessages.turnedAway, {
			request: requestId, status, reason, version: board.version, content,
		});
		metrics.increment('requests.turnedAway', 1, {status: String(status)});
		sendOwn(response, status, reason, retryAfterMs);
	}

	private start(arrival: Arrival): void {
		const {request, response, ask, receivedMs} = arrival;
		const {links, runner, likelyPlace, clock, log, metrics} = this.options;
		const plan = this.planOf(arrival);
		const refusal = doorRefusal(arrival, plan, this.options, receivedMs);
		if (refusal) {
			if (refusal.content !== undefined) {
				metrics.increment('quarantine.refused', 1, {route: plan.pipeline});
			}

			this.refuse(response, refusal);
			return;
		}

		const place = likelyPlace(plan.stages[0], receivedMs);
		if (plan.needsPreparation && !this.admitSteps(arrival, place.firstMs)) {
			return;
		}

		const preparer = plan.needsPreparation ? this.preparerFor(arrival, plan, place) : undefined;
		const reservation = plan.needsPreparation ? this.options.admission.reserve(plan.stages[0].pool) : undefined;
		this.openIds.add(plan.requestId);
		ServedRequest.create({
			plan,
			ask,
			response,
			links,
			preparer,
			reservation,
			clock,
			log,
			metrics,
			isHead: request.method === 'HEAD',
			targetMs: arrival.route.targetMs,
			sinceFirstTryMs: Math.round(arrival.sinceFirstTryMs),
			ended: () => {
				this.openIds.delete(plan.requestId);
			},
		}).start(runner);
	}

	private planOf({request, index, route, workspace, ask, body, receivedMs}: Arrival): RequestPlan {
		const {random, isOpen} = this.options;
		const pool = choosePool(route, random, each => isOpen(each, receivedMs));
		return makeDirectPlan({
			requestId: this.idFor(ask.requestId),
			workspace: workspace?.name ?? '',
			route,
			version: index.version,
			pool,
			engineSlots: index.pool(pool)?.engine?.slots,
			http: {
				kind: 'http', method: request.method ?? 'GET', path: request.url ?? '/', headers: [...ask.passedHeaders], body,
			},
			promptParts: route.hasAffinity ? ask.promptParts : [],
			needsPreparation: route.steps.length > 0 && ask.pieceCounts.some(count => count > 0),
			remainingMs: ask.remainingMs,
		}, receivedMs);
	}

	/**
	Decides whether the steps of a request can still be in time, and refuses it if not.
	@returns whether it goes on.
	*/
	private admitSteps(arrival: Arrival, afterwardsMs: number): boolean {
		const {response, index, route, ask} = arrival;
		const {random, waits, log, metrics} = this.options;
		const rank = rankOf(arrival);
		const admission = admit({
			index, route, pieceCounts: ask.pieceCounts, rank, afterwardsMs, sinceFirstTryMs: arrival.sinceFirstTryMs, chance: random.next(),
		}, waits);
		if (admission.isAdmitted) {
			return true;
		}

		const {predictedMs, retryAfterMs} = admission;
		log.info(requestLogMessages.refusedAtDoor, {
			request: ask.requestId,
			route: route.name,
			rank,
			predictedMs: Math.round(predictedMs),
			targetMs: route.targetMs,
			retryAfterMs: Math.round(retryAfterMs),
			sinceFirstTryMs: Math.round(arrival.sinceFirstTryMs),
		});
		metrics.increment('requests.refusedAtDoor', 1, {route: route.name});
		sendOwn(response, ownStatuses.unavailable, 'Not run: the queues before it are too long', retryAfterMs);
		return false;
	}

	private preparerFor(arrival: Arrival, {requestId, workspace, http, deadlineMs}: RequestPlan, {hall, firstMs}: LikelyPlace): Preparer {
		const {route, ask, receivedMs, sinceFirstTryMs} = arrival;
		return this.options.makePreparer({
			requestId,
			callerRequestId: ask.requestId,
			contentId: contentIdOf({workspace, http: http!}),
			route,
			pieceCounts: ask.pieceCounts,
			pieceKey: ask.pieceKey,
			rank: rankOf(arrival),
			receivedMs,
			// What counts for a caller is the time from its first try: one that can't be in time any more gives way.
			targetMs: receivedMs + route.targetMs - sinceFirstTryMs,
			deadlineMs,
			hall,
			afterwardsMs: firstMs,
		});
	}

	/** The caller's own name of the request, made unique on this host where two have the same. */
	private idFor(callerRequestId: string): string {
		if (callerRequestId !== '' && !this.openIds.has(callerRequestId)) {
			return callerRequestId;
		}

		this.serial++;
		return `${callerRequestId}~${this.serial}`;
	}
}

/** One entry host: the HTTP interfaces for callers and operators, which share requests, links and settings. */
import type {Server} from 'node:http';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {lifecyclePhases, type LifecycleManager} from '../../base/common/lifecycle.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {MemberTable} from '../../membership/common/member-table.js';
import type {PlacementService} from '../../placement/common/placement-service.js';
import type {ClaimStore} from '../../request/common/claim-store.js';
import type {SettingsService} from '../../settings/common/settings-service.js';
import type {SettingsSync} from '../../settings/node/settings-sync.js';
import type {Identity} from '../../wire/common/messages.js';
import {CallerConnections} from '../../wire/node/caller-connections.js';
import {listenOn} from '../../wire/node/listen.js';
import type {Endpoint, TlsMaterial, WireServer} from '../../wire/node/wire-server.js';
import {type Accounting, type EntryReport} from '../common/accounting.js';
import type {FleetRouter} from '../common/fleet-router.js';
import type {EntryStatus, UpstreamStatus} from '../common/status.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import {CallersApi} from './callers-api.js';
import type {FleetLinks} from './fleet-links.js';
import {makeHttpServer} from './http-common.js';
import {OperatorsApi} from './operators-api.js';
import type {PeerLinks} from './peer-links.js';

const drainCheckIntervalMs = 20;
/** Maximum time for which a stopping entry tries to store the outcomes of requests that run at most once. */
const settleTimeoutMs = 5000;
/** Maximum time for which a stopping entry writes the last responses to callers that read slowly. */
const writeTimeoutMs = 5000;

/** Endpoints that an entry listens on. */
export type EntryEndpoints = {readonly wire: Endpoint; readonly callers: Endpoint; readonly operators: Endpoint};

/** Dependencies of an entry. */
export type EntryOptions = {
	readonly identity: Identity;
	readonly settings: SettingsService;
	readonly sync: SettingsSync;
	readonly members: MemberTable;
	readonly router: FleetRouter;
	readonly links: FleetLinks;
	readonly peers: PeerLinks;
	readonly runner: RequestRunner;
	readonly claims: ClaimStore;
	readonly accounting: Accounting;
	readonly server: WireServer;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly lifecycle: LifecycleManager;
	readonly tls: TlsMaterial | undefined;
	readonly bootstrapTokenHash: string | undefined;
	/** Time for which a stopping entry keeps serving, so that the load balancer removes it first. */
	readonly stopGraceMs: number;
	readonly placement: PlacementService;
};

/** Runs an entry. */
export class EntryService implements Disposable {
	static create(options: EntryOptions): EntryService {
		return new EntryService(options);
	}

	private readonly callersServer: Server;
	private readonly operatorsServer: Server;
	private readonly connections: CallerConnections;
	private hasStoppedAccepting = false;

	private constructor(private readonly options: EntryOptions) {
		this.callersServer = makeHttpServer(options.tls);
		this.operatorsServer = makeHttpServer(options.tls);
		this.connections = CallerConnections.create({
			server: this.callersServer, clock: options.clock, log: options.log, metrics: options.metrics,
		});
		CallersApi.create({
			...options,
			connections: this.connections,
			incarnation: options.identity.incarnation,
			notReadyReason: () => this.notReadyReason(),
			isStopAnnounced: () => options.lifecycle.phase !== lifecyclePhases.running,
		}).attachTo(this.callersServer);
		OperatorsApi.create({
			log: options.log,
			settings: options.settings,
			bootstrapTokenHash: options.bootstrapTokenHash,
			status: () => this.status(),
			report: (): EntryReport => options.accounting.report(),
			drain: upstreamId => this.drainUpstream(upstreamId),
		}).attachTo(this.operatorsServer);
		options.lifecycle.onWillStop(event => {
			event.waitFor(this.drain());
		});
	}

	/**
	Loads the current settings and host list, then listens for callers and operators.
	@param endpoints - endpoints to listen on.
	@returns the endpoints with the ports in use.
	*/
	async start(endpoints: EntryEndpoints): Promise<EntryEndpoints> {
		const {sync, links, peers, server, log} = this.options;
		const wire = await server.listen(endpoints.wire);
		await sync.poll();
		await links.readList();
		await peers.readList();
		const callers = await listenOn(this.callersServer, endpoints.callers);
		const operators = await listenOn(this.operatorsServer, endpoints.operators);
		log.info('The entry takes requests.', {callers: callers.port, operators: operators.port});
		return {wire, callers, operators};
	}

	status(): EntryStatus {
		const {identity, settings, runner, members, sync, lifecycle} = this.options;
		const {leaseEpoch} = this.options.placement;
		const notReadyReason = this.notReadyReason();
		return {
			hostId: identity.hostId,
			hall: identity.hall,
			incarnation: identity.incarnation,
			phase: lifecycle.phase,
			...(notReadyReason !== undefined && {notReadyReason}),
			settingsRevision: settings.tree.revision,
			requestsInFlight: runner.size,
			droppedMessages: runner.droppedCount,
			...(leaseEpoch !== undefined && {leaseEpoch}),
			hosts: sync.revisionTracker.all(),
			upstreams: members.all().map(member => this.upstreamStatus(member.upstreamId)).filter(item => item !== undefined),
		};
	}

	dispose(): void {
		this.connections.reportPlannedStop();
		this.callersServer.close();
		this.callersServer.closeAllConnections();
		this.operatorsServer.close();
		this.operatorsServer.closeAllConnections();
	}

	private upstreamStatus(upstreamId: string): UpstreamStatus | undefined {
		const {members, router, clock} = this.options;
		const member = members.all().find(item => item.upstreamId === upstreamId);
		const stats = router.statsOf(upstreamId);
		if (!member || !stats) {
			return undefined;
		}

		const {pool, hall, hostId, incarnation} = member;
		const nowMs = clock.nowMs();
		return {
			upstreamId,
			pool,
			hall,
			hostId,
			incarnation,
			state: members.stateOf(upstreamId, nowMs),
			isEjected: router.isEjected(upstreamId, nowMs),
			inFlight: stats.inFlight,
			...(stats.slowness !== undefined && {slowness: stats.slowness}),
			...(stats.load && {load: stats.load}),
		};
	}

	private notReadyReason(): string | undefined {
		if (this.hasStoppedAccepting) {
			return 'this host is stopping';
		}

		return this.options.settings.tree.revision === 0 ? 'no settings are known yet, neither from the store nor from a peer' : undefined;
	}

	private drainUpstream(upstreamId: string): boolean {
		const member = this.options.members.all().find(item => item.upstreamId === upstreamId);
		return member !== undefined && this.options.links.send(upstreamId, {type: 'drain', incarnation: member.incarnation});
	}

	/** Keeps serving while the stop is announced, then waits until the requests in flight have finished. */
	private async drain(): Promise<void> {
		const {log, runner, stopGraceMs} = this.options;
		log.info('The entry is stopping and finishes its requests in flight.', {inFlight: runner.size});
		await this.options.placement.release();
		await this.wait(stopGraceMs);
		this.hasStoppedAccepting = true;
		while (runner.size > 0) {
			await this.wait(drainCheckIntervalMs);
		}

		const settleByMs = this.options.clock.nowMs() + settleTimeoutMs;
		while (!this.options.claims.isSettled && this.options.clock.nowMs() < settleByMs) {
			await this.wait(drainCheckIntervalMs);
		}

		this.connections.stopAccepting();
		const writtenByMs = this.options.clock.nowMs() + writeTimeoutMs;
		while (this.connections.openCount > 0 && this.options.clock.nowMs() < writtenByMs) {
			await this.wait(drainCheckIntervalMs);
		}

		this.connections.closeIdle();
		await this.wait(drainCheckIntervalMs);
	}

	private async wait(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.options.clock.setTimer(delayMs, resolve);
		});
	}
}

/**
Composes, in one place, all components of an entry that calls upstreams itself.

Omitted, because a deployment of this kind provides them from outside: claims (callers repeat a request that must run at most once
only after a guarantee that it has not run), the settings tree and its order of changes (the platform's store accepts
declarations), the placement lease and orders, and the agents.
*/
import type {InjectionToken} from 'tsyringe';
import {setRepeating} from '../../base/common/clock.js';
import {randomToken} from '../../base/common/random.js';
import {newId} from '../../base/node/ids.js';
import {deploymentTrackerToken} from '../../deployment/common/deployment-tracker.js';
import {hallDrainsToken} from '../../deployment/common/hall-drains.js';
import {leavingServersToken} from '../../deployment/common/leaving-servers.js';
import {VersionHistory, versionHistoryToken} from '../../deployment/common/version-history.js';
import {serverLimitsToken} from '../../deployment/common/server-limits.js';
import {serverNoticesToken} from '../../deployment/common/server-notices.js';
import {serverRegistryToken} from '../../deployment/common/server-registry.js';
import {BoundedAdmission} from '../../direct/common/bounded-admission.js';
import {DirectRouter} from '../../direct/common/direct-router.js';
import {EngineChooser} from '../../direct/common/engine-chooser.js';
import {PoolAvailability} from '../../direct/common/pool-availability.js';
import {DirectLinks} from '../../direct/node/direct-links.js';
import {Ingress, ingressToken} from '../../direct/node/ingress.js';
import {PromptUpdates} from '../../direct/node/prompt-updates.js';
import {isListening} from '../../deployment/node/server-liveness.js';
import {ListRefresher, listRefresherToken} from '../../deployment/node/list-refresher.js';
import {VersionArchiver} from '../../deployment/node/version-archiver.js';
import {StreamContinuity} from '../../direct/common/stream-continuity.js';
import {StreamDirectory} from '../../direct/node/stream-directory.js';
import {StreamResumption} from '../../direct/node/stream-resumption.js';
import {LeavingServerUpdates} from '../../peers/node/leaving-server-updates.js';
import {VersionHistoryUpdates} from '../../peers/node/version-history-updates.js';
import {ServerLimitUpdates} from '../../peers/node/server-limit-updates.js';
import {PeerMesh, peerMeshToken} from '../../peers/node/peer-mesh.js';
import {StateExchange} from '../../peers/node/state-exchange.js';
import {AdmissionAsks, admissionAsksToken} from '../../preparation/node/admission-asks.js';
import {BatchHandler, batchHandlerToken} from '../../preparation/node/batch-handler.js';
import {ItemTimes} from '../../preparation/common/item-times.js';
import {PoolLedger} from '../../preparation/common/pool-ledger.js';
import {ScheduledPoolsByIndex} from '../../preparation/common/scheduled-pools-by-index.js';
import {StepTimes} from '../../preparation/common/step-times.js';
import {BatchPool} from '../../preparation/node/batch-pool.js';
import {Preparer} from '../../preparation/node/preparer.js';
import {Quarantine, quarantineToken} from '../../quarantine/common/quarantine.js';
import {CrashDetector} from '../../quarantine/common/crash-detector.js';
import {PartQuarantine, partQuarantineToken} from '../../quarantine/common/part-quarantine.js';
import {TcpAddressCheck} from '../../quarantine/node/tcp-address-check.js';
import {QuarantineUpdates} from '../../quarantine/node/quarantine-updates.js';
import {RequestRunner} from '../../request/node/request-runner.js';
import {EngineLoads} from '../../routing/common/engine-loads.js';
import {sharedCapacityOf} from '../../routing/common/host-capacity.js';
import {PrefixIndex} from '../../routing/common/prefix-index.js';
import {RepeatBudgets, repeatBudgetsToken} from '../../routing/common/repeat-budgets.js';
import {reportedLoadsToken} from '../../routing/common/reported-load.js';
import {sendBoundsToken} from '../../routing/common/send-bounds.js';
import {serverRefusalsToken} from '../../routing/common/server-refusals.js';
import {SlackShare} from '../../routing/common/slack-share.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import type {WireClientOptions} from '../../wire/node/wire-client.js';
import {WireServer} from '../../wire/node/wire-server.js';
import type {DirectEntrySettings} from '../common/direct-settings.js';
import {
	declarationFeedToken, isListCurrent, isListShared, registerFeeds, serverFeedToken, storeAgeMs,
} from './compose-feeds.js';
import {registerState} from './compose-state.js';
import {wireOptionsToken, wireServerToken} from './daemon-tokens.js';
import {createComposition, type Composition, type PlatformPorts} from './direct-composition.js';
import {DirectEntry} from './direct-entry.js';

const engineChooserToken: InjectionToken<EngineChooser> = Symbol('EngineChooser');
const availabilityToken: InjectionToken<PoolAvailability> = Symbol('PoolAvailability');
const routerToken: InjectionToken<DirectRouter> = Symbol('DirectRouter');
const promptUpdatesToken: InjectionToken<PromptUpdates> = Symbol('PromptUpdates');
const crashDetectorToken: InjectionToken<CrashDetector> = Symbol('CrashDetector');
const streamDirectoryToken: InjectionToken<StreamDirectory> = Symbol('StreamDirectory');
const versionArchiverToken: InjectionToken<VersionArchiver> = Symbol('VersionArchiver');
const continuityToken: InjectionToken<StreamContinuity> = Symbol('StreamContinuity');
const linksToken: InjectionToken<DirectLinks> = Symbol('DirectLinks');

/** Share of an upstream's connections that all hosts together use; the remainder is reserved for hosts that have just joined. */
const usedConnectionShare = 0.8;
/** Connections that this host may always have to one upstream, regardless of the number of hosts. */
const minConnections = 4;
/** Interval of the check for servers that are missing from the list and can no longer come back. */
const sweepIntervalMs = 200;
/** Time limit of the check whether an upstream that stores results still runs: about what computing them again takes. */
const resultStoreCheckTimeoutMs = 300;

/**
Composes an entry.
@param settings - settings of the host.
@param ports - interfaces of the platform's adapter.
@param writeLine - receives the log lines; by default they go to standard output.
@returns the entry, not started.
*/
export function composeDirectEntry(settings: DirectEntrySettings, ports: PlatformPorts, writeLine?: (line: string) => void): DirectEntry {
	const composition = createComposition(settings, ports, writeLine);
	registerPeers(composition);
	registerState(composition);
	registerFeeds(composition);
	registerQuarantine(composition);
	registerUpstreams(composition);
	registerPreparation(composition);
	registerIngress(composition);
	synchronizeState(composition);
	return makeEntry(composition);
}

/** Registers the connections to the other hosts. */
function registerPeers({settings, lifecycle, clock, logOf, register, get, isLeaving}: Composition): void {
	register(wireOptionsToken, (): WireClientOptions => ({
		identity: {
			hostId: settings.hostId, incarnation: newId(), role: 'entry', hall: settings.hall,
		},
		keys: () => [{keyId: 'shared', secret: settings.wireSecret}],
		clock,
		random: get(randomToken),
	}));
	register(wireServerToken, () => lifecycle.register(WireServer.create(get(wireOptionsToken))));
	register(peerMeshToken, () => lifecycle.register(PeerMesh.create({
		server: get(wireServerToken),
		wire: get(wireOptionsToken),
		clock,
		log: logOf('peers'),
		ownState: () => ({
			deploymentVersion: get(deploymentTrackerToken).version,
			listRevision: get(serverRegistryToken).revision,
			isLeaving: isLeaving(),
			room: sharedCapacityOf(settings.capacity),
			storeAgeMs: storeAgeMs(get),
			...(get(hallDrainsToken).drainsForPeers.length > 0 && {hallDrains: [...get(hallDrainsToken).drainsForPeers]}),
		}),
	})));
}

/** Registers the quarantine, which finds out which requests crash the servers that run them. */
function registerQuarantine({lifecycle, clock, metrics, logOf, register, get}: Composition): void {
	register(crashDetectorToken, () => lifecycle.register(CrashDetector.create({registry: get(serverRegistryToken), check: TcpAddressCheck.create(), clock})));
	register(partQuarantineToken, () => lifecycle.register(PartQuarantine.create({
		crashDetector: get(crashDetectorToken), clock, log: logOf('quarantine'), metrics,
	})));
	register(quarantineToken, () => lifecycle.register(Quarantine.create({
		crashDetector: get(crashDetectorToken),
		parts: get(partQuarantineToken),
		clock,
		log: logOf('quarantine'),
		metrics,
	})));
}

/** Registers the choice of the upstream that serves a request, and the calls to upstreams. */
function registerUpstreams({settings, ports, lifecycle, clock, metrics, logOf, register, get, hostCount}: Composition): void {
	register(versionHistoryToken, () => VersionHistory.create({
		registry: get(serverRegistryToken),
		nowMs: () => clock.nowMs(),
		isListCurrent: () => isListCurrent(get) || isListShared(get, clock.nowMs()),
	}));
	register(versionArchiverToken, () => lifecycle.register(VersionArchiver.create({
		row: ports.versionArchive,
		history: get(versionHistoryToken),
		isFirstStart: settings.isFirstStart,
		isWriter: () => get(peerMeshToken).liveHosts.every(hostId => settings.hostId < hostId),
		clock,
		log: logOf('servers'),
	})));
	register(listRefresherToken, () => lifecycle.register(ListRefresher.create({
		source: ports.serverRefreshes, registry: get(serverRegistryToken), archiver: get(versionArchiverToken), clock,
	})));
	register(continuityToken, () => StreamContinuity.create({registry: get(serverRegistryToken), isListCurrent: () => isListCurrent(get)}));
	register(engineChooserToken, () => EngineChooser.create(EngineLoads.create()));
	register(availabilityToken, () => PoolAvailability.create({
		registry: get(serverRegistryToken), bounds: get(sendBoundsToken),
	}));
	register(repeatBudgetsToken, () => RepeatBudgets.create({
		bounds: settings.repeats,
		slack: SlackShare.create({viewOf: nowMs => get(peerMeshToken).fleetView(nowMs), startedMs: clock.nowMs(), isFirstStart: settings.isFirstStart}),
		log: logOf('requests'),
		metrics,
	}));
	register(routerToken, () => DirectRouter.create({
		hall: settings.hall,
		registry: get(serverRegistryToken),
		chooser: ScoreChooser.create(get(randomToken), PrefixIndex.create()),
		repeats: get(repeatBudgetsToken),
		newDispatchId: newId,
		engines: get(engineChooserToken),
		onPromptAssigned(serverId, prompt) {
			get(promptUpdatesToken).add(serverId, prompt);
		},
		quarantine: get(quarantineToken),
		availability: get(availabilityToken),
		refusals: get(serverRefusalsToken),
		loads: get(reportedLoadsToken),
		continuity: get(continuityToken),
	}));
	register(promptUpdatesToken, () => lifecycle.register(PromptUpdates.create({
		hostId: settings.hostId,
		capacity: sharedCapacityOf(settings.capacity),
		mesh: get(peerMeshToken),
		onPeerPrompt(serverId, parts) {
			get(routerToken).recordPeerPrompt(serverId, parts, clock.nowMs());
		},
		clock,
	})));
	register(streamDirectoryToken, () => lifecycle.register(StreamDirectory.create({hostId: settings.hostId, mesh: get(peerMeshToken), clock})));
	register(linksToken, () => lifecycle.register(DirectLinks.create({
		registry: get(serverRegistryToken),
		notices: get(serverNoticesToken),
		protocol: ports.upstreams,
		clock,
		log: logOf('requests'),
		metrics,
		maxConnections(pool) {
			const maxConnections = get(deploymentTrackerToken).current?.pool(pool)?.maxConnections ?? minConnections;
			return Math.max(minConnections, Math.floor((maxConnections * usedConnectionShare) / hostCount()));
		},
		onActivity(serverId, dispatchId) {
			get(routerToken).recordActivity(serverId, dispatchId, clock.nowMs());
		},
		onStreamHead(serverId, dispatchId) {
			get(routerToken).recordStreamHead(serverId, dispatchId, clock.nowMs());
		},
		quarantine: get(quarantineToken),
	})));
}

/** Registers the batches for the preparation of requests. */
function registerPreparation({settings, ports, lifecycle, clock, metrics, logOf, register, get, isLeaving}: Composition): void {
	const poolsByIndex = ScheduledPoolsByIndex.create();
	const isScheduled = (pool: string) => {
		const {current} = get(deploymentTrackerToken);
		return current !== undefined && poolsByIndex.of(current).has(pool);
	};

	register(batchHandlerToken, () => lifecycle.register(BatchHandler.create({
		hostId: settings.hostId,
		capacity: sharedCapacityOf(settings.capacity),
		mesh: get(peerMeshToken),
		clock,
		log: logOf('batches'),
		isLeaving,
		makePool(pool, onFinished, onInputsFetched) {
			const itemDurations = ItemTimes.create();
			return BatchPool.create({
				pool,
				tracker: get(deploymentTrackerToken),
				registry: get(serverRegistryToken),
				notices: get(serverNoticesToken),
				bounds: get(sendBoundsToken),
				loads: get(reportedLoadsToken),
				protocol: ports.batches,
				repeats: get(repeatBudgetsToken),
				quarantine: get(quarantineToken),
				clock,
				log: logOf('batches'),
				metrics,
				onFinished,
				onInputsFetched,
				scheduled: {isScheduled: () => isScheduled(pool), itemDurations},
				makeLedger: () => PoolLedger.create(itemDurations),
			});
		},
	})));
	register(admissionAsksToken, () => {
		const handler = get(batchHandlerToken);
		return lifecycle.register(AdmissionAsks.create({
			hostId: settings.hostId, mesh: get(peerMeshToken), clock, log: logOf('batches'), ownerOf: pool => handler.ownerOf(pool), ownPools: handler.quotes,
		}));
	});
}

/** Registers the servers for callers and for the load balancer's readiness checks. */
function registerIngress({ports, lifecycle, clock, metrics, logOf, register, get, isLeaving}: Composition): void {
	const notReadyReason = () => {
		if (isLeaving()) {
			return 'this host is about to stop';
		}

		return get(deploymentTrackerToken).current && get(serverRegistryToken).size > 0 ? undefined : 'this host does not know the declaration and the servers yet';
	};

	const stepTimes = StepTimes.create();
	const preparerOptions = () => ({
		stepTimes, quotes: get(admissionAsksToken), handler: get(batchHandlerToken), tracker: get(deploymentTrackerToken), registry: get(serverRegistryToken), clock, log: logOf('preparation'),
		isListening: async ({address, port}: {readonly address: string; readonly port: number}) => isListening(address, port, resultStoreCheckTimeoutMs),
	});
	const makeRunner = () => {
		const runner = lifecycle.register(RequestRunner.create(get(linksToken), get(routerToken), clock));
		for (const {onDidBar} of [get(quarantineToken), get(partQuarantineToken)]) {
			onDidBar(() => {
				runner.standingChanged();
			});
		}

		return runner;
	};

	register(ingressToken, () => lifecycle.register(Ingress.create({
		deploymentTracker: get(deploymentTrackerToken),
		links: get(linksToken),
		runner: makeRunner(),
		protocol: ports.callers,
		registry: get(serverRegistryToken),
		resumption: StreamResumption.create({
			directory: get(streamDirectoryToken),
			history: get(versionHistoryToken),
			refresher: get(listRefresherToken),
			continuity: get(continuityToken),
			clock,
			log: logOf('requests'),
			metrics,
		}),
		makePreparer: request => Preparer.create(preparerOptions(), request),
		waits: get(batchHandlerToken),
		quotes: get(admissionAsksToken),
		predictRun: (stage, nowMs) => get(routerToken).predictRun(stage, nowMs),
		standingOf: plan => get(routerToken).standingOf(plan),
		isOpen: (pool, nowMs) => get(availabilityToken).isOpen(pool, nowMs),
		unavailabilityOf: pools => get(availabilityToken).poolsUnavailability(pools),
		admission: BoundedAdmission.create(get(availabilityToken)),
		clock,
		random: get(randomToken),
		log: logOf('requests'),
		metrics,
		notReadyReason,
		isLeaving,
	})));
}

/** Starts the background work: hosts exchange their state, and outdated state is removed. */
function synchronizeState({lifecycle, clock, logOf, get}: Composition): void {
	lifecycle.register(StateExchange.create({
		mesh: get(peerMeshToken),
		tracker: get(deploymentTrackerToken),
		registry: get(serverRegistryToken),
		drains: get(hallDrainsToken),
		isListUnavailable: () => !get(serverFeedToken).isCurrent,
		clock,
		log: logOf('peers'),
	}));
	get(hallDrainsToken).onDidChange(({hall, isDrained, revision}) => {
		if (!isDrained) {
			const coldMsOf = (pool: string) => get(deploymentTrackerToken).current?.pool(pool)?.cold?.afterStartMs ?? 0;
			get(serverRegistryToken).handleDrainEnd(hall, coldMsOf, revision, clock.nowMs());
		}
	});
	get(quarantineToken).onDidServerCrash(serverId => {
		get(routerToken).serverCrashed(serverId, clock.nowMs());
	});
	const archiver = get(versionArchiverToken);
	get(peerMeshToken).onDidChange(() => {
		archiver.handleHostsChanged();
	});
	archiver.start();
	lifecycle.register(VersionHistoryUpdates.create({history: get(versionHistoryToken), mesh: get(peerMeshToken)}));
	lifecycle.register(LeavingServerUpdates.create({leaving: get(leavingServersToken), mesh: get(peerMeshToken)}));
	lifecycle.register(ServerLimitUpdates.create({limits: get(serverLimitsToken), mesh: get(peerMeshToken), clock}));
	lifecycle.register(QuarantineUpdates.create({
		quarantine: get(quarantineToken), parts: get(partQuarantineToken), mesh: get(peerMeshToken), clock,
	}));
	lifecycle.register(setRepeating(clock, () => sweepIntervalMs, () => {
		get(serverRegistryToken).removeOverdue(clock.nowMs());
	}));
	// Created immediately, so that peers' updates are received before the first request.
	get(promptUpdatesToken);
	get(streamDirectoryToken);
}

/** Creates the entry, and with it the components that it depends on. */
function makeEntry({settings, lifecycle, clock, metrics, logOf, get}: Composition): DirectEntry {
	return DirectEntry.create({
		settings,
		lifecycle,
		clock,
		log: logOf('entry'),
		metrics,
		ingress: get(ingressToken),
		mesh: get(peerMeshToken),
		batchHandler: get(batchHandlerToken),
		wire: get(wireServerToken),
		feeds: [get(declarationFeedToken), get(serverFeedToken)],
	});
}

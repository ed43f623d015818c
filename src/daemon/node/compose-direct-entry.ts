/**
The parts of an entry that calls upstreams itself, in one visible place.

Left out here, because a deployment of this kind gives it from outside: claims (callers repeat a request
that may run only once only after a promise that it has not run), the settings tree and its order of
changes (the platform's store accepts declarations), the placement lease and orders, and the agents.
*/
import type {InjectionToken} from 'tsyringe';
import {setRepeating} from '../../base/common/clock.js';
import {randomToken} from '../../base/common/random.js';
import {newId} from '../../base/node/ids.js';
import {deploymentTrackerToken} from '../../deployment/common/deployment-tracker.js';
import {hallDrainsToken} from '../../deployment/common/hall-drains.js';
import {leavingServersToken} from '../../deployment/common/leaving-servers.js';
import {serverLimitsToken} from '../../deployment/common/server-limits.js';
import {serverNoticesToken} from '../../deployment/common/server-notices.js';
import {serverRegistryToken} from '../../deployment/common/server-registry.js';
import {BoundedAdmission} from '../../direct/common/bounded-admission.js';
import {DirectRouter} from '../../direct/common/direct-router.js';
import {EngineChooser} from '../../direct/common/engine-chooser.js';
import {PoolAvailability} from '../../direct/common/pool-availability.js';
import {DirectLinks} from '../../direct/node/direct-links.js';
import {Ingress, ingressToken} from '../../direct/node/ingress.js';
import {PromptNews} from '../../direct/node/prompt-news.js';
import {LeavingNews} from '../../peers/node/leaving-news.js';
import {LimitNews} from '../../peers/node/limit-news.js';
import {PeerMesh, peerMeshToken} from '../../peers/node/peer-mesh.js';
import {StateExchange} from '../../peers/node/state-exchange.js';
import {BatchDesk, batchDeskToken} from '../../preparation/node/batch-desk.js';
import {StepTimes} from '../../preparation/common/step-times.js';
import {BatchPool} from '../../preparation/node/batch-pool.js';
import {Preparer} from '../../preparation/node/preparer.js';
import {Quarantine, quarantineToken} from '../../quarantine/common/quarantine.js';
import {ServerEnds} from '../../quarantine/common/server-ends.js';
import {ConnectCheck} from '../../quarantine/node/address-check.js';
import {QuarantineNews} from '../../quarantine/node/quarantine-news.js';
import {RequestRunner} from '../../request/node/request-runner.js';
import {EngineLoads} from '../../routing/common/engine-loads.js';
import {roomOf} from '../../routing/common/host-room.js';
import {PrefixIndex} from '../../routing/common/prefix-index.js';
import {sendBoundsToken} from '../../routing/common/send-bounds.js';
import {serverRefusalsToken} from '../../routing/common/server-refusals.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {WindowedBudget} from '../../routing/common/windowed-budget.js';
import type {WireClientOptions} from '../../wire/node/wire-client.js';
import {WireServer} from '../../wire/node/wire-server.js';
import type {DirectEntrySettings} from '../common/direct-settings.js';
import {
	declarationFeedToken, registerFeeds, serverFeedToken, storeAgeMs,
} from './compose-feeds.js';
import {registerState} from './compose-state.js';
import {wireOptionsToken, wireServerToken} from './daemon-tokens.js';
import {beginComposition, type Composition, type PlatformPorts} from './direct-composition.js';
import {DirectEntry} from './direct-entry.js';

const enginesToken: InjectionToken<EngineChooser> = Symbol('EngineChooser');
const availabilityToken: InjectionToken<PoolAvailability> = Symbol('PoolAvailability');
const routerToken: InjectionToken<DirectRouter> = Symbol('DirectRouter');
const promptNewsToken: InjectionToken<PromptNews> = Symbol('PromptNews');
const linksToken: InjectionToken<DirectLinks> = Symbol('DirectLinks');

/** Part of an upstream's connections that all hosts together use; the rest is for hosts that have just come. */
const usedConnectionShare = 0.8;
/** Connections this host may always have to one upstream, however many hosts there are. */
const fewestLanes = 4;
/** How often the list of servers is looked through for times that are over. */
const sweepMs = 200;

/**
Puts an entry together.
@param settings - of the host.
@param ports - of the platform's adapter.
@param writeLine - where log lines go; standard output unless given.
@returns the entry, not started.
*/
export function composeDirectEntry(settings: DirectEntrySettings, ports: PlatformPorts, writeLine?: (line: string) => void): DirectEntry {
	const composition = beginComposition(settings, ports, writeLine);
	registerPeers(composition);
	registerState(composition);
	registerFeeds(composition);
	registerQuarantine(composition);
	registerUpstreams(composition);
	registerPreparation(composition);
	registerDoor(composition);
	keepStateAlike(composition);
	return makeEntry(composition);
}

/** The connections to the other hosts. */
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
			room: roomOf(settings.capacity),
			storeAgeMs: storeAgeMs(get),
			...(get(hallDrainsToken).drainsForPeers.length > 0 && {hallDrains: [...get(hallDrainsToken).drainsForPeers]}),
		}),
	})));
}

/** Which requests end the servers that run them. */
function registerQuarantine({lifecycle, clock, metrics, logOf, register, get}: Composition): void {
	register(quarantineToken, () => lifecycle.register(Quarantine.create({
		serverEnds: lifecycle.register(ServerEnds.create({registry: get(serverRegistryToken), check: ConnectCheck.create(), clock})),
		clock,
		log: logOf('quarantine'),
		metrics,
	})));
}

/** Which upstream serves a request, and the calls to it. */
function registerUpstreams({settings, ports, lifecycle, clock, logOf, register, get, hostCount}: Composition): void {
	register(enginesToken, () => EngineChooser.create(EngineLoads.create()));
	register(availabilityToken, () => PoolAvailability.create({
		registry: get(serverRegistryToken), bounds: get(sendBoundsToken),
	}));
	register(routerToken, () => DirectRouter.create({
		hall: settings.hall,
		registry: get(serverRegistryToken),
		chooser: ScoreChooser.create(get(randomToken), PrefixIndex.create()),
		bounds: settings.repeats,
		hostCount,
		newDispatchId: newId,
		engines: get(enginesToken),
		assigned(serverId, prompt) {
			get(promptNewsToken).add(serverId, prompt);
		},
		quarantine: get(quarantineToken),
		availability: get(availabilityToken),
		refusals: get(serverRefusalsToken),
	}));
	register(promptNewsToken, () => lifecycle.register(PromptNews.create({
		hostId: settings.hostId,
		room: roomOf(settings.capacity),
		mesh: get(peerMeshToken),
		heard(serverId, parts) {
			get(routerToken).promptSent(serverId, parts, clock.nowMs());
		},
		clock,
	})));
	register(linksToken, () => lifecycle.register(DirectLinks.create({
		registry: get(serverRegistryToken),
		notices: get(serverNoticesToken),
		protocol: ports.upstreams,
		clock,
		log: logOf('requests'),
		mostLanes(pool) {
			const most = get(deploymentTrackerToken).current?.pool(pool)?.maxConnections ?? fewestLanes;
			return Math.max(fewestLanes, Math.floor((most * usedConnectionShare) / hostCount()));
		},
		heard(serverId, dispatchId) {
			get(routerToken).heard(serverId, dispatchId, clock.nowMs());
		},
		quarantine: get(quarantineToken),
	})));
}

/** The batches for the work before requests. */
function registerPreparation({settings, ports, lifecycle, clock, metrics, logOf, register, get, isLeaving, hostCount}: Composition): void {
	register(batchDeskToken, () => lifecycle.register(BatchDesk.create({
		hostId: settings.hostId,
		room: roomOf(settings.capacity),
		mesh: get(peerMeshToken),
		clock,
		log: logOf('batches'),
		isLeaving,
		makePool: (pool, ended) => BatchPool.create({
			pool,
			board: get(deploymentTrackerToken),
			registry: get(serverRegistryToken),
			notices: get(serverNoticesToken),
			bounds: get(sendBoundsToken),
			protocol: ports.batches,
			budget: WindowedBudget.create(settings.repeats, hostCount),
			quarantine: get(quarantineToken),
			clock,
			log: logOf('batches'),
			metrics,
			ended,
		}),
	})));
}

/** Where callers and the balancer come. */
function registerDoor({ports, lifecycle, clock, metrics, logOf, register, get, isLeaving}: Composition): void {
	const notReadyReason = () => {
		if (isLeaving()) {
			return 'this host is about to stop';
		}

		return get(deploymentTrackerToken).current && get(serverRegistryToken).size > 0 ? undefined : 'this host does not know the declaration and the servers yet';
	};

	const stepTimes = StepTimes.create();
	const preparerOptions = () => ({
		stepTimes, desk: get(batchDeskToken), board: get(deploymentTrackerToken), registry: get(serverRegistryToken), clock, log: logOf('preparation'),
	});
	const makeRunner = () => {
		const runner = lifecycle.register(RequestRunner.create(get(linksToken), get(routerToken), clock));
		get(quarantineToken).onDidBar(() => {
			runner.standingChanged();
		});
		return runner;
	};

	register(ingressToken, () => lifecycle.register(Ingress.create({
		board: get(deploymentTrackerToken),
		links: get(linksToken),
		runner: makeRunner(),
		protocol: ports.callers,
		makePreparer: ask => Preparer.create(preparerOptions(), ask),
		waits: get(batchDeskToken),
		likelyPlace: (stage, nowMs) => get(routerToken).likelyPlace(stage, nowMs),
		standingOf: plan => get(routerToken).standingOf(plan),
		isOpen: (pool, nowMs) => get(availabilityToken).isOpen(pool, nowMs),
		unavailabilityOf: pools => get(availabilityToken).ofPools(pools),
		admission: BoundedAdmission.create(get(availabilityToken)),
		clock,
		random: get(randomToken),
		log: logOf('requests'),
		metrics,
		notReadyReason,
		isLeaving,
	})));
}

/** What goes on by itself from the start: hosts tell each other what they know, and what is out of date goes. */
function keepStateAlike({lifecycle, clock, logOf, get}: Composition): void {
	lifecycle.register(StateExchange.create({
		mesh: get(peerMeshToken),
		board: get(deploymentTrackerToken),
		registry: get(serverRegistryToken),
		drains: get(hallDrainsToken),
		isListAway: () => !get(serverFeedToken).isCurrent,
		clock,
		log: logOf('peers'),
	}));
	get(hallDrainsToken).onDidChange(({hall, isDrained, revision}) => {
		if (!isDrained) {
			const coldMsOf = (pool: string) => get(deploymentTrackerToken).current?.pool(pool)?.cold?.afterStartMs ?? 0;
			get(serverRegistryToken).handleDrainEnd(hall, coldMsOf, revision, clock.nowMs());
		}
	});
	get(quarantineToken).onDidHearOfEnd(serverId => {
		get(routerToken).serverEnded(serverId, clock.nowMs());
	});
	lifecycle.register(LeavingNews.create({leaving: get(leavingServersToken), mesh: get(peerMeshToken)}));
	lifecycle.register(LimitNews.create({limits: get(serverLimitsToken), mesh: get(peerMeshToken), clock}));
	lifecycle.register(QuarantineNews.create({quarantine: get(quarantineToken), mesh: get(peerMeshToken), clock}));
	lifecycle.register(setRepeating(clock, () => sweepMs, () => {
		get(serverRegistryToken).removeOverdue(clock.nowMs());
	}));
	// Made at once, so that peers' news are heard before the first request.
	get(promptNewsToken);
}

/** The entry itself; asking for its parts makes them. */
function makeEntry({settings, lifecycle, clock, metrics, logOf, get}: Composition): DirectEntry {
	return DirectEntry.create({
		settings,
		lifecycle,
		clock,
		log: logOf('entry'),
		metrics,
		ingress: get(ingressToken),
		mesh: get(peerMeshToken),
		desk: get(batchDeskToken),
		wire: get(wireServerToken),
		feeds: [get(declarationFeedToken), get(serverFeedToken)],
	});
}

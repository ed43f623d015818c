/** Registers the feeds of the platform's store, from which a host reads the declaration and the list of servers. */
import type {InjectionToken} from 'tsyringe';
import {randomToken} from '../../base/common/random.js';
import {deploymentTrackerToken} from '../../deployment/common/deployment-tracker.js';
import {hallDrainsToken} from '../../deployment/common/hall-drains.js';
import {listSources} from '../../deployment/common/list-source.js';
import type {OperatorRow} from '../../deployment/common/operator-row.js';
import {serverRegistryToken} from '../../deployment/common/server-registry.js';
import type {FeedChanges} from '../../deployment/common/feed.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {FeedFollower} from '../../deployment/node/feed-follower.js';
import {peerMeshToken} from '../../peers/node/peer-mesh.js';
import {ReaderElection, readerElectionToken} from '../../peers/node/reader-election.js';
import {sharedCapacityOf} from '../../routing/common/host-capacity.js';
import type {Composition} from './direct-composition.js';

export const declarationFeedToken: InjectionToken<FeedFollower<OperatorRow>> = Symbol('DeclarationFeed');
export const serverFeedToken: InjectionToken<FeedFollower<UpstreamServer>> = Symbol('ServerFeed');

/**
Registers the followers of both feeds, and the election that decides whether this host reads them at all.
@param composition - composition of the entry.
*/
export function registerFeeds({settings, ports, lifecycle, clock, metrics, logOf, register, get}: Composition): void {
	/** Must be called before the declarations are applied: a host that knows the declaration accepts requests. */
	const applyDrains = (rows: FeedChanges<OperatorRow>, isAll: boolean) => {
		const drains = rows.changed.flatMap(({value, revision}) => value.type === 'hallDrain' ? [{hall: value.hall, isDrained: value.isDrained, revision}] : []);
		if (isAll) {
			get(hallDrainsToken).replaceAll(drains, rows.revision, listSources.store);
		} else {
			get(hallDrainsToken).apply(drains, listSources.store);
			get(hallDrainsToken).markReadUpTo(rows.revision);
		}
	};

	const applyDeclarations = ({changed}: FeedChanges<OperatorRow>) => {
		for (const {value} of changed) {
			if (value.type === 'declaration') {
				get(deploymentTrackerToken).offer(value.deployment, 'store');
			}
		}
	};

	/** A row that can't be read is counted each time it is read: as it changes, and in each full read. */
	const countUnreadable = (feed: string, {unreadable}: FeedChanges<unknown>) => {
		if (unreadable.length > 0) {
			metrics.increment('store.unreadableRows', unreadable.length, {feed});
		}
	};

	register(readerElectionToken, () => ReaderElection.create({
		hostId: settings.hostId,
		capacity: sharedCapacityOf(settings.capacity),
		mesh: get(peerMeshToken),
		actWithinMs: Math.min(settings.declarationWithinMs, settings.leavingWithinMs),
		clock,
		log: logOf('store'),
	}));
	const readerOptions = {
		holdMs: () => get(readerElectionToken).holdMs,
		mayStandBy: () => get(readerElectionToken).mayStandBy(),
	};
	register(declarationFeedToken, () => lifecycle.register(FeedFollower.create<OperatorRow>({
		name: 'declaration',
		source: ports.declarations,
		clock,
		random: get(randomToken),
		log: logOf('store'),
		...readerOptions,
		isReportedByPeers: () => get(deploymentTrackerToken).current !== undefined,
		replaceAll(all) {
			countUnreadable('declaration', all);
			applyDrains(all, true);
			applyDeclarations(all);
			return true;
		},
		apply(changes) {
			countUnreadable('declaration', changes);
			applyDrains(changes, false);
			applyDeclarations(changes);
		},
		onStoreUnavailable: () => undefined,
		onStoreRecovered: () => undefined,
	})));
	register(serverFeedToken, () => {
		const registry = get(serverRegistryToken);
		return lifecycle.register(FeedFollower.create<UpstreamServer>({
			name: 'servers',
			source: ports.servers,
			clock,
			random: get(randomToken),
			log: logOf('store'),
			...readerOptions,
			isReportedByPeers: () => registry.revision > 0,
			replaceAll(all) {
				const {changed, unreadable, revision} = all;
				const nowMs = clock.nowMs();
				countUnreadable('servers', all);
				const servers = changed.map(written => ({...written.value, revision: written.revision}));
				// Must come first: otherwise `replaceAll` would treat these servers as missing, with entries that may have lapsed, and would use them for a while.
				registry.handleUnreadableEntries(unreadable);
				return registry.replaceAll({servers, revision}, nowMs);
			},
			apply(changes) {
				countUnreadable('servers', changes);
				registry.applyChanges(changes, clock.nowMs());
			},
			onStoreUnavailable() {
				registry.markStoreUnavailable();
			},
			onStoreRecovered() {
				registry.markStoreRecovered(clock.nowMs());
			},
		}));
	});
}

/**
Returns how long ago the store last answered for both feeds.
@param get - resolves components of the composition.
@returns the longer time of the two; undefined while one of the feeds has no response yet or is on standby.
*/
export function storeAgeMs(get: Composition['get']): number | undefined {
	const agesMs = [get(declarationFeedToken).ageMs, get(serverFeedToken).ageMs];
	const knownMs = agesMs.filter(ageMs => ageMs !== undefined);
	return knownMs.length === agesMs.length ? Math.max(...knownMs) : undefined;
}

/**
Returns whether the list of servers is up to date as far as the store has reported to this host or to those that read for it.
@param get - resolves components of the composition.
*/
export function isListCurrent(get: Composition['get']): boolean {
	const {isCurrent, isOnStandby} = get(serverFeedToken);
	return isCurrent || isOnStandby;
}

/**
Returns whether no other host can be assumed to have a newer list of servers. While the store is unavailable to all hosts, lists stay as they are; a host
that is separated from most others can't tell.
@param get - resolves components of the composition.
@param nowMs - the current time.
*/
export function isListShared(get: Composition['get'], nowMs: number): boolean {
	const mesh = get(peerMeshToken);
	const {hosts, isSettled} = mesh.fleetView(nowMs);
	const isConnected = isSettled && mesh.liveHosts.length >= (hosts.length - 1) / 2;
	return isConnected && mesh.maxListRevision <= get(serverRegistryToken).revision;
}

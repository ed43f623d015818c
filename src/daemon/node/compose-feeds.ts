/** Where a host learns of the declaration and the servers: the feeds of the platform's store. */
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
import {ReadingDuty, readingDutyToken} from '../../peers/node/reading-duty.js';
import {roomOf} from '../../routing/common/host-room.js';
import type {Composition} from './direct-composition.js';

export const declarationFeedToken: InjectionToken<FeedFollower<OperatorRow>> = Symbol('DeclarationFeed');
export const serverFeedToken: InjectionToken<FeedFollower<UpstreamServer>> = Symbol('ServerFeed');

/**
Registers the followers of both feeds, and the duty that says whether this host reads at all.
@param composition - of the entry.
*/
export function registerFeeds({settings, ports, lifecycle, clock, logOf, register, get}: Composition): void {
	/** Drains first: a host that knows the declaration takes requests. */
	const takeDrains = (rows: FeedChanges<OperatorRow>, isAll: boolean) => {
		const drains = rows.changed.flatMap(({value, revision}) => value.type === 'hallDrain' ? [{hall: value.hall, isDrained: value.isDrained, revision}] : []);
		if (isAll) {
			get(hallDrainsToken).replaceAll(drains, rows.revision, listSources.store);
		} else {
			get(hallDrainsToken).apply(drains, listSources.store);
			get(hallDrainsToken).markReadUpTo(rows.revision);
		}
	};

	const takeDeclarations = ({changed}: FeedChanges<OperatorRow>) => {
		for (const {value} of changed) {
			if (value.type === 'declaration') {
				get(deploymentTrackerToken).offer(value.deployment, 'store');
			}
		}
	};

	register(readingDutyToken, () => ReadingDuty.create({
		hostId: settings.hostId,
		room: roomOf(settings.capacity),
		mesh: get(peerMeshToken),
		newsWithinMs: Math.min(settings.declarationWithinMs, settings.leavingWithinMs),
		clock,
		log: logOf('store'),
	}));
	const duty = {
		holdMs: () => get(readingDutyToken).holdMs,
		mayStandBy: () => get(readingDutyToken).mayRest(),
	};
	register(declarationFeedToken, () => lifecycle.register(FeedFollower.create<OperatorRow>({
		name: 'declaration',
		source: ports.declarations,
		clock,
		random: get(randomToken),
		log: logOf('store'),
		...duty,
		isReportedByPeers: () => get(deploymentTrackerToken).current !== undefined,
		replaceAll(all) {
			takeDrains(all, true);
			takeDeclarations(all);
			return true;
		},
		apply(changes) {
			takeDrains(changes, false);
			takeDeclarations(changes);
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
			...duty,
			isReportedByPeers: () => registry.revision > 0,
			replaceAll({changed, unreadable, revision}) {
				const nowMs = clock.nowMs();
				const servers = changed.map(written => ({...written.value, revision: written.revision}));
				// First: what is missing from the list might have lapsed, and would be used for a while.
				registry.handleUnreadableEntries(unreadable);
				return registry.replaceAll({servers, revision}, nowMs);
			},
			apply(changes) {
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
Gives how long ago the store last answered for both feeds.
@param get - of the composition.
@returns nothing while one of the feeds has no answer or rests.
*/
export function storeAgeMs(get: Composition['get']): number | undefined {
	const agesMs = [get(declarationFeedToken).ageMs, get(serverFeedToken).ageMs];
	const knownMs = agesMs.filter(ageMs => ageMs !== undefined);
	return knownMs.length === agesMs.length ? Math.max(...knownMs) : undefined;
}

/** Composes all components of an entry in one place. */
import type {InjectionToken} from 'tsyringe';
import {clockToken} from '../../base/common/clock.js';
import {loggerFactoryToken} from '../../base/common/logger.js';
import {metricsToken} from '../../base/common/metrics.js';
import {randomToken} from '../../base/common/random.js';
import {newId} from '../../base/node/ids.js';
import {Accounting} from '../../entry/common/accounting.js';
import {FleetRouter} from '../../entry/common/fleet-router.js';
import {EntryService} from '../../entry/node/entry-service.js';
import {FleetLinks} from '../../entry/node/fleet-links.js';
import {hashToken} from '../../entry/node/http-common.js';
import {LinkedOrderFleet} from '../../entry/node/linked-order-fleet.js';
import {PeerLinks} from '../../entry/node/peer-links.js';
import {RequestRunner} from '../../request/node/request-runner.js';
import {MemberTable} from '../../membership/common/member-table.js';
import {hostListToken} from '../../store/common/host-list.js';
import {tableServiceToken} from '../../store/common/table-service.js';
import {PlacementLease} from '../../placement/common/lease.js';
import {PlacementService} from '../../placement/common/placement-service.js';
import {ClaimStore} from '../../request/common/claim-store.js';
import {ClaimSweeper} from '../../request/common/claim-sweeper.js';
import type {UpstreamChooser} from '../../routing/common/chooser.js';
import {PrefixIndex} from '../../routing/common/prefix-index.js';
import {ScoreChooser} from '../../routing/common/score-chooser.js';
import {settingsServiceToken} from '../../settings/common/settings-service.js';
import type {EntryHostSettings} from '../common/host-settings.js';
import {composeCommon, identityToken, settingsSyncToken} from './compose-common.js';
import {lifecycleToken, wireOptionsToken, wireServerToken} from './daemon-tokens.js';
import type {HostSecrets} from './load-host-settings.js';

export const membersToken: InjectionToken<MemberTable> = Symbol('MemberTable');
export const prefixesToken: InjectionToken<PrefixIndex> = Symbol('PrefixIndex');
export const chooserToken: InjectionToken<UpstreamChooser> = Symbol('UpstreamChooser');
export const routerToken: InjectionToken<FleetRouter> = Symbol('FleetRouter');
export const linksToken: InjectionToken<FleetLinks> = Symbol('FleetLinks');
export const peersToken: InjectionToken<PeerLinks> = Symbol('PeerLinks');
export const runnerToken: InjectionToken<RequestRunner> = Symbol('RequestRunner');
export const claimsToken: InjectionToken<ClaimStore> = Symbol('ClaimStore');
export const placementToken: InjectionToken<PlacementService> = Symbol('PlacementService');
export const accountingToken: InjectionToken<Accounting> = Symbol('Accounting');
export const entryServiceToken: InjectionToken<EntryService> = Symbol('EntryService');

/**
Composes an entry.
@param host - validated settings of the host.
@param secrets - secrets that the settings refer to.
@returns the container; resolving `entryServiceToken` creates the entry.
*/
export function composeEntry(host: EntryHostSettings, secrets: HostSecrets) {
	const {components, register} = composeCommon({host, secrets});
	const lifecycle = components.resolve(lifecycleToken);
	register(membersToken, () => MemberTable.create());
	register(prefixesToken, () => PrefixIndex.create());
	register(chooserToken, () => ScoreChooser.create(components.resolve(randomToken), components.resolve(prefixesToken)));
	register(routerToken, () => FleetRouter.create({
		hall: host.hall,
		members: components.resolve(membersToken),
		chooser: components.resolve(chooserToken),
		prefixes: components.resolve(prefixesToken),
		newDispatchId: newId,
		isAdaptive: true,
	}));
	register(linksToken, () => lifecycle.register(FleetLinks.create({
		hosts: components.resolve(hostListToken),
		members: components.resolve(membersToken),
		router: components.resolve(routerToken),
		settings: components.resolve(settingsServiceToken),
		sync: components.resolve(settingsSyncToken),
		wire: components.resolve(wireOptionsToken),
		clock: components.resolve(clockToken),
		random: components.resolve(randomToken),
		log: components.resolve(loggerFactoryToken).for('links'),
	})));
	register(peersToken, () => lifecycle.register(PeerLinks.create({
		hosts: components.resolve(hostListToken),
		settings: components.resolve(settingsServiceToken),
		sync: components.resolve(settingsSyncToken),
		server: components.resolve(wireServerToken),
		wire: components.resolve(wireOptionsToken),
		clock: components.resolve(clockToken),
		random: components.resolve(randomToken),
	})));
	register(runnerToken, () => lifecycle.register(RequestRunner.create(components.resolve(linksToken), components.resolve(routerToken), components.resolve(clockToken))));
	register(claimsToken, () => lifecycle.register(ClaimStore.create({
		table: components.resolve(tableServiceToken),
		clock: components.resolve(clockToken),
		writer: components.resolve(identityToken).incarnation,
		minWriteIntervalMs: host.claimSpacingMs,
	})));
	register(accountingToken, () => Accounting.create(components.resolve(metricsToken)));
	register(placementToken, () => {
		const links = components.resolve(linksToken);
		const placement = lifecycle.register(PlacementService.create({
			lease: PlacementLease.create(components.resolve(tableServiceToken), components.resolve(clockToken), components.resolve(identityToken).incarnation),
			tree: components.resolve(settingsServiceToken).tree,
			fleet: LinkedOrderFleet.create(links, components.resolve(membersToken), components.resolve(routerToken), components.resolve(clockToken)),
			clock: components.resolve(clockToken),
			random: components.resolve(randomToken),
			log: components.resolve(loggerFactoryToken).for('placement'),
			newOrderId: newId,
		}));
		lifecycle.register(ClaimSweeper.create({
			table: components.resolve(tableServiceToken),
			clock: components.resolve(clockToken),
			random: components.resolve(randomToken),
			isLeaseHolder: () => placement.leaseEpoch !== undefined,
		}));
		lifecycle.register(links.onDidReceive(({message}) => {
			if (message.type === 'orderReply') {
				placement.handleReply(message);
			}
		}));
		return placement;
	});
	register(entryServiceToken, () => lifecycle.register(EntryService.create({
		identity: components.resolve(identityToken),
		settings: components.resolve(settingsServiceToken),
		sync: components.resolve(settingsSyncToken),
		members: components.resolve(membersToken),
		router: components.resolve(routerToken),
		links: components.resolve(linksToken),
		peers: components.resolve(peersToken),
		runner: components.resolve(runnerToken),
		claims: components.resolve(claimsToken),
		accounting: components.resolve(accountingToken),
		server: components.resolve(wireServerToken),
		clock: components.resolve(clockToken),
		log: components.resolve(loggerFactoryToken).for('entry'),
		metrics: components.resolve(metricsToken),
		lifecycle,
		tls: secrets.callersTls,
		bootstrapTokenHash: secrets.bootstrapToken === undefined ? undefined : hashToken(secrets.bootstrapToken),
		stopGraceMs: host.stopGraceMs,
		placement: components.resolve(placementToken),
	})));
	return components;
}

/** The parts of an entry, in one visible place. */
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
Puts an entry together.
@param host - checked settings of the host.
@param secrets - what the settings name.
@returns the container; resolving `entryServiceToken` makes the entry.
*/
export function composeEntry(host: EntryHostSettings, secrets: HostSecrets) {
	const {parts, register} = composeCommon({host, secrets});
	const lifecycle = parts.resolve(lifecycleToken);
	register(membersToken, () => MemberTable.create());
	register(prefixesToken, () => PrefixIndex.create());
	register(chooserToken, () => ScoreChooser.create(parts.resolve(randomToken), parts.resolve(prefixesToken)));
	register(routerToken, () => FleetRouter.create({
		hall: host.hall,
		members: parts.resolve(membersToken),
		chooser: parts.resolve(chooserToken),
		prefixes: parts.resolve(prefixesToken),
		newDispatchId: newId,
		isAdaptive: true,
	}));
	register(linksToken, () => lifecycle.register(FleetLinks.create({
		hosts: parts.resolve(hostListToken),
		members: parts.resolve(membersToken),
		router: parts.resolve(routerToken),
		settings: parts.resolve(settingsServiceToken),
		sync: parts.resolve(settingsSyncToken),
		wire: parts.resolve(wireOptionsToken),
		clock: parts.resolve(clockToken),
		random: parts.resolve(randomToken),
		log: parts.resolve(loggerFactoryToken).for('links'),
	})));
	register(peersToken, () => lifecycle.register(PeerLinks.create({
		hosts: parts.resolve(hostListToken),
		settings: parts.resolve(settingsServiceToken),
		sync: parts.resolve(settingsSyncToken),
		server: parts.resolve(wireServerToken),
		wire: parts.resolve(wireOptionsToken),
		clock: parts.resolve(clockToken),
		random: parts.resolve(randomToken),
	})));
	register(runnerToken, () => lifecycle.register(RequestRunner.create(parts.resolve(linksToken), parts.resolve(routerToken), parts.resolve(clockToken))));
	register(claimsToken, () => lifecycle.register(ClaimStore.create({
		table: parts.resolve(tableServiceToken),
		clock: parts.resolve(clockToken),
		writer: parts.resolve(identityToken).incarnation,
		spacingMs: host.claimSpacingMs,
	})));
	register(accountingToken, () => Accounting.create(parts.resolve(metricsToken)));
	register(placementToken, () => {
		const links = parts.resolve(linksToken);
		const placement = lifecycle.register(PlacementService.create({
			lease: PlacementLease.create(parts.resolve(tableServiceToken), parts.resolve(clockToken), parts.resolve(identityToken).incarnation),
			tree: parts.resolve(settingsServiceToken).tree,
			fleet: LinkedOrderFleet.create(links, parts.resolve(membersToken), parts.resolve(routerToken), parts.resolve(clockToken)),
			clock: parts.resolve(clockToken),
			random: parts.resolve(randomToken),
			log: parts.resolve(loggerFactoryToken).for('placement'),
			newOrderId: newId,
		}));
		lifecycle.register(ClaimSweeper.create({
			table: parts.resolve(tableServiceToken),
			clock: parts.resolve(clockToken),
			random: parts.resolve(randomToken),
			isHolder: () => placement.leaseEpoch !== undefined,
		}));
		lifecycle.register(links.onDidReceive(({message}) => {
			if (message.type === 'orderReply') {
				placement.handleReply(message);
			}
		}));
		return placement;
	});
	register(entryServiceToken, () => lifecycle.register(EntryService.create({
		identity: parts.resolve(identityToken),
		settings: parts.resolve(settingsServiceToken),
		sync: parts.resolve(settingsSyncToken),
		members: parts.resolve(membersToken),
		router: parts.resolve(routerToken),
		links: parts.resolve(linksToken),
		peers: parts.resolve(peersToken),
		runner: parts.resolve(runnerToken),
		claims: parts.resolve(claimsToken),
		accounting: parts.resolve(accountingToken),
		server: parts.resolve(wireServerToken),
		clock: parts.resolve(clockToken),
		log: parts.resolve(loggerFactoryToken).for('entry'),
		lifecycle,
		tls: secrets.callersTls,
		bootstrapTokenHash: secrets.bootstrapToken === undefined ? undefined : hashToken(secrets.bootstrapToken),
		stopGraceMs: host.stopGraceMs,
		placement: parts.resolve(placementToken),
	})));
	return parts;
}

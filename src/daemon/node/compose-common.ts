/** Registers the components that every role needs in a dependency injection container. */
import 'reflect-metadata';
import {
	container, instanceCachingFactory, type DependencyContainer, type InjectionToken,
} from 'tsyringe';
import {clockToken} from '../../base/common/clock.js';
import {LifecycleManager} from '../../base/common/lifecycle.js';
import {loggerFactoryToken} from '../../base/common/logger.js';
import {metricsToken, noMetrics} from '../../base/common/metrics.js';
import {randomToken, SeededRandom} from '../../base/common/random.js';
import {ConsoleLoggers} from '../../base/node/console-logger.js';
import {newId, newSeed} from '../../base/node/ids.js';
import {StatsdMetrics} from '../../base/node/statsd-metrics.js';
import {SystemClock} from '../../base/node/system-clock.js';
import {logSuspensions} from '../../base/node/log-suspensions.js';
import {hostListToken} from '../../store/common/host-list.js';
import {objectStoreToken} from '../../store/common/object-store.js';
import {SharedHostList} from '../../store/common/shared-host-list.js';
import {tableServiceToken} from '../../store/common/table-service.js';
import {HttpHostList, HttpObjectStore, HttpTableService} from '../../store/node/store-client.js';
import {settingsServiceToken, StoredSettingsService} from '../../settings/common/settings-service.js';
import {SettingsStore} from '../../settings/common/settings-store.js';
import {SettingsSync} from '../../settings/node/settings-sync.js';
import type {Identity} from '../../wire/common/messages.js';
import {WireServer} from '../../wire/node/wire-server.js';
import {lifecycleToken, wireOptionsToken, wireServerToken} from './daemon-tokens.js';
import type {LoadedHost} from './load-host-settings.js';

export const identityToken: InjectionToken<Identity> = Symbol('Identity');
export const settingsSyncToken: InjectionToken<SettingsSync> = Symbol('SettingsSync');

const entryPollMs = 1000;
/** Agents receive changes from entries, so they poll the store frequently only while no entry is connected. */
const agentPollMs = {alone: 5000, connected: 60_000} as const;

/** Registers the factory of a component, of which one instance is created when it is first resolved. */
export type Registrar = <T>(token: InjectionToken<T>, factory: (components: DependencyContainer) => T) => void;

/**
Registers the components that every role needs.
@param loaded - validated host settings and secrets.
@returns the container, and the function that registers further components.
*/
export function composeCommon(loaded: LoadedHost): {components: DependencyContainer; register: Registrar} {
	const {host, secrets} = loaded;
	const components = container.createChildContainer();
	const register: Registrar = (token, factory) => {
		components.register(token, {useFactory: instanceCachingFactory(factory)});
	};

	register(clockToken, () => SystemClock.create());
	register(randomToken, () => SeededRandom.create(newSeed()));
	register(lifecycleToken, () => LifecycleManager.create());
	register(loggerFactoryToken, () => ConsoleLoggers.create({...host.logs, hostId: host.hostId}));
	register(metricsToken, () => host.metrics
		? components.resolve(lifecycleToken).register(StatsdMetrics.create({...host.metrics, hall: host.hall, hostId: host.hostId}))
		: noMetrics);
	components.resolve(lifecycleToken).register(logSuspensions(components.resolve(clockToken), components.resolve(loggerFactoryToken).for('clock'), components.resolve(metricsToken)));
	register(identityToken, () => identityOf(loaded));
	const platform = {origin: host.platform.origin, token: secrets.platformToken, callTimeoutMs: host.platform.callTimeoutMs};
	register(tableServiceToken, () => HttpTableService.create(platform));
	register(objectStoreToken, () => HttpObjectStore.create(platform));
	register(hostListToken, () => SharedHostList.create(HttpHostList.create(platform, components.resolve(loggerFactoryToken).for('hosts')), components.resolve(clockToken)));
	register(settingsServiceToken, () => components.resolve(lifecycleToken).register(StoredSettingsService.create(
		SettingsStore.create(components.resolve(tableServiceToken), components.resolve(objectStoreToken)),
		components.resolve(clockToken),
	)));
	register(settingsSyncToken, () => components.resolve(lifecycleToken).register(SettingsSync.create({
		settings: components.resolve(settingsServiceToken),
		clock: components.resolve(clockToken),
		random: components.resolve(randomToken),
		log: components.resolve(loggerFactoryToken).for('settings'),
		pollMs: peerCount => pollMs(host.role, peerCount),
	})));
	register(wireOptionsToken, () => ({
		identity: components.resolve(identityToken),
		keys: () => secrets.wireKeys,
		clock: components.resolve(clockToken),
		random: components.resolve(randomToken),
		...(secrets.wireTls && {tls: secrets.wireTls}),
	}));
	register(wireServerToken, () => components.resolve(lifecycleToken).register(WireServer.create(components.resolve(wireOptionsToken), secrets.wireTls)));
	return {components, register};
}

function pollMs(role: Identity['role'], peerCount: number): number {
	if (role === 'entry') {
		return entryPollMs;
	}

	return peerCount > 0 ? agentPollMs.connected : agentPollMs.alone;
}

function identityOf({host}: LoadedHost): Identity {
	const {hostId, hall, role} = host;
	const upstream = host.role === 'agent' && {upstreamId: host.upstream.upstreamId, pool: host.upstream.pool};
	return {
		hostId, hall, role, incarnation: newId(), ...upstream,
	};
}

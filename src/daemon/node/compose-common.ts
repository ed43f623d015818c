/** The parts that every role is made of, registered in one container. */
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
/** Agents hear of changes from entries; they read the store only where no entry is connected. */
const agentPollMs = {alone: 5000, connected: 60_000} as const;

/** Makes one instance of a part, when it is first asked for. */
export type Registrar = <T>(token: InjectionToken<T>, make: (parts: DependencyContainer) => T) => void;

/**
Registers what every role needs.
@param loaded - checked host settings and secrets.
@returns the container, and the function that registers further parts.
*/
export function composeCommon(loaded: LoadedHost): {parts: DependencyContainer; register: Registrar} {
	const {host, secrets} = loaded;
	const parts = container.createChildContainer();
	const register: Registrar = (token, make) => {
		parts.register(token, {useFactory: instanceCachingFactory(make)});
	};

	register(clockToken, () => SystemClock.create());
	register(randomToken, () => SeededRandom.create(newSeed()));
	register(lifecycleToken, () => LifecycleManager.create());
	register(loggerFactoryToken, () => ConsoleLoggers.create({...host.logs, hostId: host.hostId}));
	register(metricsToken, () => host.metrics
		? parts.resolve(lifecycleToken).register(StatsdMetrics.create({...host.metrics, hall: host.hall, hostId: host.hostId}))
		: noMetrics);
	parts.resolve(lifecycleToken).register(logSuspensions(parts.resolve(clockToken), parts.resolve(loggerFactoryToken).for('clock'), parts.resolve(metricsToken)));
	register(identityToken, () => identityOf(loaded));
	const platform = {origin: host.platform.origin, token: secrets.platformToken, callTimeoutMs: host.platform.callTimeoutMs};
	register(tableServiceToken, () => HttpTableService.create(platform));
	register(objectStoreToken, () => HttpObjectStore.create(platform));
	register(hostListToken, () => SharedHostList.create(HttpHostList.create(platform), parts.resolve(clockToken)));
	register(settingsServiceToken, () => parts.resolve(lifecycleToken).register(StoredSettingsService.create(
		SettingsStore.create(parts.resolve(tableServiceToken), parts.resolve(objectStoreToken)),
		parts.resolve(clockToken),
	)));
	register(settingsSyncToken, () => parts.resolve(lifecycleToken).register(SettingsSync.create({
		settings: parts.resolve(settingsServiceToken),
		clock: parts.resolve(clockToken),
		random: parts.resolve(randomToken),
		log: parts.resolve(loggerFactoryToken).for('settings'),
		pollMs: peerCount => pollMs(host.role, peerCount),
	})));
	register(wireOptionsToken, () => ({
		identity: parts.resolve(identityToken),
		keys: () => secrets.wireKeys,
		clock: parts.resolve(clockToken),
		random: parts.resolve(randomToken),
		...(secrets.wireTls && {tls: secrets.wireTls}),
	}));
	register(wireServerToken, () => parts.resolve(lifecycleToken).register(WireServer.create(parts.resolve(wireOptionsToken), secrets.wireTls)));
	return {parts, register};
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

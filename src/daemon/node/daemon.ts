/** One process of the system, in any role. */
import type {DependencyContainer} from 'tsyringe';
import type {LifecycleManager} from '../../base/common/lifecycle.js';
import {loggerFactoryToken} from '../../base/common/logger.js';
import type {EntryEndpoints} from '../../entry/node/entry-service.js';
import type {Endpoint} from '../../wire/node/wire-server.js';
import {agentServiceToken, composeAgent} from './compose-agent.js';
import {lifecycleToken} from './daemon-tokens.js';
import {composeEntry, entryServiceToken} from './compose-entry.js';
import type {LoadedHost} from './load-host-settings.js';

/** A running daemon. */
export type Daemon = {
	readonly lifecycle: LifecycleManager;
	/** Endpoint on which the daemon listens for other processes of the system. */
	readonly wire: Endpoint;
	/** Endpoints on which an entry listens for callers and operators. */
	readonly entry?: EntryEndpoints;
};

/**
Starts a daemon.
@param loaded - validated host settings and secrets.
@param adjust - registers other components before any is created: policies in benchmarks, fakes in tests.
@returns the daemon, listening.
@throws UnavailableError when it can't listen on an address.
*/
export async function startDaemon(loaded: LoadedHost, adjust?: (components: DependencyContainer) => void): Promise<Daemon> {
	const {host, secrets} = loaded;
	const components = host.role === 'entry' ? composeEntry(host, secrets) : composeAgent(host, secrets);
	adjust?.(components);
	const lifecycle = components.resolve(lifecycleToken);
	const log = components.resolve(loggerFactoryToken).for('daemon');
	lifecycle.onDidStop(() => {
		log.info('The process has stopped.');
	});
	if (host.role === 'entry') {
		const entry = await components.resolve(entryServiceToken).start(host);
		return {lifecycle, wire: entry.wire, entry};
	}

	return {lifecycle, wire: await components.resolve(agentServiceToken).start(host.wire)};
}

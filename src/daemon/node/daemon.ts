/** One process of the system, whatever its role. */
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
	/** Where it listens for other processes of the system. */
	readonly wire: Endpoint;
	/** Where an entry listens for callers and operators. */
	readonly entry?: EntryEndpoints;
};

/**
Starts a daemon.
@param loaded - checked host settings and secrets.
@param adjust - registers other parts before any is made: policies in benches, fakes in tests.
@returns the daemon, listening.
@throws UnavailableError when an address can't be had.
*/
export async function startDaemon(loaded: LoadedHost, adjust?: (parts: DependencyContainer) => void): Promise<Daemon> {
	const {host, secrets} = loaded;
	const parts = host.role === 'entry' ? composeEntry(host, secrets) : composeAgent(host, secrets);
	adjust?.(parts);
	const lifecycle = parts.resolve(lifecycleToken);
	const log = parts.resolve(loggerFactoryToken).for('daemon');
	lifecycle.onDidStop(() => {
		log.info('The process has stopped.');
	});
	if (host.role === 'entry') {
		const entry = await parts.resolve(entryServiceToken).start(host);
		return {lifecycle, wire: entry.wire, entry};
	}

	return {lifecycle, wire: await parts.resolve(agentServiceToken).start(host.wire)};
}

/** Basis for the composition of an entry that calls upstreams itself: the container, and the components that all others depend on. */
import 'reflect-metadata';
import {container, instanceCachingFactory, type InjectionToken} from 'tsyringe';
import {clockToken, type Clock} from '../../base/common/clock.js';
import {LifecycleManager} from '../../base/common/lifecycle.js';
import {loggerFactoryToken, type Logger} from '../../base/common/logger.js';
import {metricsToken} from '../../base/common/metrics.js';
import {randomToken, SeededRandom} from '../../base/common/random.js';
import {BoundedOutput} from '../../base/node/bounded-output.js';
import {ConsoleLoggers} from '../../base/node/console-logger.js';
import {newSeed} from '../../base/node/ids.js';
import {logSuspensions} from '../../base/node/log-suspensions.js';
import {SystemClock} from '../../base/node/system-clock.js';
import {TextMetrics} from '../../base/node/text-metrics.js';
import type {FeedSource} from '../../deployment/common/feed.js';
import type {OperatorRow} from '../../deployment/common/operator-row.js';
import type {SharedRow} from '../../deployment/common/shared-row.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {callerProtocolToken, type CallerProtocol} from '../../direct/common/caller-protocol.js';
import {upstreamProtocolToken, type UpstreamProtocol} from '../../direct/common/upstream-protocol.js';
import {peerMeshToken} from '../../peers/node/peer-mesh.js';
import {batchProtocolToken, type BatchProtocol} from '../../preparation/common/batch-protocol.js';
import type {DirectEntrySettings} from '../common/direct-settings.js';
import {lifecycleToken} from './daemon-tokens.js';

/** Interfaces that a platform's adapter provides: the platform's protocols, and the feeds of its store. */
export type PlatformPorts = {
	readonly callers: CallerProtocol;
	readonly upstreams: UpstreamProtocol;
	readonly batches: BatchProtocol;
	readonly declarations: FeedSource<OperatorRow>;
	readonly servers: FeedSource<UpstreamServer>;
	/** The same list on a connection of its own, for calls that must not wait behind one that the store holds. */
	readonly serverRefreshes: FeedSource<UpstreamServer>;
	/** Row in which the software versions of servers are archived. */
	readonly versionArchive: SharedRow;
};

/** What the functions that register the components of an entry share. */
export type Composition = {
	readonly settings: DirectEntrySettings;
	readonly ports: PlatformPorts;
	readonly lifecycle: LifecycleManager;
	readonly clock: Clock;
	readonly metrics: TextMetrics;
	readonly logOf: (part: string) => Logger;
	/** Registers the factory of a component, of which one instance is created when it is first resolved. */
	readonly register: <T>(token: InjectionToken<T>, factory: () => T) => void;
	readonly get: <T>(token: InjectionToken<T>) => T;
	readonly isLeaving: () => boolean;
	/** Number of hosts that serve, including this one. */
	readonly hostCount: () => number;
};

const millisecondsPerSecond = 1000;

/**
Creates the container, and registers the components that all others depend on: clock, logs, metrics, the platform's protocols.
@param settings - settings of the host.
@param ports - interfaces of the platform's adapter.
@param writeLine - receives the log lines; by default they go to standard output.
*/
export function createComposition(settings: DirectEntrySettings, ports: PlatformPorts, writeLine?: (line: string) => void): Composition {
	const components = container.createChildContainer();
	const register = <T>(token: InjectionToken<T>, factory: () => T) => {
		components.register(token, {useFactory: instanceCachingFactory(factory)});
	};

	const get = <T>(token: InjectionToken<T>): T => components.resolve(token);
	const lifecycle = LifecycleManager.create();
	const clock: Clock = SystemClock.create();
	const output = writeLine ? undefined : BoundedOutput.create(clock);
	const loggers = ConsoleLoggers.create({
		level: 'info', format: 'json', hostId: settings.hostId, write: writeLine ?? (line => {
			output?.write(line);
		}),
	});
	const metrics = lifecycle.register(TextMetrics.create());
	metrics.gauge('process.startTime', Math.floor(clock.wallMs() / millisecondsPerSecond));
	let isLeaving = false;
	lifecycle.onWillStop(() => {
		isLeaving = true;
	});

	lifecycle.register(logSuspensions(clock, loggers.for('clock'), metrics));
	register(lifecycleToken, () => lifecycle);
	register(clockToken, () => clock);
	register(randomToken, () => SeededRandom.create(newSeed()));
	register(loggerFactoryToken, () => loggers);
	register(metricsToken, () => metrics);
	register(callerProtocolToken, () => ports.callers);
	register(upstreamProtocolToken, () => ports.upstreams);
	register(batchProtocolToken, () => ports.batches);
	return {
		settings,
		ports,
		lifecycle,
		clock,
		metrics,
		logOf: part => loggers.for(part),
		register,
		get,
		isLeaving: () => isLeaving,
		hostCount: () => get(peerMeshToken).liveHosts.length + 1,
	};
}

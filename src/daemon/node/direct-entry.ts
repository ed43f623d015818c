/** Lifecycle of an entry that calls upstreams itself: start, planned stop, reload. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {LifecycleManager} from '../../base/common/lifecycle.js';
import type {Logger} from '../../base/common/logger.js';
import type {TextMetrics} from '../../base/node/text-metrics.js';
import {logUnexpectedErrors} from '../../base/node/unexpected-error-log.js';
import type {Ingress} from '../../direct/node/ingress.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {BatchHandler} from '../../preparation/node/batch-handler.js';
import type {Endpoint} from '../../wire/common/endpoint.js';
import type {WireServer} from '../../wire/node/wire-server.js';
import type {DirectEntrySettings} from '../common/direct-settings.js';

/**
Time for which a stopping entry still accepts requests. The load balancer checks readiness once a second and removes
a host after two negative responses. A request accepted 3 s after the signal or later must not be cut off for lack of
time, so accepting ends 0.2 s before that; later requests go to another host, which has time for them.
*/
const acceptWhileStoppingMs = 2800;
/** Maximum part of the time until open requests are cut in which a stopping entry still accepts requests. */
const maxAcceptingPart = 0.8;
/** Reserved from the time until the process is terminated from outside. */
const stopMarginMs = 500;
const pollIntervalMs = 50;
/** Time for the last refusals to reach their callers; many times the network latency. */
const lastResponsesMs = 200;

/** Dependencies of an entry. */
export type DirectEntryOptions = {
	readonly settings: DirectEntrySettings;
	readonly lifecycle: LifecycleManager;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: TextMetrics;
	readonly ingress: Ingress;
	readonly mesh: PeerMesh;
	readonly batchHandler: BatchHandler;
	readonly wire: WireServer;
	readonly feeds: ReadonlyArray<Disposable & {start(): void}>;
};

/** An entry that calls upstreams itself. */
export class DirectEntry {
	static create(options: DirectEntryOptions): DirectEntry {
		return new DirectEntry(options);
	}

	private constructor(private readonly options: DirectEntryOptions) {
		options.lifecycle.onWillStop(event => {
			event.waitFor(this.drain());
		});
	}

	/** All measurements, in the Prometheus text format. */
	get metricsText(): string {
		return this.options.metrics.render();
	}

	get lifecycle(): LifecycleManager {
		return this.options.lifecycle;
	}

	/** Logs and counts the unexpected errors of the process from now on; for a process that runs no other host. */
	logUnexpectedErrors(): void {
		const {log, metrics, clock} = this.options;
		logUnexpectedErrors(log, metrics, clock);
	}

	/**
	Starts serving.
	@returns the endpoints that it listens on.
	@throws UnavailableError when it can't listen on an address.
	*/
	async start(): Promise<{readonly callers: Endpoint; readonly readiness: Endpoint; readonly peers: Endpoint}> {
		const {settings, feeds, ingress, mesh, wire, metrics, log} = this.options;
		for (const feed of feeds) {
			feed.start();
		}

		const peers = await wire.listen(settings.peers);
		mesh.start(peers, settings.seeds);
		if (settings.metrics) {
			metrics.serve(settings.metrics.address, settings.metrics.port, reason => {
				log.error('Metrics can\'t be served.', {reason});
			});
		}

		const {callers, readiness} = await ingress.listen(settings.callers, settings.readiness);
		log.info('The entry has started.', {hall: settings.hall, callers: `${callers.address}:${callers.port}`, seeds: settings.seeds.length});
		return {callers, readiness, peers};
	}

	/**
	Applies the settings that may change while the process runs.
	@param settings - the settings as read again.
	*/
	reload(settings: DirectEntrySettings): void {
		this.options.mesh.addSeeds(settings.seeds);
		this.options.log.info('The host settings were reloaded.', {seeds: settings.seeds.length});
	}

	/** Keeps serving until the load balancer has removed this host and the requests and batches that it holds are finished. */
	private async drain(): Promise<void> {
		const {clock, ingress, batchHandler, mesh, settings, log} = this.options;
		const startMs = clock.nowMs();
		const openForMs = Math.max(0, settings.stopGraceMs - stopMarginMs);
		const acceptForMs = Math.min(acceptWhileStoppingMs, openForMs * maxAcceptingPart);
		const latestMs = startMs + openForMs;
		log.info('The entry is stopping.', {open: ingress.openCount, graceMs: settings.stopGraceMs});
		mesh.announce();
		batchHandler.handOver();
		await this.waitUntil(() => clock.nowMs() >= startMs + acceptForMs);
		// Requests accepted later might not finish in time; the load balancer was notified well before.
		ingress.stopAccepting();
		const hasAnswered = () => ingress.openCount === 0 && ingress.unwrittenCount === 0;
		const isDone = () => hasAnswered() && batchHandler.isIdle;
		await this.waitUntil(() => clock.nowMs() >= startMs + ((acceptForMs + openForMs) / 2) || isDone());
		// An upstream that got a request still later would hardly have time for it.
		ingress.refuseUnstarted();
		await this.waitUntil(() => clock.nowMs() >= latestMs || isDone());
		// If a connection closes without a response, its caller receives no information, not even that it may retry.
		ingress.refuseUnstarted();
		await this.waitUntil(() => clock.nowMs() >= latestMs + lastResponsesMs || hasAnswered());
		log.info('The entry has stopped.', {open: ingress.openCount, unwritten: ingress.unwrittenCount, tookMs: Math.round(clock.nowMs() - startMs)});
	}

	private async waitUntil(condition: () => boolean): Promise<void> {
		while (!condition()) {
			await new Promise<void>(resolve => {
				this.options.clock.setTimer(pollIntervalMs, resolve);
			});
		}
	}
}

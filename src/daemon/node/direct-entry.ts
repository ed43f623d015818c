/** The life of an entry that calls upstreams itself: start, planned stop, reload. */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {LifecycleManager} from '../../base/common/lifecycle.js';
import type {Logger} from '../../base/common/logger.js';
import type {TextMetrics} from '../../base/node/text-metrics.js';
import type {Ingress} from '../../direct/node/ingress.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {BatchHandler} from '../../preparation/node/batch-handler.js';
import type {Endpoint} from '../../wire/common/endpoint.js';
import type {WireServer} from '../../wire/node/wire-server.js';
import type {DirectEntrySettings} from '../common/direct-settings.js';

/**
How long a stopping entry still takes requests: the balancer asks once a second, and takes a host out after two
answers that say no. What is taken 3 s after the signal or later may not be cut off for want of time, so that the last
ones need a margin; they go to another host, which has time for them.
*/
const announceMs = 2800;
/** Kept back from the time until the process is ended from outside. */
const stopMarginMs = 500;
const lookMs = 50;
/** Time for the last refusals to reach their callers: many times the way there. */
const lastAnswersMs = 200;

/** What an entry is made of. */
export type DirectEntryOptions = {
	readonly settings: DirectEntrySettings;
	readonly lifecycle: LifecycleManager;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: TextMetrics;
	readonly ingress: Ingress;
	readonly mesh: PeerMesh;
	readonly desk: BatchHandler;
	readonly wire: WireServer;
	readonly feeds: ReadonlyArray<Disposable & {start(): void}>;
};

/** One entry. */
export class DirectEntry {
	static create(options: DirectEntryOptions): DirectEntry {
		return new DirectEntry(options);
	}

	private constructor(private readonly options: DirectEntryOptions) {
		options.lifecycle.onWillStop(event => {
			event.waitFor(this.drain());
		});
	}

	get lifecycle(): LifecycleManager {
		return this.options.lifecycle;
	}

	/**
	Starts serving.
	@returns where it listens.
	@throws UnavailableError when an address can't be had.
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
				log.error('Figures can\'t be served.', {reason});
			});
		}

		const {callers, readiness} = await ingress.listen(settings.callers, settings.readiness);
		log.info('The entry has started.', {hall: settings.hall, callers: `${callers.address}:${callers.port}`, seeds: settings.seeds.length});
		return {callers, readiness, peers};
	}

	/**
	Takes over what may change while the process runs.
	@param settings - as read again.
	*/
	reload(settings: DirectEntrySettings): void {
		this.options.mesh.addSeeds(settings.seeds);
		this.options.log.info('The settings of the host were read again.', {seeds: settings.seeds.length});
	}

	/** Serves on until the balancer has taken this host out and what it has is finished. */
	private async drain(): Promise<void> {
		const {clock, ingress, desk, mesh, settings, log} = this.options;
		const startMs = clock.nowMs();
		const latestMs = startMs + settings.stopGraceMs - stopMarginMs;
		log.info('The entry is stopping.', {open: ingress.openCount, graceMs: settings.stopGraceMs});
		mesh.announce();
		desk.handOver();
		await this.until(() => clock.nowMs() >= startMs + announceMs);
		// What is taken later might not end in time; the balancer has long been told.
		ingress.stopTaking();
		await this.until(() => clock.nowMs() >= latestMs || (ingress.openCount === 0 && desk.isIdle));
		// A connection that closes without an answer tells its caller nothing, not even that it may ask again.
		ingress.refuseUnstarted();
		await this.until(() => clock.nowMs() >= latestMs + lastAnswersMs || ingress.openCount === 0);
		log.info('The entry has stopped.', {open: ingress.openCount, tookMs: Math.round(clock.nowMs() - startMs)});
	}

	private async until(isTrue: () => boolean): Promise<void> {
		while (!isTrue()) {
			await new Promise<void>(resolve => {
				this.options.clock.setTimer(lookMs, resolve);
			});
		}
	}
}

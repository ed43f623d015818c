/**
Keeps the load that servers report about themselves in their responses to this host. It is not sent to peers: it changes many times a second.

Responses are counted in the order of their arrival, whenever their calls were sent: a server states its load when it writes the head of a
response. Only reports with a slowness have an effect.
*/
import type {InjectionToken} from 'tsyringe';
import {Emitter} from '../../base/common/emitter.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {LoggedOnce} from '../../deployment/common/logged-once.js';
import type {LoadReading} from '../../deployment/common/server-notices.js';
import type {ServerRegistry} from '../../deployment/common/server-registry.js';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {UpstreamLoad} from '../../wire/common/messages.js';

/** Time for which a report counts fully: reported speeds change many times a second. */
const freshMs = 300;
/** Time after that in which the reported slowness returns to 1, so that a server that got no work because of its report gets some again. */
const fadeMs = 300;
/** Bounds of the slowness, so that no report makes a server as good as free of cost or as good as unusable. */
const minSlowness = 0.25;
const maxSlowness = 20;
/** Difference up to which two successive reports count as the same speed. */
const unchangedShare = 0.2;
/** Maximum number of servers that are remembered; beyond it the one whose last report is the oldest is evicted. */
const maxRemembered = 2000;
/** Interval of the log line with the reported speeds of a pool. */
const logIntervalMs = 5000;
const maxLoggedServers = 50;
const maxLoggedChars = 80;
const usualSpeed = 100;

/** The last figure of a server. */
export type ReportedFigure = {
	/** Ratio of the duration of work to the usual one; returns to 1 as the report ages. */
	readonly slowness: number;
	/** Time since the report. */
	readonly ageMs: number;
	/** When the reported slowness last differed from the report before. */
	readonly changedMs: number;
};

/** A load that a response reported. */
export type LoadReport = {readonly serverId: string; readonly load: UpstreamLoad; readonly nowMs: number};

export const reportedLoadsToken: InjectionToken<ReportedLoads> = Symbol('ReportedLoads');

/** Options of `ReportedLoads`. */
export type ReportedLoadsOptions = {
	readonly registry: Pick<ServerRegistry, 'get' | 'onDidChange'>;
	readonly log: Logger;
	readonly metrics: Metrics;
};

type KnownReport = {readonly pool: string; readonly slowness: number; readonly reportedMs: number; readonly changedMs: number};

/** Tracks the reports of all servers. */
export class ReportedLoads {
	static create(options: ReportedLoadsOptions): ReportedLoads {
		return new ReportedLoads(options);
	}

	/** By `serverId`, ordered by the time of the report. */
	private readonly reports = new Map<string, KnownReport>();
	/** When the speeds of a pool were last logged. */
	private readonly loggedMs = new Map<string, number>();
	/** Servers for which a malformed load was logged. */
	private readonly loggedMalformed = LoggedOnce.create();
	private readonly didReport = Emitter.create<LoadReport>();

	private constructor(private readonly options: ReportedLoadsOptions) {
		options.registry.onDidChange(({server, change}) => {
			if (change === 'gone') {
				this.reports.delete(server.serverId);
				this.loggedMalformed.forget(server.serverId);
			}
		});
	}

	/** Fires for each report with a slowness. */
	get onDidReport() {
		return this.didReport.event;
	}

	/**
	Handles a response to this host.
	@param server - the server that the call was intended for.
	@param reading - what the response states about the load.
	@param nowMs - the current time.
	*/
	handleResponse({serverId, pool}: Pick<UpstreamServer, 'serverId' | 'pool'>, reading: LoadReading, nowMs: number): void {
		if (reading.kind === 'unreadable') {
			this.logMalformed(serverId, pool, reading.text);
			return;
		}

		// A server that is gone may still complete calls; its report would never be removed.
		if (reading.kind === 'none' || reading.slowness === undefined || !this.options.registry.get(serverId)) {
			return;
		}

		const {running, waiting, slots} = reading;
		const slowness = Math.min(maxSlowness, Math.max(minSlowness, reading.slowness));
		const before = this.reports.get(serverId);
		const isUnchanged = before !== undefined && Math.abs(slowness - before.slowness) <= before.slowness * unchangedShare;
		this.reports.delete(serverId);
		this.reports.set(serverId, {
			pool, slowness, reportedMs: nowMs, changedMs: isUnchanged ? before.changedMs : nowMs,
		});
		if (this.reports.size > maxRemembered) {
			const [oldest] = this.reports.keys();
			this.reports.delete(oldest);
		}

		this.options.metrics.increment('loads.reported', 1, {pool});
		this.logSpeeds(pool, nowMs);
		this.didReport.fire({
			serverId, nowMs, load: {
				running, queued: waiting, slots, serviceMs: 0, models: [],
			},
		});
	}

	/**
	Returns the last figure of a server.
	@param serverId - the server.
	@param nowMs - the current time.
	@returns the figure, or undefined if the server has reported none.
	*/
	figureAt(serverId: string, nowMs: number): ReportedFigure | undefined {
		const report = this.reports.get(serverId);
		if (!report) {
			return undefined;
		}

		const ageMs = Math.max(0, nowMs - report.reportedMs);
		const weight = Math.min(1, Math.max(0, 1 - ((ageMs - freshMs) / fadeMs)));
		return {slowness: 1 + ((report.slowness - 1) * weight), ageMs, changedMs: report.changedMs};
	}

	/**
	Returns the reported slowness of a server while its report has any effect.
	@param serverId - the server.
	@param nowMs - the current time.
	@returns the ratio of the duration of work to the usual one, or undefined if there is no recent report.
	*/
	slownessAt(serverId: string, nowMs: number): number | undefined {
		const figure = this.figureAt(serverId, nowMs);
		return figure && figure.ageMs < freshMs + fadeMs ? figure.slowness : undefined;
	}

	/** Logs the last speeds of a pool's servers at intervals: each response may report another one. */
	private logSpeeds(pool: string, nowMs: number): void {
		if (nowMs - (this.loggedMs.get(pool) ?? -Infinity) < logIntervalMs) {
			return;
		}

		this.loggedMs.set(pool, nowMs);
		const reports = [...this.reports].filter(([, report]) => report.pool === pool);
		this.options.log.info('Upstreams report their speed.', {
			pool,
			servers: reports.length,
			reportedSpeed: reports.slice(-maxLoggedServers).map(([serverId, {slowness}]) => `${serverId}:${Math.round(slowness * usualSpeed)}`).join(' '),
		});
	}

	private logMalformed(serverId: string, pool: string, text: string): void {
		this.options.metrics.increment('loads.unreadable', 1, {pool});
		if (this.loggedMalformed.isFirst(serverId)) {
			this.options.log.warn('An upstream reported a load that can\'t be parsed; ignoring it.', {server: serverId, pool, load: text.slice(0, maxLoggedChars)});
		}
	}
}

/** Decides whether a caller may resume a stream, and where it must run. */
import type {Metrics} from '../../base/common/metrics.js';
import type {Logger} from '../../base/common/logger.js';
import type {Clock} from '../../base/common/clock.js';
import {routeKinds} from '../../deployment/common/declaration.js';
import {historyMs, type VersionHistory} from '../../deployment/common/version-history.js';
import type {ListRefresher} from '../../deployment/node/list-refresher.js';
import {
	maxStreamLifeMs, streamIdOf, type KnownOrigin, type StreamRecord,
} from '../common/stream-origins.js';
import {shortenForLog} from '../../request/common/request-log-messages.js';
import {versionGoneText} from '../../request/common/stream-origin.js';
import type {StreamContinuity} from '../common/stream-continuity.js';
import {notRunText} from './pass-through-writer.js';
import {hostStatuses, type Refusal, type ResolvedRequest} from './resolve-request.js';
import type {StreamDirectory} from './stream-directory.js';

/** Added to a caller's time limit, so that a stream is still known to a request that is sent just before it. */
const lifeMarginMs = 1000;
/** Why a stream is not resumed; the keys are outcomes in logs and metrics. */
const refusals = {
	notResumable: 'the streams of this route can\'t be resumed',
	unknown: 'it is not known which software version began this stream',
	listOutdated: 'the servers that may continue this stream may have started again',
	otherPool: 'the pool that began this stream no longer serves its route',
	versionGone: versionGoneText,
} as const;

/** Dependencies of `StreamResumption`. */
export type StreamResumptionOptions = {
	readonly directory: Pick<StreamDirectory, 'recordBegun' | 'lookUp'>;
	readonly history: Pick<VersionHistory, 'soleVersion'>;
	readonly refresher: Pick<ListRefresher, 'refresh'>;
	readonly continuity: Pick<StreamContinuity, 'serversFor'>;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
};

type StreamRequest = Pick<ResolvedRequest, 'route' | 'workspace' | 'callerRequest'>;

/** Resolves the streams that callers resume to where they began. */
export class StreamResumption {
	static create(options: StreamResumptionOptions): StreamResumption {
		return new StreamResumption(options);
	}

	private constructor(private readonly options: StreamResumptionOptions) {}

	/**
	Returns whether a request resumes a stream of an earlier one.
	@param request - the request, with its route.
	*/
	isResumed({route, callerRequest}: StreamRequest): boolean {
		return route.kind === routeKinds.stream && callerRequest.resumeAfter !== undefined;
	}

	/**
	Finds out where a stream began that a request resumes.
	@param request - a request for which `isResumed` is true.
	@returns where it began, or why the request is refused.
	*/
	async originOf(request: StreamRequest): Promise<KnownOrigin | Refusal> {
		const {route, workspace, callerRequest: {resumedRequestId}} = request;
		if (!route.isResumable) {
			return this.refusal(request, 'notResumable');
		}

		const record = resumedRequestId ? await this.options.directory.lookUp(streamIdOf(workspace?.name ?? '', resumedRequestId)) : undefined;
		const origin = record ? record.origin : await this.soleOriginOf(request);
		if (!origin) {
			return this.refusal(request, 'unknown', record);
		}

		if (route.targets.every(target => target.pool !== origin.pool)) {
			return this.refusal(request, 'otherPool', record, origin);
		}

		const {continuity, refresher} = this.options;
		// A server that keeps its id over its starts may run another version than the one that this host has been told of.
		const mayHaveRestarted = continuity.serversFor(origin).some(({startedMs}) => startedMs !== 0);
		if (record && mayHaveRestarted && !await refresher.refresh()) {
			return this.refusal(request, 'listOutdated', record, origin);
		}

		if (continuity.serversFor(origin).length === 0) {
			return this.refusal(request, 'versionGone', record, origin);
		}

		this.report(request, 'continued', record, origin);
		return origin;
	}

	/**
	Records that a stream begins, so that its caller can resume it at any host.
	@param request - the request that begins it.
	@param origin - where it begins; not recorded if its software version is not known.
	*/
	recordBegun({route, workspace, callerRequest: {requestId, remainingMs}}: StreamRequest, {pool, softwareVersion}: {readonly pool: string; readonly softwareVersion: string | undefined}): void {
		if (route.isResumable && requestId !== '' && softwareVersion !== undefined) {
			this.options.directory.recordBegun(streamIdOf(workspace?.name ?? '', requestId), {pool, softwareVersion}, Math.min(maxStreamLifeMs, (remainingMs ?? Infinity) + lifeMarginMs));
		}
	}

	/**
	Returns the only origin that a stream can have of which nothing is recorded, or undefined if there may be several. Its age is not known: callers
	may wait for longer than the route's limit, which may have changed, and may state another time limit at each try.
	*/
	private async soleOriginOf({route}: StreamRequest): Promise<KnownOrigin | undefined> {
		if (route.targets.length !== 1) {
			return undefined;
		}

		const [{pool}] = route.targets;
		const soleVersion = () => this.options.history.soleVersion(pool, historyMs);
		// Another host may know servers of another version already, and have begun the stream there.
		if (soleVersion() === undefined || !await this.options.refresher.refresh()) {
			return undefined;
		}

		const softwareVersion = soleVersion();
		return softwareVersion === undefined ? undefined : {pool, softwareVersion};
	}

	private refusal(request: StreamRequest, outcome: keyof typeof refusals, record?: StreamRecord, origin?: KnownOrigin): Refusal {
		this.report(request, outcome, record, origin);
		return {requestId: request.callerRequest.requestId, status: hostStatuses.unavailable, reason: notRunText(refusals[outcome])};
	}

	private report({route, callerRequest}: StreamRequest, outcome: 'continued' | keyof typeof refusals, record?: StreamRecord, origin?: KnownOrigin): void {
		const {clock, log, metrics} = this.options;
		const {requestId, resumedRequestId, resumeAfter} = callerRequest;
		const unrecordedSource = origin && 'only version';
		metrics.increment('streams.resumptions', 1, {outcome});
		log.info(outcome === 'continued' ? 'A caller resumes a stream.' : 'A caller\'s stream is not resumed.', {
			request: requestId,
			resumedRequest: shortenForLog(resumedRequestId),
			resumeAfter: shortenForLog(resumeAfter),
			route: route.name,
			outcome,
			pool: origin?.pool,
			softwareVersion: origin?.softwareVersion,
			source: record?.source ?? unrecordedSource,
			knownForMs: record && Math.round(clock.nowMs() - record.recordedMs),
		});
	}
}

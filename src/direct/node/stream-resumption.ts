/** Decides whether a caller may resume a stream, and where it must run. */
import type {Metrics} from '../../base/common/metrics.js';
import type {Logger} from '../../base/common/logger.js';
import type {Clock} from '../../base/common/clock.js';
import {routeKinds} from '../../deployment/common/declaration.js';
import {
	maxStreamLifeMs, streamIdOf, type KnownOrigin, type StreamRecord,
} from '../common/stream-origins.js';
import {notRunText} from './pass-through-writer.js';
import {hostStatuses, type Refusal, type ResolvedRequest} from './resolve-request.js';
import type {StreamDirectory} from './stream-directory.js';

/** Added to a caller's time limit, so that a stream is still known to a request that is sent just before it. */
const lifeMarginMs = 1000;
/** Why a stream is not resumed; the reasons appear in metrics. */
const refusals = {
	notResumable: 'the streams of this route can\'t be resumed',
	unknown: 'it is not known which software version began this stream',
	otherPool: 'the pool that began this stream no longer serves its route',
} as const;

/** Dependencies of `StreamResumption`. */
export type StreamResumptionOptions = {
	readonly directory: Pick<StreamDirectory, 'recordBegun' | 'lookUp'>;
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
		if (!record?.origin) {
			return this.refusal(request, 'unknown');
		}

		const {pool} = record.origin;
		if (route.targets.every(target => target.pool !== pool)) {
			return this.refusal(request, 'otherPool');
		}

		this.logContinued(request, record.origin, record);
		return record.origin;
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

	private refusal({callerRequest: {requestId}}: StreamRequest, reason: keyof typeof refusals): Refusal {
		this.options.metrics.increment('streams.resumptions', 1, {outcome: reason});
		return {requestId, status: hostStatuses.unavailable, reason: notRunText(refusals[reason])};
	}

	private logContinued({callerRequest: {requestId, resumedRequestId, resumeAfter}}: StreamRequest, {pool, softwareVersion}: KnownOrigin, {source, recordedMs}: StreamRecord): void {
		const {clock, log, metrics} = this.options;
		metrics.increment('streams.resumptions', 1, {outcome: 'continued'});
		log.info('A caller resumes a stream.', {
			request: requestId, resumedRequest: resumedRequestId, resumeAfter, pool, softwareVersion, source, knownForMs: Math.round(clock.nowMs() - recordedMs),
		});
	}
}

/** Serves one request of a caller from its start to its last byte: writes the response, runs the preparation, and records logs and metrics. */
import type {ServerResponse} from 'node:http';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {fail} from '../../base/common/outcome.js';
import type {Preparer} from '../../preparation/node/preparer.js';
import {requestLogMessages, shortenForLog} from '../../request/common/request-log-messages.js';
import {
	failureCodes, outcomes, type RequestPlan, type RequestResult,
} from '../../request/common/request-plan.js';
import type {StreamOrigin} from '../../request/common/stream-origin.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import type {CallerRequest} from '../common/caller-protocol.js';
import {EventSequence} from '../common/event-sequence.js';
import type {DirectLinks} from './direct-links.js';
import {PassThroughWriter, responseEndings, type ResponseEnding} from './pass-through-writer.js';

/** The request and the dependencies needed to serve it. */
export type ServedRequestOptions = {
	readonly plan: RequestPlan;
	readonly callerRequest: CallerRequest;
	readonly response: ServerResponse;
	readonly links: DirectLinks;
	readonly preparer: Preparer | undefined;
	/** Reservation of a send to a bounded pool; disposed when the call is written or the request ends. */
	readonly reservation: Disposable | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly isHead: boolean;
	/** Time within which the response, or its first event, has its full value. */
	readonly targetMs: number;
	/** How long ago the caller first sent the request. */
	readonly sinceFirstTryMs: number;
	/** Predicted time to the first event of a request that was admitted late; otherwise undefined. */
	readonly latePredictedMs: number | undefined;
	/** Called before the first event of a stream that begins with this request is delivered; absent if the request resumes one. */
	readonly onStreamBegun: ((origin: StreamOrigin) => void) | undefined;
	/** Called when the request has ended, with what its caller received. */
	readonly onEnded: (ending: ResponseEnding) => void;
	/** Called when an error of this host has ended the request, to answer it or to cut its response off. */
	readonly onFailed: (error: unknown) => void;
};

/** Serves one request. */
export class ServedRequest {
	static create(options: ServedRequestOptions): ServedRequest {
		return new ServedRequest(options);
	}

	private readonly writer: PassThroughWriter;
	private readonly events: EventSequence;
	private preparedMs = 0;
	private firstDeliveryMs = 0;
	private deliveredUnits = 0;
	private isFinished = false;
	private isReleased = false;
	private registration: Disposable | undefined;

	private constructor(private readonly options: ServedRequestOptions) {
		this.events = EventSequence.create(options.callerRequest.resumeAfter);
		this.writer = PassThroughWriter.create(options.response, options.isHead);
	}

	/**
	Starts the request.
	@param runner - runs it.
	@throws what the runner throws; the request has then ended, and the response is left to the caller of this method.
	*/
	start(runner: RequestRunner): void {
		try {
			this.startWith(runner);
		} catch (error) {
			this.isFinished = true;
			this.release();
			this.options.onEnded(responseEndings.whole);
			throw error;
		}
	}

	/** Releases what the request holds, once. */
	private release(): void {
		if (!this.isReleased) {
			this.isReleased = true;
			this.registration?.dispose();
			this.options.reservation?.dispose();
			this.options.preparer?.end();
		}
	}

	private startWith(runner: RequestRunner): void {
		const {plan, callerRequest, response, links, preparer, reservation, clock} = this.options;
		this.registration = links.register(plan.requestId, {
			callerRequestId: callerRequest.requestId, deadlineMs: plan.deadlineMs, isStreaming: plan.isStreaming, sharedParts: plan.sharedParts ?? [], events: this.events,
			onWrite() {
				reservation?.dispose();
				preparer?.handleSent();
			},
		});
		const callerGone = runner.start(plan, {
			claim: async () => fail({code: 'unavailable', message: 'requests that go straight to upstreams are not claimed'}),
			keyTaken: () => undefined,
			prepare: async isAgain => {
				const prepared = await preparer!.run(isAgain);
				this.preparedMs = clock.nowMs() - plan.startMs;
				return prepared;
			},
			stopPreparing() {
				preparer?.end();
			},
			deliver: (units, data, http, origin): Promise<void> | undefined => {
				if (this.isFinished) {
					return undefined;
				}

				this.deliveredUnits += units;
				if (plan.isStreaming) {
					this.events.append(data);
				}

				if (this.firstDeliveryMs === 0) {
					this.firstDeliveryMs = clock.nowMs() - plan.startMs;
					if (origin) {
						this.options.onStreamBegun?.(origin);
					}
				}

				// The upstream has read the prepared results before it sends its first event, also where it continues a response.
				preparer?.end();

				return this.writer.deliver(units, data, http);
			},
			finish: result => {
				if (this.isFinished) {
					return;
				}

				this.isFinished = true;
				this.release();
				const ending = this.writer.finish(result);
				this.logResult(result, ending);
				this.options.onEnded(ending);
			},
			settle: () => undefined,
			fail: error => {
				this.isFinished = true;
				this.options.onFailed(error);
				this.release();
				this.options.onEnded(responseEndings.whole);
			},
		});
		response.on('close', () => {
			if (!this.isFinished) {
				callerGone();
			}
		});
	}

	private logResult(result: RequestResult, ending: ResponseEnding): void {
		const {plan, callerRequest, log, metrics, latePredictedMs} = this.options;
		const {status} = this.writer;
		log.info(requestLogMessages.ended, {
			request: callerRequest.requestId,
			resumedRequest: shortenForLog(callerRequest.resumedRequestId),
			resumeAfter: shortenForLog(callerRequest.resumeAfter),
			route: plan.pipeline,
			workspace: plan.workspace,
			version: plan.settingsRevision,
			outcome: result.outcome,
			code: result.code,
			reason: result.code === undefined ? undefined : result.message,
			status,
			ending,
			deliveredUnits: this.deliveredUnits,
			targetMs: this.options.targetMs,
			sinceFirstTryMs: this.options.sinceFirstTryMs,
			latePredictedMs: latePredictedMs === undefined ? undefined : Math.round(latePredictedMs),
			tookMs: Math.round(result.tookMs),
			preparedMs: Math.round(this.preparedMs),
			firstMs: Math.round(this.firstDeliveryMs),
			attempts: attemptsText(result, plan.startMs),
		});
		if (ending === responseEndings.mismatched) {
			log.error('A response was cut off, since its result does not match what was delivered.', {request: callerRequest.requestId, deliveredUnits: this.deliveredUnits, units: result.units});
		}

		metrics.increment('requests.ended', 1, {route: plan.pipeline, outcome: result.outcome, code: result.code ?? 'none'});
		metrics.increment('responses.ended', 1, {ending});
		this.countContinuations(result);
		metrics.timing('requests.took', result.tookMs, {route: plan.pipeline});
	}

	/** Counts how often the response was to be continued at another server, by what became of it. */
	private countContinuations({outcome, code, stages}: RequestResult): void {
		const count = stages.flatMap(stage => stage.attempts).filter(({kind}) => kind === 'resume').length;
		const isVersionGone = code === failureCodes.versionGone;
		if (count > 0 || isVersionGone) {
			const ended = outcome === outcomes.completed ? 'completed' : 'brokenOff';
			this.options.metrics.increment('streams.continuations', Math.max(1, count), {outcome: isVersionGone ? 'versionGone' : ended});
		}
	}
}

/**
Formats each attempt as `server(version) kind state status unframed units reason sentAt+run`, times in milliseconds. Left out are what is not known, `unframed` for
responses with a length or chunks, and the units (`3u`) of attempts that delivered none.
*/
function attemptsText(result: RequestResult, startMs: number): string {
	return result.stages.flatMap(stage => stage.attempts).map(attempt => {
		const sentMs = Math.round(attempt.sentAtMs - startMs);
		const version = attempt.softwareVersion === undefined ? '' : `(${attempt.softwareVersion})`;
		const response = [attempt.status, attempt.isUnframed ? 'unframed' : '', attempt.units > 0 ? `${attempt.units}u` : ''];
		return [`${attempt.upstreamId}${version}`, attempt.kind, attempt.state, ...response, attempt.reason, `${sentMs}+${Math.round(attempt.runMs)}`]
			.filter(part => part !== undefined && part !== '').join(' ');
	}).join('; ');
}

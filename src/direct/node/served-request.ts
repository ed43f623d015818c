/** One request of a caller, from its start to its last byte: ties its life to connection, preparation, logs and metrics. */
import type {ServerResponse} from 'node:http';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import {fail} from '../../base/common/outcome.js';
import type {Preparer} from '../../preparation/node/preparer.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import type {RequestPlan, RequestResult} from '../../request/common/request-plan.js';
import type {RequestRunner} from '../../request/node/request-runner.js';
import type {CallerAsk} from '../common/caller-protocol.js';
import type {DirectLinks} from './direct-links.js';
import {PassThroughWriter} from './pass-through-writer.js';

/** What a served request is made of. */
export type ServedRequestOptions = {
	readonly plan: RequestPlan;
	readonly ask: CallerAsk;
	readonly response: ServerResponse;
	readonly links: DirectLinks;
	readonly preparer: Preparer | undefined;
	/** Keeps a send to a bounded pool for the time after the steps; disposing gives it up. */
	readonly reservation: Disposable | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly isHead: boolean;
	/** Within this time the answer, or its first event, is worth most. */
	readonly targetMs: number;
	/** How long ago its caller first asked. */
	readonly sinceFirstTryMs: number;
	readonly ended: () => void;
};

/** Serves one request. */
export class ServedRequest {
	static create(options: ServedRequestOptions): ServedRequest {
		return new ServedRequest(options);
	}

	private readonly writer: PassThroughWriter;
	private preparedMs = 0;
	private firstMs = 0;
	private isFinished = false;

	private constructor(private readonly options: ServedRequestOptions) {
		this.writer = PassThroughWriter.create(options.response, options.isHead);
	}

	start(runner: RequestRunner): void {
		const {plan, ask, response, links, preparer, reservation, clock} = this.options;
		const registration = links.register(plan.requestId, {
			callerRequestId: ask.requestId, deadlineMs: plan.deadlineMs, isStreaming: plan.isStreaming, resumeAfter: ask.resumeAfter,
			written() {
				reservation?.dispose();
				preparer?.handleSent();
			},
		});
		const callerGone = runner.start(plan, {
			claim: async () => fail({code: 'unavailable', message: 'requests that go straight to upstreams are not claimed'}),
			taken: () => undefined,
			prepare: async isAgain => {
				const prepared = await preparer!.run(isAgain);
				this.preparedMs = clock.nowMs() - plan.startMs;
				return prepared;
			},
			deliver: async (_units, data, http) => {
				if (this.firstMs === 0) {
					this.firstMs = clock.nowMs() - plan.startMs;
					// The upstream has read them before its first event.
					preparer?.end();
				}

				return this.writer.deliver(data, http);
			},
			finish: result => {
				this.isFinished = true;
				registration.dispose();
				reservation?.dispose();
				preparer?.end();
				this.writer.finish(result);
				this.report(result);
				this.options.ended();
			},
			settle: () => undefined,
		});
		response.on('close', () => {
			if (!this.isFinished) {
				callerGone();
			}
		});
	}

	private report(result: RequestResult): void {
		const {plan, ask, log, metrics} = this.options;
		const {status} = this.writer;
		log.info(requestLogMessages.ended, {
			request: ask.requestId,
			route: plan.pipeline,
			workspace: plan.workspace,
			version: plan.settingsRevision,
			outcome: result.outcome,
			code: result.code,
			reason: result.code === undefined ? undefined : result.message,
			status,
			targetMs: this.options.targetMs,
			sinceFirstTryMs: this.options.sinceFirstTryMs,
			tookMs: Math.round(result.tookMs),
			preparedMs: Math.round(this.preparedMs),
			firstMs: Math.round(this.firstMs),
			attempts: attemptsText(result, plan.startMs),
		});
		metrics.increment('requests.ended', 1, {route: plan.pipeline, outcome: result.outcome, code: result.code ?? 'none'});
		metrics.timing('requests.took', result.tookMs, {route: plan.pipeline});
	}
}

/** Each attempt as `server kind state reason sentAt+run`. */
function attemptsText(result: RequestResult, startMs: number): string {
	return result.stages.flatMap(stage => stage.attempts).map(attempt => {
		const sentMs = Math.round(attempt.sentAtMs - startMs);
		return `${attempt.upstreamId} ${attempt.kind} ${attempt.state} ${attempt.reason} ${sentMs}+${Math.round(attempt.runMs)}`.replaceAll('  ', ' ');
	}).join('; ');
}

/** Writes the answer of one request to its caller: whole, streamed, or an error. */
import type {ServerResponse} from 'node:http';
import type {StoredResponse} from '../../request/common/claim.js';
import {outcomes, type RequestResult} from '../../request/common/request-plan.js';
import {problemOfResult} from '../common/problems.js';
import {sendJson, sendProblem} from './http-common.js';

const statusOk = 200;

/** How an answer is written. */
export type AnswerOptions = {
	readonly requestId: string;
	readonly isStreaming: boolean;
	readonly isExplained: boolean;
	/** Whether the answer of a plain service is passed on as it is. */
	readonly isPlain: boolean;
};

/** Writes one answer. */
export class AnswerWriter {
	static create(response: ServerResponse, options: AnswerOptions): AnswerWriter {
		return new AnswerWriter(response, options);
	}

	private readonly decoder = new TextDecoder();
	private isStreamOpen = false;
	private sequence = 0;

	private constructor(private readonly response: ServerResponse, private readonly options: AnswerOptions) {}

	/**
	Writes units of a streamed answer.
	@param units - how many.
	@param data - their bytes.
	@returns ends when more can be taken, or nothing if at once.
	*/
	deliver(units: number, data: Uint8Array): Promise<void> | undefined {
		this.openStream();
		const text = this.decoder.decode(data, {stream: true});
		const isFree = this.writeEvent('chunk', {sequence: this.sequence, units, text});
		this.sequence += units;
		if (isFree || this.response.destroyed) {
			return undefined;
		}

		return new Promise(resolve => {
			this.response.once('drain', resolve);
			this.response.once('close', resolve);
		});
	}

	/**
	Writes the end.
	@param result - how the request ended.
	@returns what may be kept for a repeat.
	*/
	finish(result: RequestResult): StoredResponse | undefined {
		if (result.outcome !== outcomes.completed) {
			this.finishFailed(result);
			return undefined;
		}

		if (this.options.isPlain) {
			return this.finishPlain(result);
		}

		const summary = this.summaryOf(result);
		if (this.options.isStreaming) {
			if (!this.isStreamOpen && result.body.byteLength > 0) {
				void this.deliver(result.units, result.body);
			}

			this.openStream();
			this.writeEvent('end', summary);
			this.response.end();
		} else {
			this.setHeaders(result);
			sendJson(this.response, statusOk, {...summary, answer: answerOf(result.body)});
		}

		return {
			status: statusOk, contentType: 'application/json; charset=utf-8', text: JSON.stringify({...summary, answer: answerOf(result.body)}),
		};
	}

	private finishPlain(result: RequestResult): StoredResponse | undefined {
		const status = result.http?.status ?? statusOk;
		this.setHeaders(result);
		const headers = new Headers((result.http?.headers ?? []).filter(({name}) => name !== 'content-length').map(({name, value}) => [name, value]));
		this.response.setHeaders(headers);
		this.response.writeHead(status);
		this.response.end(result.body);
		const text = new TextDecoder().decode(result.body);
		return {status, contentType: headers.get('content-type') ?? 'application/octet-stream', text};
	}

	private finishFailed(result: RequestResult): void {
		const problem = problemOfResult(this.options.requestId, result);
		if (this.isStreamOpen) {
			// Part of the answer is out: the error takes the place of the end mark.
			this.writeEvent('error', problem);
			this.response.end();
		} else {
			sendProblem(this.response, {...problem, ...(this.options.isExplained && {more: result.stages})});
		}
	}

	private summaryOf(result: RequestResult) {
		return {
			requestId: this.options.requestId,
			outcome: result.outcome,
			isLate: result.isLate,
			tookMs: round(result.tookMs),
			units: result.units,
			digest: result.digest,
			stages: result.stages.map(trace => ({
				stage: trace.stage,
				upstream: trace.attempts.findLast(attempt => attempt.state === outcomes.completed)?.upstreamId,
				tookMs: round(trace.tookMs),
				usefulMs: round(trace.usefulMs),
				wastedMs: round(trace.wastedMs),
				attempts: trace.attempts.length,
			})),
			...(this.options.isExplained && {explain: result.stages}),
		};
	}

	private setHeaders(result: RequestResult): void {
		this.response.setHeader('x-request-id', this.options.requestId);
		this.response.setHeader('x-outcome', result.outcome);
		this.response.setHeader('x-late', String(result.isLate));
		if (this.options.isPlain) {
			this.response.setHeader('x-upstream', result.stages[0].attempts.at(-1)?.upstreamId ?? '');
			if (this.options.isExplained) {
				this.response.setHeader('x-explain', JSON.stringify(result.stages));
			}
		}
	}

	private openStream(): void {
		if (!this.isStreamOpen) {
			this.isStreamOpen = true;
			this.response.writeHead(statusOk, {
				'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-store', 'x-request-id': this.options.requestId,
			});
		}
	}

	private writeEvent(event: string, data: unknown): boolean {
		return this.response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
	}
}

function round(valueMs: number): number {
	return Math.round(valueMs * 10) / 10;
}

/** JSON where the last stage gave JSON, else its text. */
function answerOf(body: Uint8Array): unknown {
	const text = new TextDecoder().decode(body);
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

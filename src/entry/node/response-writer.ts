/** Writes the response to one request to its caller: complete, streamed, or an error. */
import {Buffer, isUtf8} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {ResponseSpace} from '../../base/node/response-space.js';
import type {StoredResponse} from '../../request/common/claim.js';
import {outcomes, type RequestResult} from '../../request/common/request-plan.js';
import {problemOfResult} from '../common/problems.js';
import {detach} from '../../base/common/unexpected-errors.js';
import {sendJson, sendProblem} from './http-common.js';

const statusOk = 200;
const identityCoding = 'identity';
/** Statuses of responses that have no body and no length. */
const bodilessStatuses = new Set([204, 304]);

/** Options of a response. */
export type ResponseWriterOptions = {
	readonly requestId: string;
	readonly isStreaming: boolean;
	readonly isExplained: boolean;
	/** Whether this is the response of an HTTP service, which is passed through unchanged. */
	readonly isPassThrough: boolean;
};

/** Writes one response. */
export class ResponseWriter {
	static create(response: ServerResponse, options: ResponseWriterOptions): ResponseWriter {
		return new ResponseWriter(response, options);
	}

	private readonly decoder = new TextDecoder();
	private readonly space: ResponseSpace;
	private isStreamOpen = false;
	private sequence = 0;

	private constructor(private readonly response: ServerResponse, private readonly options: ResponseWriterOptions) {
		this.space = ResponseSpace.create(response);
	}

	/**
	Writes units of a streamed response.
	@param units - number of units.
	@param data - bytes of the units.
	@returns a promise that resolves when the response accepts more data; undefined if it does so immediately.
	*/
	deliver(units: number, data: Uint8Array): Promise<void> | undefined {
		this.openStream();
		const text = this.decoder.decode(data, {stream: true});
		const hasSpace = this.writeEvent('chunk', {sequence: this.sequence, units, text});
		this.sequence += units;
		if (hasSpace || this.response.destroyed) {
			return undefined;
		}

		return this.space.wait();
	}

	/**
	Writes the remainder and the end of the response.
	@param result - result of the request.
	@returns the response to store for repeats of the request; undefined if the request did not complete.
	*/
	finish(result: RequestResult): StoredResponse | undefined {
		if (result.outcome !== outcomes.completed) {
			this.finishFailed(result);
			return undefined;
		}

		if (this.options.isPassThrough) {
			return this.finishPassThrough(result);
		}

		const summary = this.summaryOf(result);
		if (this.options.isStreaming) {
			if (!this.isStreamOpen && result.body.byteLength > 0) {
				const backpressure = this.deliver(result.units, result.body);
				if (backpressure) {
					detach('wait for a caller', backpressure);
				}
			}

			this.openStream();
			this.writeEvent('end', summary);
			this.response.end();
		} else {
			this.setHeaders(result);
			sendJson(this.response, statusOk, {...summary, answer: jsonOrTextOf(result.body)});
		}

		return {
			status: statusOk, contentType: 'application/json; charset=utf-8', text: JSON.stringify({...summary, answer: jsonOrTextOf(result.body)}),
		};
	}

	private finishPassThrough(result: RequestResult): StoredResponse | undefined {
		const status = result.http?.status ?? statusOk;
		this.setHeaders(result);
		const headers = new Headers((result.http?.headers ?? []).filter(({name}) => name !== 'content-length').map(({name, value}) => [name, value]));
		this.response.setHeaders(headers);
		this.response.writeHead(status, this.hasBody(status) ? {'content-length': result.body.byteLength} : {});
		this.response.end(result.body);
		return storedResponseOf(status, headers, result.body);
	}

	private finishFailed(result: RequestResult): void {
		const problem = problemOfResult(this.options.requestId, result);
		if (this.isStreamOpen) {
			// Part of the response was already sent, so an error event replaces the end event.
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

	private hasBody(status: number): boolean {
		return this.response.req.method !== 'HEAD' && !bodilessStatuses.has(status);
	}

	private setHeaders(result: RequestResult): void {
		this.response.setHeader('x-request-id', this.options.requestId);
		this.response.setHeader('x-outcome', result.outcome);
		this.response.setHeader('x-late', String(result.isLate));
		if (this.options.isPassThrough) {
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

/**
Returns the response to store for repeats of a request. It has no headers but the content type, and its body is text: of other responses
none is stored, since a repeat would get other bytes than the first caller.
*/
function storedResponseOf(status: number, headers: Headers, body: Uint8Array): StoredResponse | undefined {
	const coding = headers.get('content-encoding') ?? identityCoding;
	if (coding.toLowerCase() !== identityCoding || !isUtf8(body)) {
		return undefined;
	}

	// A `TextDecoder` would remove a byte order mark.
	return {status, contentType: headers.get('content-type') ?? 'application/octet-stream', text: Buffer.from(body).toString()};
}

function round(valueMs: number): number {
	return Math.round(valueMs * 10) / 10;
}

/** Parses the output of the last stage as JSON, or returns its text if it is not JSON. */
function jsonOrTextOf(body: Uint8Array): unknown {
	const text = new TextDecoder().decode(body);
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

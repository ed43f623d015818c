/** Writes an upstream's response to the caller unchanged, or a response of the host where the upstream gave none. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endResponse} from '../../base/node/closing-response.js';
import {ResponseSpace} from '../../base/node/response-space.js';
import {endToEndHeaders} from '../../deployment/common/hop-headers.js';
import {
	failureCodes, outcomes, type HttpResponseHead, type RequestResult,
} from '../../request/common/request-plan.js';

const badGateway = 502;
const unavailable = 503;
const gatewayTimeout = 504;
const defaultRetryAfterMs = 300;

/**
Writes a response that comes from the host and not from an upstream. Does nothing if a response has been started already.
@param response - the response to write to.
@param status - HTTP status.
@param text - the body, one sentence.
@param retryAfterMs - delay after which the caller should retry.
*/
export function sendHostResponse(response: ServerResponse, status: number, text: string, retryAfterMs?: number): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = `${text}\n`;
	response.writeHead(status, {
		'content-type': 'text/plain; charset=utf-8',
		'content-length': Buffer.byteLength(body),
		...(retryAfterMs !== undefined && {'retry-after': (retryAfterMs / 1000).toFixed(2)}),
	});
	endResponse(response, body);
}

/**
Formats the sentence that informs a caller that its request has not run.
@param reason - why it has not run.
*/
export function notRunText(reason: string): string {
	return `Not run: ${reason}.`;
}

/** What a caller received of its response; the values appear in logs and metrics. */
export const responseEndings = {
	/** A whole response of an upstream, or one of this host. */
	whole: 'whole',
	/** Part of a response, then the end of the connection. */
	cutOff: 'cutOff',
	/** Nothing more, since the caller had left. */
	callerGone: 'callerGone',
	/** Part of a response, then the end of the connection, since the result was not about what had been delivered; always a fault of this host. */
	mismatched: 'mismatched',
} as const;
export type ResponseEnding = typeof responseEndings[keyof typeof responseEndings];

/** Writes the response to one request. */
export class PassThroughWriter {
	static create(response: ServerResponse, isHead: boolean): PassThroughWriter {
		return new PassThroughWriter(response, isHead);
	}

	private isHeadWritten = false;
	private writtenStatus = 0;
	private deliveredUnits = 0;
	/** Whether the caller's version of HTTP has chunks; a response without them would have to end with its connection, and look complete if this process ends. */
	private readonly canReceiveChunks: boolean;
	private readonly space: ResponseSpace;
	/** Head of a response that is sent with its length, once its result has the complete body. */
	private laterHead: HttpResponseHead | undefined;

	private constructor(private readonly response: ServerResponse, private readonly isHead: boolean) {
		this.space = ResponseSpace.create(response);
		const {httpVersionMajor, httpVersionMinor} = response.req;
		this.canReceiveChunks = httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);
	}

	/** The HTTP status sent to the caller; 0 before one is sent. */
	get status(): number {
		return this.writtenStatus;
	}

	/**
	Writes data of a response as it arrives; a caller that can't receive chunks gets the body of the result.
	@param units - number of units in the data.
	@param data - the next bytes of the body.
	@param http - head of the upstream's response; only the first one given is used.
	@returns a promise that resolves when more can be written, or undefined if more can be written immediately.
	*/
	deliver(units: number, data: Uint8Array, http: HttpResponseHead | undefined): Promise<void> | undefined {
		const {response} = this;
		if (response.destroyed) {
			return undefined;
		}

		this.deliveredUnits += units;
		if (!this.canReceiveChunks) {
			this.laterHead ??= http;
			return undefined;
		}

		if (!this.isHeadWritten && http) {
			this.writeHead(http, undefined);
		}

		if (response.write(data)) {
			return undefined;
		}

		return this.space.wait();
	}

	/**
	Completes the response.
	@param result - result of the request.
	@returns what the caller received.
	*/
	finish(result: RequestResult): ResponseEnding {
		const {response} = this;
		if (response.destroyed) {
			return responseEndings.callerGone;
		}

		if (result.outcome !== outcomes.completed) {
			return this.finishFailed(result);
		}

		if (this.isHeadWritten) {
			return this.finishBegun(result);
		}

		if (this.laterHead) {
			this.sendWhole(this.laterHead, result.body);
		} else if (result.http) {
			this.sendWhole(result.http, result.body);
		}

		return responseEndings.whole;
	}

	/** Ends a response of which the caller has a part, if the result is about this part and the status that it has. */
	private finishBegun({units, http}: RequestResult): ResponseEnding {
		if (units !== this.deliveredUnits || http?.status !== this.writtenStatus) {
			this.cutOff();
			return responseEndings.mismatched;
		}

		this.response.end();
		return responseEndings.whole;
	}

	private finishFailed(result: RequestResult): ResponseEnding {
		if (this.isHeadWritten) {
			this.cutOff();
			return responseEndings.cutOff;
		}

		// A request of which something has arrived has run.
		if (result.outcome === outcomes.refused && !this.laterHead) {
			this.writtenStatus = unavailable;
			sendHostResponse(this.response, unavailable, notRunText(result.message), result.retryAfterMs ?? defaultRetryAfterMs);
		} else {
			this.writtenStatus = result.code === failureCodes.deadlineExceeded ? gatewayTimeout : badGateway;
			sendHostResponse(this.response, this.writtenStatus, `No whole answer: ${result.message}.`);
		}

		return responseEndings.whole;
	}

	/** Ends the connection before the last chunk, which shows the caller that its response is incomplete. */
	private cutOff(): void {
		this.response.destroy();
	}

	private sendWhole(http: HttpResponseHead, body: Uint8Array): void {
		this.writeHead(http, body.byteLength);
		this.response.end(body);
	}

	/** Writes the head of a response with the given length, or of one in chunks. */
	private writeHead({status, headers}: HttpResponseHead, bodyBytes: number | undefined): void {
		this.isHeadWritten = true;
		this.writtenStatus = status;
		const forwarded = endToEndHeaders(headers).filter(({name}) => this.isHead || name !== 'content-length');
		const rawHeaders = forwarded.flatMap(({name, value}) => [name, value]);
		if (bodyBytes !== undefined && !this.isHead) {
			rawHeaders.push('content-length', String(bodyBytes));
		}

		this.response.writeHead(status, rawHeaders);
	}
}

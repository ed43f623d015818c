/** Writes an upstream's answer to the caller as it is, or the product's own last word where there is none. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {endToEndHeaders, isUnframed} from '../../deployment/common/hop-headers.js';
import {
	failureCodes, outcomes, type HttpResponseHead, type RequestResult,
} from '../../request/common/request-plan.js';

const badGateway = 502;
const unavailable = 503;
const gatewayTimeout = 504;
const usualRetryAfterMs = 300;
/** Answers that have no body by their status. */
const bodylessStatuses = new Set([204, 304]);

/**
Writes an answer of the product's own.
@param response - where to.
@param status - HTTP status.
@param text - one sentence.
@param retryAfterMs - when to come back.
*/
export function sendOwn(response: ServerResponse, status: number, text: string, retryAfterMs?: number): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = `${text}\n`;
	response.writeHead(status, {
		'content-type': 'text/plain; charset=utf-8',
		'content-length': Buffer.byteLength(body),
		...(retryAfterMs !== undefined && {'retry-after': (retryAfterMs / 1000).toFixed(2)}),
	});
	response.end(body);
}

/**
Makes the one sentence that tells a caller that its request has not run.
@param reason - why.
*/
export function notRunText(reason: string): string {
	return `Not run: ${reason}.`;
}

/** Writes one answer. */
export class PassThroughWriter {
	static create(response: ServerResponse, isHead: boolean): PassThroughWriter {
		return new PassThroughWriter(response, isHead);
	}

	private isOpen = false;
	private writtenStatus = 0;

	private constructor(private readonly response: ServerResponse, private readonly isHead: boolean) {}

	/** The status the caller was given; 0 before. */
	get status(): number {
		return this.writtenStatus;
	}

	/**
	Writes pieces of an answer as they come.
	@param data - the pieces.
	@param http - head of the upstream's answer; the first one counts.
	@returns ends when more can be taken, or nothing if at once.
	*/
	deliver(data: Uint8Array, http: HttpResponseHead | undefined): Promise<void> | undefined {
		const {response} = this;
		if (response.destroyed) {
			return undefined;
		}

		if (!this.isOpen && http) {
			this.open(http, undefined);
		}

		if (response.write(data)) {
			return undefined;
		}

		return new Promise(resolve => {
			const go = () => {
				response.off('drain', go);
				response.off('close', go);
				resolve();
			};

			response.on('drain', go);
			response.on('close', go);
		});
	}

	/**
	Writes the end.
	@param result - how the request ended.
	*/
	finish(result: RequestResult): void {
		const {response} = this;
		if (response.destroyed) {
			return;
		}

		if (result.outcome !== outcomes.completed) {
			this.finishFailed(result);
		} else if (this.isOpen) {
			response.end();
		} else if (result.http) {
			this.open(result.http, result.body.byteLength);
			response.end(result.body);
		}
	}

	private finishFailed(result: RequestResult): void {
		if (this.isOpen) {
			// Part of the answer is out: only a broken connection says that it is not whole.
			this.response.destroy();
			return;
		}

		if (result.outcome === outcomes.refused) {
			this.writtenStatus = unavailable;
			sendOwn(this.response, unavailable, notRunText(result.message), result.retryAfterMs ?? usualRetryAfterMs);
		} else {
			this.writtenStatus = result.code === failureCodes.deadlineExceeded ? gatewayTimeout : badGateway;
			sendOwn(this.response, this.writtenStatus, `No whole answer: ${result.message}.`);
		}
	}

	private open({status, headers}: HttpResponseHead, bodyBytes: number | undefined): void {
		this.isOpen = true;
		this.writtenStatus = status;
		const kept = endToEndHeaders(headers).filter(({name}) => this.isHead || name !== 'content-length');
		const flat = kept.flatMap(({name, value}) => [name, value]);
		if (isUnframed({headers}) && !this.isHead && !bodylessStatuses.has(status)) {
			// Only the end of its connection said that it was whole: nothing here may say more.
			this.response.useChunkedEncodingByDefault = false;
			this.response.shouldKeepAlive = false;
		} else if (bodyBytes !== undefined && !this.isHead) {
			flat.push('content-length', String(bodyBytes));
		}

		this.response.writeHead(status, flat);
	}
}

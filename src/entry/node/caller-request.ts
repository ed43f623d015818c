/** Parses and validates a caller's HTTP request. */
import type {IncomingMessage} from 'node:http';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {readJsonc} from '../../base/common/jsonc.js';
import {formatProblem} from '../../base/common/errors.js';
import type {Header} from '../../wire/common/messages.js';
import {problemOf, type Problem} from '../common/problems.js';
import {headerOf} from './http-common.js';

const maxDeadlineMs = 600_000;
const maxKeyLength = 128;

/** Headers that are not forwarded to a service: those addressed to this system, and those about the caller's connection. */
const unforwardedHeaders = new Set([
	'host',
	'connection',
	'keep-alive',
	'transfer-encoding',
	'upgrade',
	'te',
	'trailer',
	'expect',
	'content-length',
	'authorization',
	'proxy-authorization',
	'proxy-connection',
	'deadline-ms',
	'idempotency-key',
	'not-repeatable',
	'explain',
	'x-request-id',
]);

/** Parsed headers of a request. */
export type CallerHeaders = {
	readonly requestId?: string;
	readonly deadlineMs?: number;
	readonly idempotencyKey?: string;
	readonly isRepeatable: boolean;
	readonly isStreaming: boolean;
	readonly isExplained: boolean;
};

/**
Parses the headers that callers may set.
@param request - the request.
@returns the parsed headers, or a problem that describes the first invalid one.
*/
export function readCallerHeaders(request: IncomingMessage): Outcome<CallerHeaders, Problem> {
	const deadline = headerOf(request, 'deadline-ms');
	const deadlineMs = deadline === undefined ? undefined : Number(deadline);
	if (deadlineMs !== undefined && !(Number.isInteger(deadlineMs) && deadlineMs > 0 && deadlineMs <= maxDeadlineMs)) {
		return fail(problemOf('badRequest', `expected whole milliseconds from 1 to ${maxDeadlineMs}`, {place: 'header Deadline-Ms'}));
	}

	for (const name of ['idempotency-key', 'x-request-id']) {
		const value = headerOf(request, name);
		if (value !== undefined && !isValidKey(value)) {
			return fail(problemOf('badRequest', `expected 1 to ${maxKeyLength} visible ASCII characters`, {place: `header ${name}`}));
		}
	}

	const notRepeatable = headerOf(request, 'not-repeatable') ?? 'false';
	if (notRepeatable !== 'true' && notRepeatable !== 'false') {
		return fail(problemOf('badRequest', 'expected "true" or "false"', {place: 'header Not-Repeatable'}));
	}

	return ok({
		requestId: headerOf(request, 'x-request-id'),
		deadlineMs,
		idempotencyKey: headerOf(request, 'idempotency-key'),
		isRepeatable: notRepeatable === 'false',
		isStreaming: (headerOf(request, 'accept') ?? '').includes('text/event-stream'),
		isExplained: headerOf(request, 'explain') === 'true',
	});
}

function isValidKey(value: string): boolean {
	return value.length <= maxKeyLength && /^[!-~]+$/v.test(value);
}

/**
Checks that a request body is valid JSON.
@param body - bytes of the body.
@returns undefined if it is valid, else a problem that describes the fault and its location.
*/
export function checkJsonBody(body: Uint8Array): Problem | undefined {
	const document = readJsonc(body, 'body', true);
	if (!document.ok) {
		const detail = document.error.map(problem => formatProblem(problem)).join('; ') || 'the body is empty';
		return problemOf('badRequest', detail, {place: 'body'});
	}

	return undefined;
}

/**
Lists the headers that are forwarded to an HTTP service.
@param request - the request.
*/
export function forwardedHeaders(request: IncomingMessage): Header[] {
	return Object.entries(request.headers).flatMap(([name, value]) => {
		const values = Array.isArray(value) ? value : [value ?? ''];
		return unforwardedHeaders.has(name) ? [] : values.map(item => ({name, value: item}));
	});
}

/** Errors as returned over HTTP (application/problem+json): stable codes and their statuses. */
import type {RequestResult} from '../../request/common/request-plan.js';

/** An error as returned to a caller or an operator. */
export type Problem = {
	readonly status: number;
	readonly code: string;
	readonly title: string;
	readonly detail: string;
	/** The invalid part of the request. */
	readonly place?: string;
	readonly requestId?: string;
	readonly outcome?: string;
	/** Present on refusals: no stage of the request ran. */
	readonly notRun?: boolean;
	readonly retryAfterMs?: number;
	readonly more?: unknown;
};

const statusByCode: Readonly<Record<string, number>> = {
	badRequest: 400,
	unauthorized: 401,
	forbidden: 403,
	notFound: 404,
	unknownWorkspace: 404,
	unknownPipeline: 404,
	unknownService: 404,
	methodNotAllowed: 405,
	requestTimeout: 408,
	conflict: 409,
	duplicateRequest: 409,
	requestInProgress: 409,
	bodyTooLarge: 413,
	idempotencyKeyReused: 422,
	invalid: 422,
	tooManyInFlight: 429,
	rateExceeded: 429,
	attemptsExhausted: 502,
	upstreamFailed: 502,
	deadlineUnreachable: 503,
	noUpstream: 503,
	versionGone: 503,
	overloaded: 503,
	storeUnavailable: 503,
	notReady: 503,
	stopping: 503,
	quarantined: 503,
	disabled: 503,
	deadlineExceeded: 504,
	resultUnknown: 504,
};

const defaultStatus = 500;

/**
Creates a problem.
@param code - stable error code.
@param detail - one sentence about this occurrence.
@param more - further fields.
@returns the problem with the code's HTTP status.
*/
export function problemOf(code: string, detail: string, more: Partial<Problem> = {}): Problem {
	return {
		status: statusByCode[code] ?? defaultStatus, code, title: titleOf(code), detail, ...more,
	};
}

/**
Creates the problem for a request that did not complete.
@param requestId - id of the request.
@param result - result of the request.
@returns the problem.
*/
export function problemOfResult(requestId: string, result: RequestResult): Problem {
	const {code = 'upstreamFailed', message, outcome, isNotRun, retryAfterMs} = result;
	return problemOf(code, message, {
		requestId, outcome, ...(isNotRun && {notRun: true}), ...(retryAfterMs !== undefined && {retryAfterMs}),
	});
}

function titleOf(code: string): string {
	const words = code.replaceAll(/[A-Z]/gv, letter => ` ${letter.toLowerCase()}`);
	return `${words.charAt(0).toUpperCase()}${words.slice(1)}`;
}

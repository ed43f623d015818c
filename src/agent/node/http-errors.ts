/** Determines what an error of the HTTP client proves about the call. */
import {messageOf} from '../../base/common/errors.js';
import type {CallEnd} from '../../request/common/gate-actions.js';

/** Codes of errors raised before anything was written, as no connection was established. */
const notWrittenCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function codeOf(error: unknown): string {
	if (typeof error !== 'object' || error === null) {
		return '';
	}

	if ('code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return 'cause' in error ? codeOf(error.cause) : '';
}

/**
Determines the end state of a call that threw an error.
@param error - what the HTTP client threw.
@param isRepeatable - whether the work may run again.
@returns `notRun` only if it is proven that the call did not run; otherwise `failed`, or `unknown` for work that may not run again.
*/
export function callEndOfError(error: unknown, isRepeatable: boolean): CallEnd {
	const reason = messageOf(error);
	if (notWrittenCodes.has(codeOf(error))) {
		return {state: 'notRun', reason};
	}

	return {state: isRepeatable ? 'failed' : 'unknown', reason};
}

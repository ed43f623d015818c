/** Reads what an error of the HTTP client proves about the call. */
import {messageOf} from '../../base/common/errors.js';
import type {CallEnd} from '../../request/common/gate-actions.js';

/** Errors raised before anything was written: no connection came about. */
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
Tells how a call ended that raised an error.
@param error - as raised.
@param isRepeatable - whether the work may run again.
@returns `notRun` with proof only, else `failed`, or `unknown` where the difference matters.
*/
export function endOfError(error: unknown, isRepeatable: boolean): CallEnd {
	const reason = messageOf(error);
	if (notWrittenCodes.has(codeOf(error))) {
		return {state: 'notRun', reason};
	}

	return {state: isRepeatable ? 'failed' : 'unknown', reason};
}

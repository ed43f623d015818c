/** Converts the head of a response from undici's types to the project's own. */
import type {Dispatcher} from 'undici';
import type {Header} from '../../wire/common/messages.js';
import {pairHeaders} from '../common/hop-headers.js';

/** Statuses below this are interim: the final response is still to come (RFC 9110, 15.2). */
const minFinalStatus = 200;

/**
Returns whether a status is that of the final response rather than of an interim response before it.
@param status - HTTP status.
*/
export function isFinalStatus(status: number): boolean {
	return status >= minFinalStatus;
}

/**
Returns the headers of a response, names in lower case.
@param controller - undici's controller of the call, once the response has started.
*/
export function headersOf({rawHeaders}: Dispatcher.DispatchController): Header[] {
	return (Array.isArray(rawHeaders) ? pairHeaders(rawHeaders) : [])
		.map(({name, value}) => ({name: name.toLowerCase(), value}));
}

/** How long, and up to which size, a body that nobody needs is read so that its connection can be used again; it usually arrives with the head. */
export const unneededBody = {timeoutMs: 500, maxBytes: 64 * 1024} as const;

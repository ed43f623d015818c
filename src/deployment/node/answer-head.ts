/** What undici tells of the head of an answer, in the product's own form. */
import type {Dispatcher} from 'undici';
import type {Header} from '../../wire/common/messages.js';
import {pairHeaders} from '../common/hop-headers.js';

/** Statuses below are interim: the answer itself is still to come (RFC 9110, 15.2). */
const firstFinalStatus = 200;

/**
Tells whether a status is that of the answer, not of an interim one before it.
@param status - HTTP status.
*/
export function isFinal(status: number): boolean {
	return status >= firstFinalStatus;
}

/**
Gives the headers of an answer, names in small letters.
@param controller - undici's hold on the call, once the answer has started.
*/
export function headersOf({rawHeaders}: Dispatcher.DispatchController): Header[] {
	return (Array.isArray(rawHeaders) ? pairHeaders(rawHeaders) : [])
		.map(({name, value}) => ({name: name.toLowerCase(), value}));
}

/** Hop-by-hop headers, which apply to one connection and not to the message (RFC 9110, 7.6.1). */
import type {Header} from '../../wire/common/messages.js';

const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization', 'expect',
]);

/**
Removes hop-by-hop headers, including those listed in `Connection`.
@param headers - the headers as received.
@returns the headers to forward.
*/
export function endToEndHeaders(headers: readonly Header[]): Header[] {
	const connectionOptions = new Set<string>();
	for (const {name, value} of headers) {
		if (name.toLowerCase() === 'connection') {
			for (const item of value.split(',')) {
				connectionOptions.add(item.trim().toLowerCase());
			}
		}
	}

	return headers.filter(({name}) => {
		const lowerName = name.toLowerCase();
		return !connectionHeaders.has(lowerName) && !connectionOptions.has(lowerName);
	});
}

/**
Returns whether a response declares neither a length nor chunks, so that only the close of its connection ends it. With transfer codings
of which `chunked` is not the last, it does so too, and a length does not apply (RFC 9112, 6.3).
@param head - its headers, names in lower case.
*/
export function isUnframed({headers}: {readonly headers: readonly Header[]}): boolean {
	const codings = headers.filter(({name}) => name === 'transfer-encoding').flatMap(({value}) => value.split(','));
	return codings.length === 0 ? !headers.some(({name}) => name === 'content-length') : codings.at(-1)!.trim().toLowerCase() !== 'chunked';
}

/** Statuses of responses that have no body. */
const bodylessStatuses = new Set([204, 304]);

/**
Returns whether a response ends with its connection: it may have a body, and declares neither a length nor chunked encoding.
@param method - of the request.
@param head - status and headers of the response, names in lower case.
*/
export function endsWithConnection(method: string, head: {readonly status: number; readonly headers: readonly Header[]}): boolean {
	return isUnframed(head) && method !== 'HEAD' && !bodylessStatuses.has(head.status);
}

/**
Returns whether a response has a transfer coding besides chunked. The HTTP client doesn't decode it, and the header that names it applies to one connection.
@param head - its headers, names in lower case.
*/
export function hasUndecodedCoding({headers}: {readonly headers: readonly Header[]}): boolean {
	const codings = headers.filter(({name}) => name === 'transfer-encoding').map(({value}) => value.trim().toLowerCase());
	return codings.length > 0 && codings.join(',') !== 'chunked';
}

/**
Converts a flat list of names and values to headers.
@param flat - name, value, name, value…
*/
export function pairHeaders(flat: ReadonlyArray<string | Uint8Array>): Header[] {
	const textOf = (item: string | Uint8Array) => typeof item === 'string' ? item : decodeLatin1(item);
	const headers: Header[] = [];
	for (let index = 0; index + 1 < flat.length; index += 2) {
		headers.push({name: textOf(flat[index]), value: textOf(flat[index + 1])});
	}

	return headers;
}

/** Decodes header bytes as Latin-1, one character per byte, so that they are preserved exactly. */
function decodeLatin1(bytes: Uint8Array): string {
	return String.fromCodePoint(...bytes);
}

/** Headers that speak of one connection, not of the message (RFC 9110, 7.6.1). */
import type {Header} from '../../wire/common/messages.js';

const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-authenticate', 'proxy-authorization', 'expect',
]);

/**
Leaves out what concerns one connection only, the headers named by `Connection` among them.
@param headers - as they came.
@returns those that are passed on.
*/
export function endToEndHeaders(headers: readonly Header[]): Header[] {
	const named = new Set<string>();
	for (const {name, value} of headers) {
		if (name.toLowerCase() === 'connection') {
			for (const item of value.split(',')) {
				named.add(item.trim().toLowerCase());
			}
		}
	}

	return headers.filter(({name}) => {
		const lowerName = name.toLowerCase();
		return !connectionHeaders.has(lowerName) && !named.has(lowerName);
	});
}

/**
Tells whether an answer told neither its length nor its end, so that only the end of its connection does.
@param head - its headers, names in small letters.
*/
export function isUnframed({headers}: {readonly headers: readonly Header[]}): boolean {
	return !headers.some(({name}) => name === 'content-length' || name === 'transfer-encoding');
}

/**
Pairs up a flat list of names and values.
@param flat - name, value, name, value…
*/
export function pairHeaders(flat: ReadonlyArray<string | Uint8Array>): Header[] {
	const textOf = (item: string | Uint8Array) => typeof item === 'string' ? item : latin1(item);
	const headers: Header[] = [];
	for (let index = 0; index + 1 < flat.length; index += 2) {
		headers.push({name: textOf(flat[index]), value: textOf(flat[index + 1])});
	}

	return headers;
}

/** Header bytes are kept one to one: a character for each byte. */
function latin1(bytes: Uint8Array): string {
	return String.fromCodePoint(...bytes);
}

/** Identifies requests by content (workspace, method, host name, path and body), whatever ids their attempts have. */
import {digestOfBytes, digestOfText} from '../../base/common/hash.js';
import type {HttpCall} from '../../wire/common/messages.js';

/** The parts of a request that make up its content. */
export type ContentSource = {
	/** Part of the content, so that one workspace can't get the requests of another one quarantined. */
	readonly workspace: string;
	readonly http: Pick<HttpCall, 'method' | 'path' | 'headers' | 'body'>;
	/** Keys of the parts that its prompt shares with others; they do not identify the content. */
	readonly sharedParts?: readonly string[];
};

/**
Computes the digest of a request without its body. It is cheap, and enough to distinguish most requests.
@param source - the request.
@returns 16 hexadecimal digits.
*/
export function headDigestOf({workspace, http}: ContentSource): string {
	const hostName = http.headers.find(({name}) => name.toLowerCase() === 'host')?.value ?? '';
	return digestOfText([workspace, http.method, hostName, http.path].join('\n'));
}

/**
Computes the id of a request's complete content, body included.
@param source - the request.
@returns 32 hexadecimal digits, the first 16 of which are the digest of its head.
*/
export function contentIdOf(source: ContentSource): string {
	return headDigestOf(source) + digestOfBytes(source.http.body);
}

/**
Extracts the digest of a request's head from a content id.
@param contentId - id of a content, as `contentIdOf` returns it.
*/
export function headOfContentId(contentId: string): string {
	return contentId.slice(0, contentId.length / 2);
}

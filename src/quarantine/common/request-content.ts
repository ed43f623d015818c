/** What makes two requests the same, whatever ids their tries have: workspace, method, host name, path and body. */
import {digestOfBytes, digestOfText} from '../../base/common/hash.js';
import type {HttpCall} from '../../wire/common/messages.js';

/** A request as far as its content counts. */
export type ContentSource = {
	/** One workspace can't have another one's requests shut out. */
	readonly workspace: string;
	readonly http: Pick<HttpCall, 'method' | 'path' | 'headers' | 'body'>;
};

/**
Gives the name of what a request says without its body: cheap, so that most requests are told apart by it alone.
@param source - the request.
@returns 16 hexadecimal digits.
*/
export function headDigestOf({workspace, http}: ContentSource): string {
	const hostName = http.headers.find(({name}) => name.toLowerCase() === 'host')?.value ?? '';
	return digestOfText([workspace, http.method, hostName, http.path].join('\n'));
}

/**
Gives the name of a request's whole content.
@param source - the request.
@returns 32 hexadecimal digits, the first 16 of which are the digest of its head.
*/
export function contentIdOf(source: ContentSource): string {
	return headDigestOf(source) + digestOfBytes(source.http.body);
}

/**
Gives the digest of the head out of the name of a content.
@param contentId - the name.
*/
export function headOfContentId(contentId: string): string {
	return contentId.slice(0, contentId.length / 2);
}

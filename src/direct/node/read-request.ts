/** Reads a caller's request: the size of its head, and its body. */
import type {IncomingMessage} from 'node:http';
import {joinBytes} from '../../base/common/bytes.js';

/**
Computes the approximate size of a request's head as received, in bytes.
@param request - the request.
*/
export function headBytesOf(request: IncomingMessage): number {
	let sizeBytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
	for (const item of request.rawHeaders) {
		// Each name and value is followed by two more bytes: a colon and a space, or the end of the line.
		sizeBytes += item.length + 2;
	}

	return sizeBytes;
}

/**
Reads the complete body of a request.
@param request - the request.
@param maxBytes - maximum size of the body.
@returns the body, `'gone'` if the caller has disconnected, or `'tooLarge'` if the body exceeds the maximum.
*/
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array | 'gone' | 'tooLarge'> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let sizeBytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			sizeBytes += chunk.byteLength;
			if (sizeBytes > maxBytes) {
				request.removeAllListeners('data');
				request.resume();
				resolve('tooLarge');
			} else {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			resolve(chunks.length === 1 ? chunks[0] : joinBytes(chunks));
		});
		request.on('close', () => {
			resolve('gone');
		});
		request.on('error', () => {
			resolve('gone');
		});
	});
}

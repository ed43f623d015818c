/** Takes what a caller's request brings: the size of its head, and its body. */
import type {IncomingMessage} from 'node:http';
import {joinBytes} from '../../base/common/bytes.js';

/**
Counts the bytes of a request's head, about as they came.
@param request - the request.
*/
export function headBytesOf(request: IncomingMessage): number {
	let sizeBytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
	for (const item of request.rawHeaders) {
		// Each name and value is followed by two more bytes: a colon and a blank, or the end of the line.
		sizeBytes += item.length + 2;
	}

	return sizeBytes;
}

/**
Reads a body whole.
@param request - the request.
@param mostBytes - of a body that is taken.
@returns the body, or why there is none: its caller is gone, or it is larger than is taken.
*/
export async function readBody(request: IncomingMessage, mostBytes: number): Promise<Uint8Array | 'gone' | 'tooLarge'> {
	return new Promise(resolve => {
		const pieces: Uint8Array[] = [];
		let sizeBytes = 0;
		request.on('data', (piece: Uint8Array) => {
			sizeBytes += piece.byteLength;
			if (sizeBytes > mostBytes) {
				request.removeAllListeners('data');
				request.resume();
				resolve('tooLarge');
			} else {
				pieces.push(piece);
			}
		});
		request.on('end', () => {
			resolve(pieces.length === 1 ? pieces[0] : joinBytes(pieces));
		});
		request.on('close', () => {
			resolve('gone');
		});
		request.on('error', () => {
			resolve('gone');
		});
	});
}

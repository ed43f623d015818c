/** Reads a caller's request: the size of its head, and its body. */
import type {IncomingMessage} from 'node:http';
import {ByteQueue} from '../../base/common/byte-queue.js';
import type {BodyShare} from '../common/body-budget.js';

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
@param share - the memory that the body takes.
@returns the body, `'gone'` if the caller has disconnected, `'tooLarge'` if the body exceeds the maximum, or `'noMemory'` if other bodies take the memory.
*/
export async function readBody(request: IncomingMessage, maxBytes: number, share: Pick<BodyShare, 'growTo'>): Promise<Uint8Array | 'gone' | 'tooLarge' | 'noMemory'> {
	return new Promise(resolve => {
		const received = ByteQueue.create();
		const discard = (reason: 'tooLarge' | 'noMemory') => {
			request.removeAllListeners('data');
			request.resume();
			resolve(reason);
		};

		request.on('data', (chunk: Uint8Array) => {
			const sizeBytes = received.sizeBytes + chunk.byteLength;
			if (sizeBytes > maxBytes) {
				discard('tooLarge');
			} else if (share.growTo(sizeBytes)) {
				received.append(chunk);
			} else {
				discard('noMemory');
			}
		});
		request.on('end', () => {
			resolve(received.copy());
		});
		request.on('close', () => {
			resolve('gone');
		});
		request.on('error', () => {
			resolve('gone');
		});
	});
}

/** Callers of the platform: one try of a request, with what was received. */
import {randomBytes} from 'node:crypto';
import {request as httpRequest} from 'node:http';

export const hostName = 'pule25.example';
export const key = '9dnn2ctnfzs989anu6ws';

/** Returns a fresh id of a try. */
export function newId() {
	return randomBytes(8).toString('hex');
}

/**
Sends a request on a new connection and reads its answer.
@returns the status (0 without an answer), the text, and whether the answer came to its end: its last chunk, its length or, without either, an orderly close.
*/
export async function call({frontend, method = 'POST', path, id, deadlineMs, headers = {}, body = 'x'.repeat(1500), onData}) {
	const [host, port] = frontend.split(':');
	return new Promise(resolve => {
		let status = 0;
		let text = '';
		let isWhole = false;
		let failure = '';
		let received = {};
		const request = httpRequest({
			host, port, method, path, agent: false, headers: {
				host: hostName, 'attempt-id': id, 'deadline-ms': String(deadlineMs), authorization: `Bearer ${key}`, ...headers,
			},
		}, response => {
			status = response.statusCode;
			received = response.headers;
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
				onData?.(text);
			});
			response.on('end', () => {
				isWhole = response.complete;
			});
			response.on('error', error => {
				failure = error.code;
			});
		});
		request.on('error', error => {
			failure = error.code;
		});
		request.on('close', () => {
			resolve({
				status, text, isWhole, failure, headers: received,
			});
		});
		request.setTimeout(deadlineMs, () => {
			request.destroy();
		});
		request.end(body);
	});
}

/** Requests of callers, the config, and the record of what was seen. */
import {writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {performance} from 'node:perf_hooks';

const startMs = performance.now();
const lines = [];

/** Adds a line to the record. */
export function note(text) {
	lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${text}`);
}

/** Writes the record into the folder of the case. */
export function writeRecord(folder) {
	writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
}

/** Returns a route as the sheets of the small deployments have them. */
export const routeOf = (name, routeType, backend, more = {}) => ({
	name, hostname: 'stock.example', pathPrefix: `/${name}/`, routeType, backend, timeoutMs: 3000, goalMs: 386, prio: 1, maxAttempts: 2, isPublic: false, ...more,
});

/** Returns a config as the operator writes it. */
export const configOf = (generationNum, routes, backends) => ({
	generationNum,
	routes,
	backends,
	reqLimits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 10_000,
	},
	tenantList: [{name: 'buyers', apiKeys: ['key-1'], prio: 0}],
});

/**
Sends a request as a caller, and reads its answer.
@param host - the host that takes it.
@param call - method, path, id, headers, body, and the agent that keeps its connection.
@returns status, headers and body; how the exchange ended.
*/
export async function send({address, frontend}, {method = 'GET', path, id, deadlineMs = 3000, headers = {}, body, agent, onData, signal}) {
	return new Promise(resolve => {
		const sentMs = performance.now();
		const request = httpRequest({
			host: address,
			port: frontend,
			method,
			path,
			agent: agent ?? false,
			signal,
			headers: {
				host: 'stock.example', 'attempt-id': id, 'deadline-ms': String(deadlineMs), authorization: 'Bearer key-1', ...headers,
			},
		}, response => {
			let text = '';
			let error = '';
			response.setEncoding('latin1');
			response.on('data', piece => {
				text += piece;
				onData?.(text, request);
			});
			response.on('error', ({message}) => {
				error = message;
			});
			response.on('close', () => {
				resolve({
					id, status: response.statusCode, headers: response.headers, text, isWhole: response.complete && error === '', isReused: request.reusedSocket, error, tookMs: performance.now() - sentMs,
				});
			});
		});
		request.on('error', ({message}) => {
			resolve({
				id, status: 0, headers: {}, text: '', isWhole: false, isReused: request.reusedSocket, error: message, tookMs: performance.now() - sentMs,
			});
		});
		request.end(body);
	});
}

/** A caller that writes its request as bytes and sees how its connection ends. */
import {connect} from 'node:net';
import type {RunningEntry} from './direct-harness.js';

export type Host = Pick<RunningEntry, 'callers'>;

/** What has come back so far: the text of the response, and how the connection has ended. */
export type RawResponse = {text: string; end: 'open' | 'inOrder' | 'reset'};

/** A request; streams are asked for unless `isPlain` is true. */
export type RawCall = {readonly path: string; readonly method?: string; readonly version?: '1.0' | '1.1'; readonly isPlain?: boolean; readonly headers?: readonly string[]};

/**
Sends a request.
@param host - the host.
@param call - the request.
@returns what comes back; it is filled in as it arrives.
*/
export function sendRaw({callers}: Host, {path, method = 'POST', version = '1.1', isPlain = false, headers = []}: RawCall): RawResponse {
	const response: RawResponse = {text: '', end: 'open'};
	const socket = connect({host: callers.address, port: callers.port});
	socket.setEncoding('utf8');
	socket.on('data', (text: string) => {
		response.text += text;
	});
	socket.on('end', () => {
		response.end = 'inOrder';
	});
	socket.on('error', () => {
		response.end = 'reset';
	});
	const allHeaders = [
		'Host: site.example', 'Attempt-Id: raw', 'Deadline-Ms: 30000', 'Authorization: Bearer key-1', 'Content-Length: 1', ...(isPlain ? [] : ['Accept: text/event-stream']), ...headers,
	];
	socket.write([`${method} ${path} HTTP/${version}`, ...allHeaders, '', 'x'].join('\r\n'));
	return response;
}

/** Listening TCP servers, independent of their protocol. */
import type {Server} from 'node:net';
import {assertInvariant, UnavailableError} from '../../base/common/errors.js';
import {reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {Endpoint} from '../common/endpoint.js';

/**
Returns the endpoint of a server.
@param server - a listening TCP server.
@returns its address and port.
*/
export function endpointOf(server: Server): Endpoint {
	const bound = server.address();
	assertInvariant(bound !== null && typeof bound !== 'string', 'The server listens on no TCP port.');
	return {address: bound.address, port: bound.port};
}

/**
Starts listening. Later errors of the server, as when it can't accept a connection, are reported; it goes on listening.
@param server - the server.
@param endpoint - the address and port; port 0 selects a free port.
@returns the endpoint with the actual port.
@throws UnavailableError if it can't listen on the address.
*/
export async function listenOn(server: Server, endpoint: Endpoint): Promise<Endpoint> {
	return new Promise((resolve, reject) => {
		let isListening = false;
		server.on('error', error => {
			if (isListening) {
				reportUnexpectedError('listening server', error);
			} else {
				reject(new UnavailableError(`Can't listen on ${endpoint.address}:${endpoint.port}.`, {cause: error}));
			}
		});
		server.listen(endpoint.port, endpoint.address, () => {
			isListening = true;
			resolve(endpointOf(server));
		});
	});
}

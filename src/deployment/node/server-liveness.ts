/** Finds out whether a process listens at an address. */
import {connect} from 'node:net';

/** Time after the close of a connection until its server is checked: a process that ends closes its connections and its listening socket one after the other. */
export const crashSettleMs = 20;

/**
Returns whether a process listens at an address, by opening a connection that carries nothing.
@param address - IP address.
@param port - TCP port.
@param timeoutMs - time limit for opening the connection.
@returns whether the connection was accepted within the time limit.
*/
export async function isListening(address: string, port: number, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({host: address, port});
		const settle = (isAccepted: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAccepted);
		};

		const timer = setTimeout(() => {
			settle(false);
		}, timeoutMs);
		socket.on('connect', () => {
			settle(true);
		});
		socket.on('error', error => {
			// A port where nothing listens refuses a connection; one that is reset was accepted before, as by a server with too many of them.
			settle('code' in error && error.code === 'ECONNRESET');
		});
	});
}

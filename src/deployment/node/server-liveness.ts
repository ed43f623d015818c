/** Checks whether a server process still accepts connections. */
import {connect} from 'node:net';

/**
Opens a TCP connection to a server and closes it at once, without sending any data.
@param address - address of the server.
@param port - port of the server.
@param timeoutMs - maximum time for the connection to open.
@returns whether the connection opened in time.
*/
export async function isListening(address: string, port: number, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({host: address, port});
		const finish = (isOpen: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isOpen);
		};

		const timer = setTimeout(finish, timeoutMs, false);
		socket.on('connect', () => {
			finish(true);
		});
		socket.on('error', () => {
			finish(false);
		});
	});
}

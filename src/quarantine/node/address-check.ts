/** Checks over TCP whether a process listens at a server's address. */
import {connect} from 'node:net';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {addressStates, type AddressCheck, type AddressState} from '../common/server-ends.js';

/** Hosts are a few milliseconds apart; a refusal that takes longer than this is seen by the second check. */
const limitMs = 300;

/** Opens a TCP connection and closes it at once, without sending any data. */
export class ConnectCheck implements AddressCheck {
	static create(): ConnectCheck {
		return new ConnectCheck();
	}

	async tryOnce({address, port}: UpstreamServer): Promise<AddressState> {
		return new Promise(resolve => {
			const socket = connect({host: address, port, timeout: limitMs});
			const end = (state: AddressState) => {
				socket.destroy();
				resolve(state);
			};

			socket.on('connect', () => {
				end(addressStates.open);
			});
			socket.on('timeout', () => {
				end(addressStates.silent);
			});
			socket.on('error', error => {
				end('code' in error && error.code === 'ECONNREFUSED' ? addressStates.refused : addressStates.silent);
			});
		});
	}
}

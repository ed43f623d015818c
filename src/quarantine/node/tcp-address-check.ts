/** Checks over TCP whether a process listens at a server's address. */
import {connect} from 'node:net';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import {addressStates, type AddressCheck, type AddressState} from '../common/crash-detector.js';

/** Hosts are a few milliseconds apart; a refusal that takes longer than this is seen by the second check. */
const connectTimeoutMs = 300;

/** Opens a TCP connection and closes it at once, without sending any data. */
export class TcpAddressCheck implements AddressCheck {
	static create(): TcpAddressCheck {
		return new TcpAddressCheck();
	}

	async probe({address, port}: UpstreamServer): Promise<AddressState> {
		return new Promise(resolve => {
			const socket = connect({host: address, port, timeout: connectTimeoutMs});
			const finish = (state: AddressState) => {
				socket.destroy();
				resolve(state);
			};

			socket.on('connect', () => {
				finish(addressStates.open);
			});
			socket.on('timeout', () => {
				finish(addressStates.silent);
			});
			socket.on('error', error => {
				finish('code' in error && error.code === 'ECONNREFUSED' ? addressStates.refused : addressStates.silent);
			});
		});
	}
}

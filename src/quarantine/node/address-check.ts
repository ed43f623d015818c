/** Tries whether something listens at a server's address. */
import {connect} from 'node:net';
import type {UpstreamServer} from '../../deployment/common/upstream-server.js';
import type {AddressCheck} from '../common/server-ends.js';

/** Hosts are a few milliseconds apart; a refusal that takes longer comes with the second try. */
const limitMs = 300;

/** Opens a connection and closes it at once, without sending anything. */
export class ConnectCheck implements AddressCheck {
	static create(): ConnectCheck {
		return new ConnectCheck();
	}

	async isRefused({address, port}: UpstreamServer): Promise<boolean> {
		return new Promise(resolve => {
			const socket = connect({host: address, port, timeout: limitMs});
			const end = (isRefused: boolean) => {
				socket.destroy();
				resolve(isRefused);
			};

			socket.on('connect', () => {
				end(false);
			});
			socket.on('timeout', () => {
				end(false);
			});
			socket.on('error', error => {
				end('code' in error && error.code === 'ECONNREFUSED');
			});
		});
	}
}

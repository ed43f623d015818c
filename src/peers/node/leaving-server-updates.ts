/** Notifies peers of servers that have announced in a response that they are leaving, and applies what peers report. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {LeavingServers} from '../../deployment/common/leaving-servers.js';
import {maxLeavingServers} from '../../wire/common/messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** Dependencies of `LeavingServerUpdates`. */
export type LeavingServerUpdatesOptions = {
	readonly leaving: Pick<LeavingServers, 'onDidServerReport' | 'handlePeerReport' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
};

/** Sends what a response announced to one host to all peers at once, and everything known to a host that has just connected. */
export class LeavingServerUpdates implements Disposable {
	static create(options: LeavingServerUpdatesOptions): LeavingServerUpdates {
		return new LeavingServerUpdates(options);
	}

	private readonly disposables = DisposableStore.create();

	private constructor({leaving, mesh}: LeavingServerUpdatesOptions) {
		this.disposables.add(leaving.onDidServerReport(serverId => {
			mesh.broadcast({type: 'leavingServers', serverIds: [serverId]});
		}));
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'leavingServers') {
				leaving.handlePeerReport(message.serverIds, hostId);
			}
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			const {all} = leaving;
			if (all.length > 0) {
				mesh.send(hostId, {type: 'leavingServers', serverIds: all.slice(-maxLeavingServers)});
			}
		}));
	}

	dispose(): void {
		this.disposables.dispose();
	}
}

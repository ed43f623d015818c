/** Tells peers which servers have said in an answer that they leave, and takes in what they tell. */
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {LeavingServers} from '../../deployment/common/leaving-servers.js';
import {maxLeavingServers} from '../../wire/common/messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** What the news are made of. */
export type LeavingNewsOptions = {
	readonly leaving: Pick<LeavingServers, 'onDidSay' | 'hear' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
};

/** What an answer told one host goes to all at once, and everything to a host that has just connected. */
export class LeavingNews implements Disposable {
	static create(options: LeavingNewsOptions): LeavingNews {
		return new LeavingNews(options);
	}

	private readonly owned = DisposableStore.create();

	private constructor({leaving, mesh}: LeavingNewsOptions) {
		this.owned.add(leaving.onDidSay(serverId => {
			mesh.broadcast({type: 'leavingServers', serverIds: [serverId]});
		}));
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'leavingServers') {
				leaving.hear(message.serverIds, hostId);
			}
		}));
		this.owned.add(mesh.onDidConnect(hostId => {
			const {all} = leaving;
			if (all.length > 0) {
				mesh.send(hostId, {type: 'leavingServers', serverIds: all.slice(-maxLeavingServers)});
			}
		}));
	}

	dispose(): void {
		this.owned.dispose();
	}
}

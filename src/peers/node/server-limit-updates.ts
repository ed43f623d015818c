/** Notifies peers of upstreams that announce a limit, and applies what peers report. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {ServerLimits} from '../../deployment/common/server-limits.js';
import {maxServerLimits} from '../../wire/common/messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** Dependencies of `ServerLimitUpdates`. */
export type ServerLimitUpdatesOptions = {
	readonly limits: Pick<ServerLimits, 'onDidObserve' | 'handlePeerReport' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Keeps the limits that hosts know consistent: updates are sent to all peers immediately, and everything known to a host that has just connected. */
export class ServerLimitUpdates implements Disposable {
	static create(options: ServerLimitUpdatesOptions): ServerLimitUpdates {
		return new ServerLimitUpdates(options);
	}

	private readonly disposables = DisposableStore.create();

	private constructor({limits, mesh, clock}: ServerLimitUpdatesOptions) {
		this.disposables.add(limits.onDidObserve(update => {
			mesh.broadcast({type: 'serverLimits', limits: [update]});
		}));
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'serverLimits') {
				limits.handlePeerReport(message.limits, hostId, clock.nowMs());
			}
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			const all = limits.all(clock.nowMs());
			if (all.length > 0) {
				mesh.send(hostId, {type: 'serverLimits', limits: all.slice(-maxServerLimits)});
			}
		}));
	}

	dispose(): void {
		this.disposables.dispose();
	}
}

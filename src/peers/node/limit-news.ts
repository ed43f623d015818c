/** Tells peers which upstreams name a limit, and takes in what they tell. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {ServerLimits} from '../../deployment/common/server-limits.js';
import {maxServerLimits} from '../../wire/common/messages.js';
import type {PeerMesh} from './peer-mesh.js';

/** What the news are made of. */
export type LimitNewsOptions = {
	readonly limits: Pick<ServerLimits, 'onDidLearn' | 'hear' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Keeps what hosts know of limits alike: news go to all at once, everything to a host that has just connected. */
export class LimitNews implements Disposable {
	static create(options: LimitNewsOptions): LimitNews {
		return new LimitNews(options);
	}

	private readonly owned = DisposableStore.create();

	private constructor({limits, mesh, clock}: LimitNewsOptions) {
		this.owned.add(limits.onDidLearn(news => {
			mesh.broadcast({type: 'serverLimits', limits: [news]});
		}));
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'serverLimits') {
				limits.hear(message.limits, hostId, clock.nowMs());
			}
		}));
		this.owned.add(mesh.onDidConnect(hostId => {
			const all = limits.all(clock.nowMs());
			if (all.length > 0) {
				mesh.send(hostId, {type: 'serverLimits', limits: all.slice(-maxServerLimits)});
			}
		}));
	}

	dispose(): void {
		this.owned.dispose();
	}
}

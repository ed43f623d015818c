/** Sends peers the server crashes recorded for each request content, and merges what they send. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {FatalContents} from '../../wire/common/messages.js';
import type {ContentEnds} from '../common/end-record.js';
import type {Quarantine} from '../common/quarantine.js';

/** Updates are collected for this long before they are sent, because a server that crashes loses all of its calls at once. */
const gatherMs = 10;
/** Maximum number of contents in one message, about 100 bytes each: a longer one would delay the messages behind it on a slow link. */
const mostInMessage = 500;

/** Dependencies of the quarantine updates. */
export type QuarantineNewsOptions = {
	readonly quarantine: Pick<Quarantine, 'onDidLearn' | 'hear' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Replicates the quarantine between hosts: updates are broadcast to all peers, and a peer that has just connected gets the full record. */
export class QuarantineNews implements Disposable {
	static create(options: QuarantineNewsOptions): QuarantineNews {
		return new QuarantineNews(options);
	}

	private readonly owned = DisposableStore.create();
	private gathered: ContentEnds[] = [];
	private timer: Disposable | undefined;

	private constructor(private readonly options: QuarantineNewsOptions) {
		const {quarantine, mesh} = options;
		this.owned.add(quarantine.onDidLearn(news => {
			this.tellSoon(news);
		}));
		this.owned.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'fatalContents') {
				quarantine.hear(message.contents, hostId);
			}
		}));
		this.owned.add(mesh.onDidConnect(hostId => {
			for (const contents of inParts(quarantine.all())) {
				mesh.send(hostId, {type: 'fatalContents', contents});
			}
		}));
	}

	dispose(): void {
		this.timer?.dispose();
		this.owned.dispose();
	}

	private tellSoon(news: ContentEnds): void {
		this.gathered.push(news);
		this.timer ??= this.options.clock.setTimer(gatherMs, () => {
			this.timer = undefined;
			const contents = this.gathered;
			this.gathered = [];
			for (const part of inParts(contents)) {
				this.options.mesh.broadcast({type: 'fatalContents', contents: part});
			}
		});
	}
}

function inParts(contents: readonly ContentEnds[]): FatalContents[] {
	const parts: FatalContents[] = [];
	for (let from = 0; from < contents.length; from += mostInMessage) {
		parts.push(contents.slice(from, from + mostInMessage).map(item => ({...item, ends: [...item.ends], cleared: [...item.cleared]})));
	}

	return parts;
}

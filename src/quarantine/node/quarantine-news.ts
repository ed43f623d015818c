/** Tells peers which servers ended under which requests, and takes in what they tell. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {FatalContents} from '../../wire/common/messages.js';
import type {ContentEnds} from '../common/end-record.js';
import type {Quarantine} from '../common/quarantine.js';

/** News are gathered for this long: a server that ends breaks off all of its calls at once. */
const gatherMs = 10;
/** Contents in one message, about 100 bytes each: it must not hold up what comes behind it on a thin link. */
const mostInMessage = 500;

/** What the news are made of. */
export type QuarantineNewsOptions = {
	readonly quarantine: Pick<Quarantine, 'onDidLearn' | 'hear' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Keeps the quarantines of all hosts alike: news go to all at once, everything to a host that has just connected. */
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

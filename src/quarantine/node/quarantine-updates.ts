/** Sends peers the server crashes recorded for each request content, and merges what they send. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {FatalContents} from '../../wire/common/messages.js';
import type {ContentCrashes} from '../common/crash-record.js';
import type {Quarantine} from '../common/quarantine.js';

/** Updates are collected for this long before they are sent, because a server that crashes loses all of its calls at once. */
const batchingMs = 10;
/** Maximum number of contents in one message, about 100 bytes each: a longer message would delay those behind it on a slow link. */
const maxContentsPerMessage = 500;

/** Dependencies of the quarantine updates. */
export type QuarantineUpdatesOptions = {
	readonly quarantine: Pick<Quarantine, 'onDidObserve' | 'handlePeerReport' | 'all'>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Replicates the quarantine between hosts: updates are broadcast to all peers, and a peer that has just connected gets the full record. */
export class QuarantineUpdates implements Disposable {
	static create(options: QuarantineUpdatesOptions): QuarantineUpdates {
		return new QuarantineUpdates(options);
	}

	private readonly disposables = DisposableStore.create();
	private pendingContents: ContentCrashes[] = [];
	private timer: Disposable | undefined;

	private constructor(private readonly options: QuarantineUpdatesOptions) {
		const {quarantine, mesh} = options;
		this.disposables.add(quarantine.onDidObserve(update => {
			this.scheduleBroadcast(update);
		}));
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'fatalContents') {
				quarantine.handlePeerReport(message.contents, hostId);
			}
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			for (const contents of splitIntoMessages(quarantine.all())) {
				mesh.send(hostId, {type: 'fatalContents', contents});
			}
		}));
	}

	dispose(): void {
		this.timer?.dispose();
		this.disposables.dispose();
	}

	private scheduleBroadcast(update: ContentCrashes): void {
		this.pendingContents.push(update);
		this.timer ??= this.options.clock.setTimer(batchingMs, () => {
			this.timer = undefined;
			const contents = this.pendingContents;
			this.pendingContents = [];
			for (const part of splitIntoMessages(contents)) {
				this.options.mesh.broadcast({type: 'fatalContents', contents: part});
			}
		});
	}
}

function splitIntoMessages(contents: readonly ContentCrashes[]): FatalContents[] {
	const messages: FatalContents[] = [];
	for (let from = 0; from < contents.length; from += maxContentsPerMessage) {
		messages.push(contents.slice(from, from + maxContentsPerMessage).map(item => ({...item, ends: [...item.ends], cleared: [...item.cleared]})));
	}

	return messages;
}

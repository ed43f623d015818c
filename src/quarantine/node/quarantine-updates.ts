/** Sends peers the server crashes recorded for each request content and for each part of prompts, and merges what they send. */
import type {Clock} from '../../base/common/clock.js';
import {DisposableStore, type Disposable} from '../../base/common/disposable.js';
import type {Event} from '../../base/common/emitter.js';
import type {PeerMesh} from '../../peers/node/peer-mesh.js';
import type {FatalContents, FatalParts} from '../../wire/common/quarantine-messages.js';
import type {Message} from '../../wire/common/messages.js';
import type {ContentCrashes} from '../common/crash-record.js';
import type {PartCrashes} from '../common/part-record.js';

/** Updates are collected for this long before they are sent, because a server that crashes loses all of its calls at once. */
const batchingMs = 10;
/** Maximum number of contents or parts in one message, about 100 bytes each: a longer message would delay those behind it on a slow link. */
const maxItemsPerMessage = 500;

/** A record that all hosts share. */
export type SharedRecord<T> = {
	readonly onDidObserve: Event<T>;
	handlePeerReport(known: readonly T[], hostId: string): void;
	all(): T[];
};

/** Dependencies of the quarantine updates. */
export type QuarantineUpdatesOptions = {
	readonly quarantine: SharedRecord<ContentCrashes>;
	readonly parts: SharedRecord<PartCrashes>;
	readonly mesh: Pick<PeerMesh, 'onDidReceive' | 'onDidConnect' | 'send' | 'broadcast'>;
	readonly clock: Clock;
};

/** Replicates the quarantine between hosts: updates are broadcast to all peers, and a peer that has just connected gets the full records. */
export class QuarantineUpdates implements Disposable {
	static create(options: QuarantineUpdatesOptions): QuarantineUpdates {
		return new QuarantineUpdates(options);
	}

	private readonly disposables = DisposableStore.create();

	private constructor({quarantine, parts, mesh, clock}: QuarantineUpdatesOptions) {
		this.disposables.add(mesh.onDidReceive(({hostId, message}) => {
			if (message.type === 'fatalContents') {
				quarantine.handlePeerReport(message.contents, hostId);
			} else if (message.type === 'fatalParts') {
				parts.handlePeerReport(message.parts, hostId);
			}
		}));
		this.disposables.add(BatchedBroadcast.create({
			record: quarantine, mesh, clock, messageOf: contents => ({type: 'fatalContents', contents: contents.map(item => contentMessageOf(item))}),
		}));
		this.disposables.add(BatchedBroadcast.create({
			record: parts, mesh, clock, messageOf: items => ({type: 'fatalParts', parts: items.map(item => partMessageOf(item))}),
		}));
	}

	dispose(): void {
		this.disposables.dispose();
	}
}

type BatchedBroadcastOptions<T> = Pick<QuarantineUpdatesOptions, 'mesh' | 'clock'> & {readonly record: SharedRecord<T>; readonly messageOf: (items: readonly T[]) => Message};

/** Sends what one record observes. */
class BatchedBroadcast<T> implements Disposable {
	static create<T>(options: BatchedBroadcastOptions<T>): BatchedBroadcast<T> {
		return new BatchedBroadcast(options);
	}

	private readonly disposables = DisposableStore.create();
	private pending: T[] = [];
	private timer: Disposable | undefined;

	private constructor(private readonly options: BatchedBroadcastOptions<T>) {
		const {record, mesh, messageOf} = options;
		this.disposables.add(record.onDidObserve(update => {
			this.schedule(update);
		}));
		this.disposables.add(mesh.onDidConnect(hostId => {
			for (const items of splitIntoMessages(record.all())) {
				mesh.send(hostId, messageOf(items));
			}
		}));
	}

	dispose(): void {
		this.timer?.dispose();
		this.disposables.dispose();
	}

	private schedule(update: T): void {
		const {mesh, clock, messageOf} = this.options;
		this.pending.push(update);
		this.timer ??= clock.setTimer(batchingMs, () => {
			this.timer = undefined;
			const items = this.pending;
			this.pending = [];
			for (const part of splitIntoMessages(items)) {
				mesh.broadcast(messageOf(part));
			}
		});
	}
}

function splitIntoMessages<T>(items: readonly T[]): T[][] {
	const messages: T[][] = [];
	for (let from = 0; from < items.length; from += maxItemsPerMessage) {
		messages.push(items.slice(from, from + maxItemsPerMessage));
	}

	return messages;
}

function contentMessageOf(item: ContentCrashes): FatalContents[number] {
	return {...item, ends: [...item.ends], cleared: [...item.cleared]};
}

function partMessageOf(item: PartCrashes): FatalParts[number] {
	return {...item, crashes: [...item.crashes], cleared: [...item.cleared]};
}

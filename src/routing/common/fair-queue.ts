/** Queues of waiting work, ordered by priority rank, then by fair share of the workspaces, then by due time. */

/** Properties of an item that determine its position in the queue. */
export type QueueItem = {
	readonly workspace: string;
	readonly weight: number;
	/** Priority; higher ranks are served first. */
	readonly rank: number;
	readonly dueMs: number;
};

/** A queue of waiting work. */
export type WorkQueue<T extends QueueItem> = {
	readonly size: number;
	push(item: T): void;
	/**
	Removes the next item.
	@returns the item, or undefined if the queue is empty.
	*/
	pop(): T | undefined;
	/**
	Removes an item at any position.
	@returns whether it was queued.
	*/
	remove(item: T): boolean;
	/** @returns a copy, so that the queue may be modified during iteration. */
	items(): T[];
};

type Flow<T> = {readonly items: T[]; startTag: number};

/**
Start-time fair queueing: each call advances the start tag of its workspace by 1 / weight. The workspace whose first
item has the highest rank is served; among equal ranks, the one with the lowest start tag. Within a workspace, items
are ordered by rank, then by due time.
*/
export class FairQueue<T extends QueueItem> implements WorkQueue<T> {
	static create<T extends QueueItem>(): FairQueue<T> {
		return new FairQueue<T>();
	}

	private readonly flows = new Map<string, Flow<T>>();
	private virtualTime = 0;
	private count = 0;

	get size(): number {
		return this.count;
	}

	push(item: T): void {
		const flow = this.flows.get(item.workspace) ?? {items: [], startTag: this.virtualTime};
		if (flow.items.length === 0) {
			flow.startTag = Math.max(flow.startTag, this.virtualTime);
		}

		const at = flow.items.findIndex(other => comesBefore(item, other));
		flow.items.splice(at === -1 ? flow.items.length : at, 0, item);
		this.flows.set(item.workspace, flow);
		this.count++;
	}

	pop(): T | undefined {
		let next: Flow<T> | undefined;
		for (const flow of this.flows.values()) {
			if (flow.items.length > 0 && (!next || isServedBefore(flow, next))) {
				next = flow;
			}
		}

		const item = next?.items.shift();
		if (next && item) {
			this.virtualTime = next.startTag;
			next.startTag += 1 / item.weight;
			this.count--;
			this.dropIdleFlows();
		}

		return item;
	}

	remove(item: T): boolean {
		const flow = this.flows.get(item.workspace);
		const at = flow?.items.indexOf(item) ?? -1;
		if (!flow || at === -1) {
			return false;
		}

		flow.items.splice(at, 1);
		this.count--;
		return true;
	}

	items(): T[] {
		return [...this.flows.values()].flatMap(flow => flow.items);
	}

	/** Deletes empty flows whose start tag is not ahead of the virtual time: a new flow would start with the same tag. */
	private dropIdleFlows(): void {
		for (const [workspace, flow] of this.flows) {
			if (flow.items.length === 0 && flow.startTag <= this.virtualTime) {
				this.flows.delete(workspace);
			}
		}
	}
}

function comesBefore(item: QueueItem, other: QueueItem): boolean {
	return item.rank === other.rank ? item.dueMs < other.dueMs : item.rank > other.rank;
}

function isServedBefore<T extends QueueItem>(flow: Flow<T>, other: Flow<T>): boolean {
	const [first] = flow.items;
	const [second] = other.items;
	return first.rank === second.rank ? flow.startTag < other.startTag : first.rank > second.rank;
}

/** Serves items in order of arrival; the baseline that benchmarks compare with. */
export class FifoQueue<T extends QueueItem> implements WorkQueue<T> {
	static create<T extends QueueItem>(): FifoQueue<T> {
		return new FifoQueue<T>();
	}

	private readonly waiting: T[] = [];

	get size(): number {
		return this.waiting.length;
	}

	push(item: T): void {
		this.waiting.push(item);
	}

	pop(): T | undefined {
		return this.waiting.shift();
	}

	remove(item: T): boolean {
		const at = this.waiting.indexOf(item);
		if (at !== -1) {
			this.waiting.splice(at, 1);
		}

		return at !== -1;
	}

	items(): T[] {
		return [...this.waiting];
	}
}

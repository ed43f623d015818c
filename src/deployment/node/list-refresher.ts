/**
Brings the list of servers and the history of their versions up to date at once. A host that was separated from the others or that stood still takes
what it knows for current until its next call to the store fails; what must not rely on that asks for a refresh first.
*/
import type {InjectionToken} from 'tsyringe';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {TimeLimit} from '../../base/common/time-limit.js';
import {reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {FeedSource} from '../common/feed.js';
import type {ServerRegistry} from '../common/server-registry.js';
import type {UpstreamServer} from '../common/upstream-server.js';
import type {VersionArchiver} from './version-archiver.js';

/** Many times the store's typical response time; a caller waits meanwhile. */
const timeoutMs = 700;
/** Minimum interval between refreshes: each is two calls to the store, which limits the calls of all hosts together. */
const minIntervalMs = 200;

export const listRefresherToken: InjectionToken<ListRefresher> = Symbol('ListRefresher');

/** Dependencies of `ListRefresher`. */
export type ListRefresherOptions = {
	readonly source: Pick<FeedSource<UpstreamServer>, 'readChanges'>;
	readonly registry: Pick<ServerRegistry, 'revision' | 'applyChanges'>;
	readonly archiver: Pick<VersionArchiver, 'refresh'>;
	readonly clock: Clock;
};

/** Refreshes the list, for all that ask meanwhile at once. */
export class ListRefresher implements Disposable {
	static create(options: ListRefresherOptions): ListRefresher {
		return new ListRefresher(options);
	}

	private readonly controller = new AbortController();
	private current: Promise<boolean> | undefined;
	private currentStartMs = -Infinity;
	/** A refresh that has not begun, for which all wait that ask now: what one brings that is under way may be older. */
	private next: Promise<boolean> | undefined;

	private constructor(private readonly options: ListRefresherOptions) {}

	/**
	Applies all changes of the list up to now.
	@returns whether the store answered; otherwise the list may be outdated.
	*/
	async refresh(): Promise<boolean> {
		this.next ??= this.runNext();
		return this.next;
	}

	dispose(): void {
		this.controller.abort();
	}

	private async runNext(): Promise<boolean> {
		const {clock} = this.options;
		await this.current;
		const delayMs = this.currentStartMs + minIntervalMs - clock.nowMs();
		if (delayMs > 0) {
			await new Promise<void>(resolve => {
				clock.setTimer(delayMs, resolve);
			});
		}

		this.next = undefined;
		this.currentStartMs = clock.nowMs();
		this.current = this.read();
		return this.current;
	}

	private async read(): Promise<boolean> {
		const {clock} = this.options;
		const limit = TimeLimit.create(clock, timeoutMs, this.controller.signal);
		const expired = new Promise<boolean>(resolve => {
			limit.signal.addEventListener('abort', () => {
				resolve(false);
			}, {once: true});
		});
		const isRefreshed = await Promise.race([expired, this.tryReadAll(limit.signal)]);
		limit.dispose();
		return isRefreshed;
	}

	private async tryReadAll(signal: AbortSignal): Promise<boolean> {
		try {
			// Versions that came and went since the last read are in the archive only.
			const results = await Promise.all([this.readList(signal), this.options.archiver.refresh()]);
			return results.every(Boolean);
		} catch (error) {
			reportUnexpectedError('refresh of the list', error);
			return false;
		}
	}

	private async readList(signal: AbortSignal): Promise<boolean> {
		const {source, registry, clock} = this.options;
		const result = await source.readChanges(registry.revision, 0, {signal, onProgress: () => undefined});
		if (result.ok && !signal.aborted) {
			registry.applyChanges(result.value, clock.nowMs());
		}

		return result.ok;
	}
}

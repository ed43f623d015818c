/** Follows one feed of the platform's store through outages, lost history and stale reads. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Logger} from '../../base/common/logger.js';
import type {Outcome} from '../../base/common/outcome.js';
import {jitter, type Random} from '../../base/common/random.js';
import {TimeLimit} from '../../base/common/time-limit.js';
import type {FeedChanges, FeedFailure, FeedSource} from '../common/feed.js';

/** Pause after changes: they come in bursts (servers of a service start together), and each call has a price. */
const burstMs = 60;
/** How often a host that rests looks whether it must read: a small part of the time within which news must be acted on. */
const restMs = 200;
/** Longest silence of an answer, and longest wait for it beyond the time it may be held: many times the store's usual 4 ms. */
const answerMs = 700;
/** Bounds of the time between calls that fail; it doubles from one to the next. */
const firstRetryMs = 60;
const longestRetryMs = 500;

/** What a follower is made of. */
export type FeedFollowerOptions<T> = {
	readonly name: string;
	readonly source: FeedSource<T>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	/** Takes everything; false means that it is older than what is known. */
	readonly replaceAll: (all: FeedChanges<T>) => boolean;
	readonly apply: (changes: FeedChanges<T>) => void;
	/** The store does not answer. */
	readonly lost: () => void;
	/** The store answers again after it was away. */
	readonly returned: () => void;
	/**
	How long the store may hold a call. Short enough that a silent cut is noticed before its end counts
	(hosts are bound again three seconds after it), long enough that calls cost little.
	*/
	readonly holdMs: () => number;
	/** Whether other hosts read for this one; asked before each call once everything was read or told. */
	readonly mayRest: () => boolean;
	/** Whether other hosts have told what there is to read. */
	readonly isTold: () => boolean;
};

/** Reads on and on until disposed. */
export class FeedFollower<T> implements Disposable {
	static create<T>(options: FeedFollowerOptions<T>): FeedFollower<T> {
		return new FeedFollower<T>(options);
	}

	private readonly controller = new AbortController();
	private revision: number | undefined;
	/** Whether the last call failed. */
	private hasFailed = false;
	/** Whether the call after it failed as well. */
	private isStoreAway = false;
	/** When the calls began to fail. */
	private awaySinceMs = 0;
	private retryMs = firstRetryMs;
	/** When the store last answered. */
	private answeredMs: number | undefined;
	/** Whether other hosts read for this one since its last call. */
	private hasRested = false;

	private constructor(private readonly options: FeedFollowerOptions<T>) {}

	/** Whether this host's own reading goes on: everything was read, the last call did not fail, and it does not rest. */
	get isCurrent(): boolean {
		return this.isSynced && !this.hasFailed && !this.hasRested;
	}

	/** Whether other hosts read for this one now. */
	get isResting(): boolean {
		return this.hasRested;
	}

	/** How long ago the store last answered; nothing before it has, and while this host rests. */
	get ageMs(): number | undefined {
		return this.answeredMs === undefined || this.hasRested ? undefined : this.options.clock.nowMs() - this.answeredMs;
	}

	/** Begins to read. */
	start(): void {
		void this.run();
	}

	dispose(): void {
		this.controller.abort();
	}

	/** Whether everything was read, so that changes alone are read next. */
	private get isSynced(): boolean {
		return this.revision !== undefined;
	}

	private async run(): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			if (this.mayRest) {
				this.hasRested = true;
				await this.sleep(restMs);
				continue;
			}

			if (this.hasRested) {
				// What was read last is old, and peers have told more: everything is read again.
				this.hasRested = false;
				this.revision = undefined;
			}

			const read = await this.readNext();
			if (signal.aborted) {
				return;
			}

			if (read.ok) {
				await this.take(read.value);
			} else if (!this.mayRest) {
				await this.fail(read.error);
			}
		}
	}

	/** Whether this host has what there is to read, and others read for it now. */
	private get mayRest(): boolean {
		return (this.isSynced || this.options.isTold()) && this.options.mayRest();
	}

	private async readNext(): Promise<Outcome<FeedChanges<T>, FeedFailure>> {
		const {source, holdMs, clock} = this.options;
		// A held call would tell only with the next change that the store is back, up to two seconds late.
		const waitMs = this.revision === undefined || this.hasFailed ? 0 : holdMs();
		const limit = TimeLimit.create(clock, waitMs + answerMs, this.controller.signal);
		// On waking this host knows only what was in force before, and its connection may have died meanwhile.
		const woke = clock.onDidResume(() => {
			limit.abort();
		});
		const watch = this.isSynced ? undefined : this.endOnceTold(limit);
		const call = {
			signal: limit.signal,
			heard() {
				// Only silence tells that nothing will come: thousands of routes take 1.6 s on 7 Mbit/s, more on a full link.
				limit.extend(answerMs);
			},
		};
		const read = await (this.revision === undefined ? source.readAll(call) : source.readChanges(this.revision, waitMs, call));
		limit.dispose();
		woke.dispose();
		watch?.dispose();
		return read;
	}

	/**
	Gives a reading of everything up once others have told it and read for this host: 4,249 routes take 1.4 MB from the
	store, 1.6 s of a link of 7 Mbit/s, and 62 KB from a peer.
	*/
	private endOnceTold(limit: TimeLimit): Disposable {
		return setRepeating(this.options.clock, () => restMs, () => {
			if (this.mayRest) {
				limit.abort();
			}
		});
	}

	private async take(changes: FeedChanges<T>): Promise<void> {
		const {log, name, replaceAll, apply, returned, clock} = this.options;
		this.answeredMs = clock.nowMs();
		this.hasFailed = false;
		if (this.isStoreAway) {
			this.isStoreAway = false;
			log.info('The store answers again.', {
				feed: name, revision: changes.revision, awayMs: Math.round(this.answeredMs - this.awaySinceMs),
			});
			returned();
		}

		if (this.revision !== undefined) {
			apply(changes);
			if (changes.changed.length + changes.dropped.length > 0) {
				await this.sleep(burstMs);
			}
		} else if (!replaceAll(changes)) {
			log.warn('The store gave a list older than the one known; it is read again.', {feed: name, revision: changes.revision});
			await this.pause();
			return;
		}

		this.retryMs = firstRetryMs;
		this.revision = changes.revision;
	}

	private async fail(failure: FeedFailure): Promise<void> {
		const {log, name, clock, lost} = this.options;
		if (failure.code === 'historyGone') {
			log.warn('The store has forgotten the changes since the last call; everything is read again.', {feed: name, revision: this.revision});
			this.revision = undefined;
			return;
		}

		if (!this.hasFailed) {
			// An open connection may be cut without a word: only a call on a new one tells whether the store is away.
			this.hasFailed = true;
			log.info('A call to the store failed; it is made again at once.', {feed: name, reason: failure.message});
			return;
		}

		if (!this.isStoreAway) {
			this.isStoreAway = true;
			this.awaySinceMs = clock.nowMs();
			log.warn('The store does not answer; what was last read stays in force.', {feed: name, reason: failure.message, revision: this.revision});
			lost();
		}

		await this.pause();
	}

	private async pause(): Promise<void> {
		const {random} = this.options;
		const delayMs = jitter(random, this.retryMs);
		this.retryMs = Math.min(longestRetryMs, this.retryMs * 2);
		await this.sleep(delayMs);
	}

	private async sleep(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.options.clock.setTimer(delayMs, resolve);
		});
	}
}

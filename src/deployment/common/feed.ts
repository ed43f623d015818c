/** Ports to the platform's store for what hosts follow there: the declaration and the list of servers. */
import type {Outcome} from '../../base/common/outcome.js';

/** Why a reading gave nothing. */
export type FeedFailure = {
	readonly code: 'away' | 'historyGone';
	readonly message: string;
};

/** Something that was written, and by which writing of the store. */
export type WrittenRow<T> = {readonly value: T; readonly revision: number};
/** Something that was dropped, and by which writing of the store. */
export type DroppedRow = {readonly key: string; readonly revision: number};

/**
Changes since a writing of the store. One key may be in both lists, as when it was dropped and written again:
the revisions tell which came last.
*/
export type FeedChanges<T> = {
	readonly changed: ReadonlyArray<WrittenRow<T>>;
	readonly dropped: readonly DroppedRow[];
	/** The newest writing that these changes know of. */
	readonly revision: number;
};

/** Something kept in the store that changes now and then. */
export type FeedSource<T> = {
	/** @returns all there is. */
	readAll(signal: AbortSignal): Promise<Outcome<FeedChanges<T>, FeedFailure>>;
	/**
	Waits for changes.
	@param revision - the last writing seen.
	@param waitMs - how long the store may hold the call while nothing changes.
	@param signal - gives the call up.
	*/
	readChanges(revision: number, waitMs: number, signal: AbortSignal): Promise<Outcome<FeedChanges<T>, FeedFailure>>;
};

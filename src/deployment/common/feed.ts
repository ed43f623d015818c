/** Interfaces to the platform's store for the feeds that hosts follow: the declaration and the list of servers. */
import type {Outcome} from '../../base/common/outcome.js';

/** Why a read failed: the store is unavailable, or no longer has the changes since the given revision. */
export type FeedFailure = {
	readonly code: 'away' | 'historyGone';
	readonly message: string;
};

/** A value that was written, and the store revision of the write. */
export type WrittenRow<T> = {readonly value: T; readonly revision: number};
/** The key of a row that was deleted, and the store revision of the delete. */
export type DroppedRow = {readonly key: string; readonly revision: number};

/**
Changes since a revision of the store. One key may be in both lists, as when it was deleted and written again:
the revisions show which came last.
*/
export type FeedChanges<T> = {
	readonly changed: ReadonlyArray<WrittenRow<T>>;
	readonly dropped: readonly DroppedRow[];
	/** Rows that were written with content that can't be parsed: they hold nothing, even if the same key held a value before. */
	readonly unreadable: readonly DroppedRow[];
	/** The newest revision that these changes include. */
	readonly revision: number;
};

/** Signals between a read in progress and its caller. */
export type FeedCall = {
	/** Cancels the call. */
	readonly signal: AbortSignal;
	/** To be called whenever a part of the response has arrived. */
	readonly onProgress: () => void;
};

/** Content of the store that can be read completely and then followed change by change. */
export type FeedSource<T> = {
	/**
	Reads the complete content.
	@param call - signals to and from the caller.
	@returns the complete content, as changes from an empty state.
	*/
	readAll(call: FeedCall): Promise<Outcome<FeedChanges<T>, FeedFailure>>;
	/**
	Waits for changes.
	@param revision - the last revision known to the caller.
	@param waitMs - how long the store may hold the call while nothing changes.
	@param call - signals to and from the caller.
	@returns the changes since the revision.
	*/
	readChanges(revision: number, waitMs: number, call: FeedCall): Promise<Outcome<FeedChanges<T>, FeedFailure>>;
};

/** Ports to the platform's store for what hosts follow there: the declaration and the list of servers. */
import type {Outcome} from '../../base/common/outcome.js';

/** Why a reading gave nothing. */
export type FeedFailure = {
	readonly code: 'away' | 'historyGone';
	readonly message: string;
};

/** Changes since a writing of the store. */
export type FeedChanges<T> = {
	readonly changed: readonly T[];
	/** Keys of what was dropped. */
	readonly removedIds: readonly string[];
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

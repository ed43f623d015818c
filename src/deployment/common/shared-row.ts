/** Port to one row of the platform's store that all hosts of a deployment share. */
import type {Outcome} from '../../base/common/outcome.js';

/** What the row holds. */
export type SharedRowContent = {
	/** Undefined if the row does not exist. */
	readonly text: string | undefined;
	/** Revision of the row's last write; 0 if it does not exist. */
	readonly revision: number;
	/** The store's steady clock at the time of the read. */
	readonly storeMs: number;
};

/** A row that is read and written as a whole. Calls fail with a reason while the store is unavailable; a write that fails may have been done. */
export type SharedRow = {
	/** Reads the row. */
	read(): Promise<Outcome<SharedRowContent, string>>;
	/**
	Writes the row, provided that it was not written since it was read.
	@param text - the new content.
	@param expectedRevision - the revision that was read.
	@returns whether it was written; false if it was written by another host.
	*/
	write(text: string, expectedRevision: number): Promise<Outcome<boolean, string>>;
	dispose(): void;
};

/** Interface to the platform's transactional table service. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';

/** A stored row; `version` rises with each write and is 0 for a row that does not exist. */
export type Row = {readonly key: string; readonly version: number; readonly value: string};

/** The version that a row must have for a transaction to be accepted. */
export type RowCondition = {readonly key: string; readonly version: number};

/** A row to write, or to delete if no value is given. */
export type RowWrite = {readonly key: string; readonly value?: string};

/** Why a call to the table service failed. */
export type TableFailure
	/** The conditions on these keys did not hold; nothing was written. */
	= | {readonly code: 'conflict'; readonly keys: readonly string[]}
	/** The service did not respond. A write may have taken effect nevertheless. */
		| {readonly code: 'unavailable'; readonly message: string; readonly mayHaveTakenEffect: boolean};

/** A transaction: performs all writes if all conditions hold, otherwise none. */
export type Transaction = {readonly conditions: readonly RowCondition[]; readonly writes: readonly RowWrite[]};

/** Range of a scan: prefix of the keys, the key to start after, and the maximum number of rows. */
export type ScanRange = {readonly prefix: string; readonly after?: string; readonly limit: number};

/** The table service. Each call has its own timeout. */
export type TableService = {
	/**
	Reads rows.
	@param keys - keys of the rows.
	@returns the rows that exist.
	*/
	read(keys: readonly string[]): Promise<Outcome<Row[], TableFailure>>;
	/**
	Reads rows in order of their keys.
	@param range - prefix, start and maximum number of rows.
	@returns the rows.
	*/
	scan(range: ScanRange): Promise<Outcome<Row[], TableFailure>>;
	/**
	Executes a transaction: all of its writes or none.
	@param transaction - conditions and writes.
	@returns no value, or why the transaction was not executed or its outcome is unknown.
	*/
	transact(transaction: Transaction): Promise<Outcome<undefined, TableFailure>>;
};

export const tableServiceToken: InjectionToken<TableService> = Symbol('TableService');

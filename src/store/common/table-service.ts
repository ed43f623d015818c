/** Port to the platform's transactional table service. */
import type {InjectionToken} from 'tsyringe';
import type {Outcome} from '../../base/common/outcome.js';

/** A row as kept; `version` rises with each write and is 0 for a row that is absent. */
export type Row = {readonly key: string; readonly version: number; readonly value: string};

/** What must hold for a transaction to be accepted. */
export type RowCondition = {readonly key: string; readonly version: number};

/** A row to put, or to delete where no value is given. */
export type RowWrite = {readonly key: string; readonly value?: string};

/** Why a call to the table service gave no result. */
export type TableFailure
	/** Conditions that did not hold; nothing was written. */
	= | {readonly code: 'conflict'; readonly keys: readonly string[]}
	/** No answer. A write may have taken effect all the same. */
		| {readonly code: 'unavailable'; readonly message: string; readonly mayHaveTakenEffect: boolean};

/** A transaction: all writes, if all conditions hold. */
export type Transaction = {readonly conditions: readonly RowCondition[]; readonly writes: readonly RowWrite[]};

/** Where rows start and how many are wanted. */
export type ScanRange = {readonly prefix: string; readonly after?: string; readonly limit: number};

/** The table service. Each call has its own time limit. */
export type TableService = {
	/**
	Reads rows.
	@param keys - which.
	@returns those that exist.
	*/
	read(keys: readonly string[]): Promise<Outcome<Row[], TableFailure>>;
	/**
	Reads rows in order of their keys.
	@param range - prefix, start and count.
	@returns the rows.
	*/
	scan(range: ScanRange): Promise<Outcome<Row[], TableFailure>>;
	/**
	Writes all or nothing.
	@param transaction - conditions and writes.
	@returns nothing, or why it was not done or not known to be done.
	*/
	transact(transaction: Transaction): Promise<Outcome<undefined, TableFailure>>;
};

export const tableServiceToken: InjectionToken<TableService> = Symbol('TableService');

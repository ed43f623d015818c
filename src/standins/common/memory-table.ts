/** Stand-in of the platform's table service: rows in memory, with its faults to switch on. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {
	Row, RowWrite, ScanRange, TableFailure, TableService, Transaction,
} from '../../store/common/table-service.js';

const serviceDown: TableFailure = {code: 'unavailable', message: 'the table service is down', mayHaveTakenEffect: false};
const outcomeLost: TableFailure = {code: 'unavailable', message: 'the answer was lost', mayHaveTakenEffect: true};

/** Rows in memory. */
export class MemoryTable implements TableService {
	static create(): MemoryTable {
		return new MemoryTable();
	}

	/** No call is served. */
	isDown = false;
	/** Answers to this many next transactions are lost after their writes took effect. */
	responsesToLose = 0;
	/** This many next transactions are lost before they take effect; the caller can't tell. */
	requestsToLose = 0;
	/** The next transaction takes effect, and the service goes down before it answers. */
	crashAfterWrite = false;
	/** Calls served so far, for budgets. */
	readCount = 0;
	writeCount = 0;
	private readonly rows = new Map<string, Row>();
	private nextVersion = 1;

	async read(keys: readonly string[]): Promise<Outcome<Row[], TableFailure>> {
		this.readCount++;
		return this.isDown ? fail(serviceDown) : ok(keys.flatMap(key => this.rows.get(key) ?? []));
	}

	async scan(range: ScanRange): Promise<Outcome<Row[], TableFailure>> {
		this.readCount++;
		if (this.isDown) {
			return fail(serviceDown);
		}

		const keys = [...this.rows.keys()]
			.filter(key => key.startsWith(range.prefix) && (range.after === undefined || key > range.after))
			.toSorted((a, b) => (a < b ? -1 : 1))
			.slice(0, range.limit);
		return ok(keys.map(key => this.rows.get(key)!));
	}

	async transact(transaction: Transaction): Promise<Outcome<undefined, TableFailure>> {
		this.writeCount++;
		if (this.isDown) {
			return fail({...serviceDown, mayHaveTakenEffect: true});
		}

		if (this.requestsToLose > 0) {
			this.requestsToLose--;
			return fail(outcomeLost);
		}

		const keys = transaction.conditions
			.filter(({key, version}) => (this.rows.get(key)?.version ?? 0) !== version)
			.map(({key}) => key);
		if (keys.length === 0) {
			for (const write of transaction.writes) {
				this.write(write);
			}
		}

		if (this.crashAfterWrite) {
			this.crashAfterWrite = false;
			this.isDown = true;
			return fail(outcomeLost);
		}

		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			return fail(outcomeLost);
		}

		return keys.length > 0 ? fail({code: 'conflict', keys}) : ok(undefined);
	}

	private write({key, value}: RowWrite): void {
		if (value === undefined) {
			this.rows.delete(key);
		} else {
			this.rows.set(key, {key, value, version: this.nextVersion++});
		}
	}
}

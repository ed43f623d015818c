/** Simulation of the platform's table service: rows in memory, with faults that tests can enable. */
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {
	Row, RowWrite, ScanRange, TableFailure, TableService, Transaction,
} from '../../store/common/table-service.js';

const serviceDown: TableFailure = {code: 'unavailable', message: 'the table service is down', mayHaveTakenEffect: false};
const outcomeLost: TableFailure = {code: 'unavailable', message: 'the answer was lost', mayHaveTakenEffect: true};

/** Table service in memory. */
export class MemoryTable implements TableService {
	static create(): MemoryTable {
		return new MemoryTable();
	}

	/** Whether the service is unavailable: all calls fail. */
	isDown = false;
	/** Number of upcoming transactions whose responses are lost after their writes took effect. */
	responsesToLose = 0;
	/** Number of upcoming transactions that are lost before they take effect; the caller can't distinguish this from a lost response. */
	requestsToLose = 0;
	/** Whether the service becomes unavailable after the next transaction took effect and before it responds. */
	crashAfterWrite = false;
	/** Calls received so far, for tests that limit the number of calls. */
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

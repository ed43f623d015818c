/** Deletes expired claims, a page at a time, on the entry that holds the placement lease. */
import {setRepeating, type Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Row, TableService} from '../../store/common/table-service.js';
import {claimPrefix, parseClaim} from './claim.js';

/** How long a claim is retained after the end of its request, so that late copies of the request find it. */
export const claimRetentionMs = 24 * 60 * 60 * 1000;
const sweepIntervalMs = 5000;
const pageRows = 200;

/** Options of a claim sweeper. */
export type ClaimSweeperOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly random: Random;
	/** Returns whether this process holds the lease; only the lease holder sweeps. */
	readonly isLeaseHolder: () => boolean;
};

/** Deletes claims for which no further copy of the request is expected. */
export class ClaimSweeper implements Disposable {
	static create(options: ClaimSweeperOptions): ClaimSweeper {
		return new ClaimSweeper(options);
	}

	private lastKey: string | undefined;
	private readonly timer: Disposable;

	private constructor(private readonly options: ClaimSweeperOptions) {
		this.timer = setRepeating(options.clock, () => jitter(options.random, sweepIntervalMs), async () => {
			if (options.isLeaseHolder()) {
				await this.sweep();
			}
		});
	}

	/** Scans one page of claims and deletes the expired ones in one transaction. */
	async sweep(): Promise<void> {
		const {table} = this.options;
		const rows = await table.scan({prefix: claimPrefix, limit: pageRows, ...(this.lastKey !== undefined && {after: this.lastKey})});
		if (!rows.ok) {
			return;
		}

		// After the last page the scan starts over from the first.
		this.lastKey = rows.value.length === pageRows ? rows.value.at(-1)!.key : undefined;
		const expired = rows.value.filter(row => this.isExpired(row));
		if (expired.length > 0) {
			// A claim that was rewritten meanwhile has a new version: the transaction then fails and deletes none of the page.
			await table.transact({
				conditions: expired.map(({key, version}) => ({key, version})),
				writes: expired.map(({key}) => ({key})),
			});
		}
	}

	dispose(): void {
		this.timer.dispose();
	}

	private isExpired(row: Row): boolean {
		const claim = parseClaim(row);
		return claim !== undefined && this.options.clock.wallMs() > claim.endsByMs + claimRetentionMs;
	}
}

/**
The placement lease, which lets one entry at a time send orders. Clocks of different
hosts are never compared: the holder rewrites the row repeatedly, and another process
takes over only after it has seen the row unchanged for the whole lease time.
*/
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import type {Row, TableService} from '../../store/common/table-service.js';

export const leaseKey = 'placement/lease';

/** How long a lease is valid without being renewed. */
export const leaseMs = 15_000;
/** Subtracted from the lease time on the holder's side, as clocks run at different speeds. */
const clockMarginMs = 2000;
/** Value of `holder` in a lease that was released. */
const noHolder = 'nobody';

const leaseSchema = z.strictObject({holder: z.string(), epoch: z.number().int().positive(), beat: z.number().int()});
type LeaseRow = z.infer<typeof leaseSchema>;

/**
Parses the row of a lease.
@param row - the row as read from the table service.
@returns the lease, or `undefined` if the row is malformed.
*/
export function parseLease(row: Row): LeaseRow | undefined {
	try {
		return leaseSchema.safeParse(JSON.parse(row.value)).data;
	} catch {
		return undefined;
	}
}

/** Acquires, renews and releases the lease for one process. */
export class PlacementLease {
	static create(table: TableService, clock: Clock, holder: string): PlacementLease {
		return new PlacementLease(table, clock, holder);
	}

	private heldUntilMs = -Infinity;
	private heldEpoch = 0;
	private seenVersion = 0;
	private seenAtMs = 0;

	private constructor(private readonly table: TableService, private readonly clock: Clock, private readonly holder: string) {}

	/** Time for which the lease is certain to be held; 0 if it is not. */
	get remainingMs(): number {
		return Math.max(0, this.heldUntilMs - this.clock.nowMs());
	}

	/** The epoch of the lease, or `undefined` while it is not held. */
	get epoch(): number | undefined {
		return this.remainingMs > 0 ? this.heldEpoch : undefined;
	}

	/** Renews the lease, or takes it over once its holder has not renewed it for the lease time. Called every few seconds. */
	async tick(): Promise<void> {
		const rows = await this.table.read([leaseKey]);
		if (!rows.ok) {
			return;
		}

		const row = rows.value.at(0);
		const lease = row && parseLease(row);
		if (!row || !lease) {
			await this.write({holder: this.holder, epoch: 1, beat: 0}, row?.version ?? 0);
		} else if (lease.holder === this.holder) {
			await this.write({...lease, beat: lease.beat + 1}, row.version);
		} else if (lease.holder === noHolder || this.hasExpired(row.version)) {
			await this.write({holder: this.holder, epoch: lease.epoch + 1, beat: 0}, row.version);
		}
	}

	/** Releases the lease, so that another process can take it immediately. */
	async release(): Promise<void> {
		this.heldUntilMs = -Infinity;
		const rows = await this.table.read([leaseKey]);
		const row = rows.ok ? rows.value.at(0) : undefined;
		const lease = row && parseLease(row);
		if (row && lease?.holder === this.holder) {
			await this.table.transact({
				conditions: [{key: leaseKey, version: row.version}],
				writes: [{key: leaseKey, value: JSON.stringify({holder: noHolder, epoch: lease.epoch, beat: 0})}],
			});
		}
	}

	private hasExpired(version: number): boolean {
		const nowMs = this.clock.nowMs();
		if (version !== this.seenVersion) {
			this.seenVersion = version;
			this.seenAtMs = nowMs;
		}

		return nowMs - this.seenAtMs >= leaseMs;
	}

	private async write(lease: LeaseRow, version: number): Promise<void> {
		// The lease time is counted from before the call, as the row may be written at any moment during it.
		const sentMs = this.clock.nowMs();
		const result = await this.table.transact({
			conditions: [{key: leaseKey, version}],
			writes: [{key: leaseKey, value: JSON.stringify(lease)}],
		});
		if (result.ok) {
			this.heldEpoch = lease.epoch;
			this.heldUntilMs = sentMs + leaseMs - clockMarginMs;
		}
		// Without a response the lease does not count as held: the next read shows whether the row was written.
	}
}

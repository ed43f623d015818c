/**
The placement lease: one entry at a time gives orders. No clock is compared with
another host's: the holder writes the row again and again, and others take over
only after they have watched it stand still for its whole length.
*/
import {z} from 'zod';
import type {Clock} from '../../base/common/clock.js';
import type {Row, TableService} from '../../store/common/table-service.js';

export const leaseKey = 'placement/lease';

/** How long a lease holds without being renewed. */
export const leaseMs = 15_000;
/** Taken off the holder's side, for clocks that run at different speeds. */
const marginMs = 2000;
/** Holder of a lease that was given up. */
const nobody = 'nobody';

const leaseSchema = z.strictObject({holder: z.string(), epoch: z.number().int().positive(), beat: z.number().int()});
type LeaseRow = z.infer<typeof leaseSchema>;

/**
Reads a lease's row.
@param row - the row.
@returns holder and epoch, or nothing where it can't be read.
*/
export function parseLease(row: Row): LeaseRow | undefined {
	try {
		return leaseSchema.safeParse(JSON.parse(row.value)).data;
	} catch {
		return undefined;
	}
}

/** Tries to hold the lease for one process. */
export class LeaseKeeper {
	static create(table: TableService, clock: Clock, holder: string): LeaseKeeper {
		return new LeaseKeeper(table, clock, holder);
	}

	private heldUntilMs = -Infinity;
	private heldEpoch = 0;
	private seenVersion = 0;
	private seenAtMs = 0;

	private constructor(private readonly table: TableService, private readonly clock: Clock, private readonly holder: string) {}

	/** Time for which the lease is surely held; 0 if it is not. */
	get remainingMs(): number {
		return Math.max(0, this.heldUntilMs - this.clock.nowMs());
	}

	/** The epoch held, or nothing. */
	get epoch(): number | undefined {
		return this.remainingMs > 0 ? this.heldEpoch : undefined;
	}

	/** Renews the lease, or takes it once its holder has stood still long enough. Called every few seconds. */
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
		} else if (lease.holder === nobody || this.hasStoodStill(row.version)) {
			await this.write({holder: this.holder, epoch: lease.epoch + 1, beat: 0}, row.version);
		}
	}

	/** Gives the lease up, so that another takes it at once. */
	async release(): Promise<void> {
		this.heldUntilMs = -Infinity;
		const rows = await this.table.read([leaseKey]);
		const row = rows.ok ? rows.value.at(0) : undefined;
		const lease = row && parseLease(row);
		if (row && lease?.holder === this.holder) {
			await this.table.transact({
				conditions: [{key: leaseKey, version: row.version}],
				writes: [{key: leaseKey, value: JSON.stringify({holder: nobody, epoch: lease.epoch, beat: 0})}],
			});
		}
	}

	private hasStoodStill(version: number): boolean {
		const nowMs = this.clock.nowMs();
		if (version !== this.seenVersion) {
			this.seenVersion = version;
			this.seenAtMs = nowMs;
		}

		return nowMs - this.seenAtMs >= leaseMs;
	}

	private async write(lease: LeaseRow, version: number): Promise<void> {
		// Counted from before the call: the row may be written at any moment of it.
		const sentMs = this.clock.nowMs();
		const done = await this.table.transact({
			conditions: [{key: leaseKey, version}],
			writes: [{key: leaseKey, value: JSON.stringify(lease)}],
		});
		if (done.ok) {
			this.heldEpoch = lease.epoch;
			this.heldUntilMs = sentMs + leaseMs - marginMs;
		}
		// Without an answer nothing is taken as held: the next read shows whether it was written.
	}
}

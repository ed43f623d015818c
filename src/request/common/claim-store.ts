/**
Stores the claims of requests that run at most once, as one row for each idempotency key in the table service.
Claims and outcomes of one entry are committed in batches, one transaction at a time, so that writes stay within the
platform's budget.
*/
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {detach, reportUnexpectedError} from '../../base/common/unexpected-errors.js';
import type {
	Row, RowCondition, RowWrite, TableService,
} from '../../store/common/table-service.js';
import {
	isSameClaim, parseClaim, type Claim, type StoredResponse,
} from './claim.js';
import {outcomes} from './request-plan.js';

const maxBatchWrites = 200;
/** Maximum length of an answer that is stored with its claim, so that a repeated request gets the same answer. */
const maxStoredResponseChars = 16_384;
/** How long writing an outcome or releasing a late claim is retried. */
const settleTimeoutMs = 30_000;
const settleRetryDelayMs = 200;
const releaseCheckIntervalMs = 1000;

/** Why a claim was not granted. */
export type ClaimRefusal
	/** The key was used before; `claim` holds the state of that request. */
	= | {readonly code: 'taken'; readonly claim: Claim}
		| {readonly code: 'unavailable'; readonly message: string};

/** A granted claim, whose outcome is recorded later with `settle`. */
export type GrantedClaim = {readonly key: string; readonly claim: Claim};

type PendingWrite = {
	readonly key: string;
	readonly value: string;
	/** Version that the row must have for the write to apply; 0 for a row that must not exist. */
	version: number;
	readonly resolve: (result: 'written' | 'conflict' | 'unavailable') => void;
};

/** Options of a claim store. */
export type ClaimStoreOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly writer: string;
	/** Minimum pause between the end of a transaction and the start of the next, in ms. */
	readonly minWriteIntervalMs: number;
};

/** Claims idempotency keys and records the outcomes of the claimed requests. */
export class ClaimStore implements Disposable {
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	/** Number of transactions sent. */
	writeCount = 0;
	/** Number of outcomes that are neither written nor abandoned. */
	private settlingCount = 0;
	private pendingWrites: PendingWrite[] = [];
	private isWriting = false;
	private readonly timers = new Set<Disposable>();

	private constructor(private readonly options: ClaimStoreOptions) {}

	/** Whether every outcome has been written or abandoned. */
	get isSettled(): boolean {
		return this.settlingCount === 0;
	}

	/** Cancels all pending delays. Rows whose writes have not been sent stay unchanged in the store. */
	dispose(): void {
		for (const timer of this.timers) {
			timer.dispose();
		}

		this.timers.clear();
	}

	/**
	Claims a key for a request.
	@param key - the key of the claim's row.
	@param claim - the claim to write.
	@returns the granted claim, or the reason why it was not granted.
	*/
	async claim(key: string, claim: Claim): Promise<Outcome<GrantedClaim, ClaimRefusal>> {
		const written = await this.write(key, JSON.stringify(claim), 0);
		if (written === 'written') {
			return ok({key, claim});
		}

		const row = await this.readRow(key);
		if (!row.ok) {
			detach('release of a claim', this.releaseLateClaim(key, claim));
			return row;
		}

		const found = row.value ? parseClaim(row.value) : undefined;
		if (!row.value || !found) {
			detach('release of a claim', this.releaseLateClaim(key, claim));
			return fail({code: 'unavailable', message: 'the claim could not be written'});
		}

		if (isSameClaim(found, claim)) {
			// The write took effect, but the table service's response was lost.
			return ok({key, claim});
		}

		// A request that is known not to have run leaves its key available to the next attempt.
		const isReclaimable = found.state === outcomes.refused && found.fingerprint === claim.fingerprint;
		return isReclaimable ? this.reclaim(key, claim, row.value) : fail({code: 'taken', claim: found});
	}

	/**
	Records the outcome of a claimed request. Retries until the outcome is written or the time allowed has passed; after
	that, readers treat the state of the claim as unknown.
	@param granted - the claim.
	@param state - the outcome of the request.
	@param answer - the answer; stored only if it is small enough.
	@returns whether the outcome, or a known one in place of `unknown`, is stored.
	*/
	async settle(granted: GrantedClaim, state: Claim['state'], answer?: StoredResponse): Promise<boolean> {
		this.settlingCount++;
		try {
			return await this.trySettle(granted, state, answer);
		} finally {
			this.settlingCount--;
		}
	}

	private async trySettle(granted: GrantedClaim, state: Claim['state'], answer?: StoredResponse): Promise<boolean> {
		const isResponseStored = answer && answer.text.length <= maxStoredResponseChars;
		const value = JSON.stringify({...granted.claim, state, ...(isResponseStored && {answer})});
		const giveUpAtMs = this.options.clock.nowMs() + settleTimeoutMs;
		while (this.options.clock.nowMs() < giveUpAtMs) {
			const row = await this.readRow(granted.key);
			const found = row.ok && row.value ? parseClaim(row.value) : undefined;
			if (row.ok && row.value && found && isSameClaim(found, granted.claim)) {
				if (state === outcomes.unknown && found.state !== 'claimed') {
					// A delayed write of `unknown` must not overwrite an outcome that is already known.
					return true;
				}

				const isWritten = row.value.value === value || await this.write(granted.key, value, row.value.version) === 'written';
				if (isWritten) {
					return true;
				}
			} else if (row.ok) {
				// The row is gone, is malformed, or belongs to another request, whose writer found this claim settled.
				return false;
			}

			await this.delay(settleRetryDelayMs);
		}

		return false;
	}

	/** Releases a claim that was not granted but may have been written, since the response to the write was lost. Nothing ran under the claim. */
	private async releaseLateClaim(key: string, claim: Claim): Promise<void> {
		const giveUpAtMs = this.options.clock.nowMs() + settleTimeoutMs;
		while (this.options.clock.nowMs() < giveUpAtMs) {
			await this.delay(releaseCheckIntervalMs);
			const row = await this.readRow(key);
			const found = row.ok && row.value ? parseClaim(row.value) : undefined;
			if (found) {
				await this.settle({key, claim}, outcomes.refused);
				return;
			}
		}
	}

	private async reclaim(key: string, claim: Claim, row: Row): Promise<Outcome<GrantedClaim, ClaimRefusal>> {
		const written = await this.write(key, JSON.stringify(claim), row.version);
		if (written === 'written') {
			return ok({key, claim});
		}

		const current = await this.readRow(key);
		const found = current.ok && current.value ? parseClaim(current.value) : undefined;
		if (!found) {
			return fail({code: 'unavailable', message: 'the claim could not be written'});
		}

		return isSameClaim(found, claim) ? ok({key, claim}) : fail({code: 'taken', claim: found});
	}

	private async readRow(key: string): Promise<Outcome<Row | undefined, ClaimRefusal>> {
		const rows = await this.options.table.read([key]);
		if (rows.ok) {
			return ok(rows.value.at(0));
		}

		return fail({code: 'unavailable', message: rows.error.code === 'unavailable' ? rows.error.message : rows.error.code});
	}

	private async write(key: string, value: string, version: number): Promise<'written' | 'conflict' | 'unavailable'> {
		return new Promise(resolve => {
			this.pendingWrites.push({
				key, value, version, resolve,
			});
			detach('writes of claims', this.writePending());
		});
	}

	/** Keeps one transaction in flight; writes that are queued meanwhile go with the next one. */
	private async writePending(): Promise<void> {
		if (this.isWriting) {
			return;
		}

		this.isWriting = true;
		while (this.pendingWrites.length > 0) {
			const batch = this.takeBatch();
			await this.tryCommit(batch);
			await this.delay(this.options.minWriteIntervalMs);
		}

		this.isWriting = false;
	}

	/** Takes the next batch of writes, at most one for each row: a transaction can't write a row twice. */
	private takeBatch(): PendingWrite[] {
		const keys = new Set<string>();
		const batch: PendingWrite[] = [];
		const remaining: PendingWrite[] = [];
		for (const item of this.pendingWrites) {
			if (batch.length < maxBatchWrites && !keys.has(item.key)) {
				keys.add(item.key);
				batch.push(item);
			} else {
				remaining.push(item);
			}
		}

		this.pendingWrites = remaining;
		return batch;
	}

	private async tryCommit(batch: readonly PendingWrite[]): Promise<void> {
		try {
			await this.commit(batch);
		} catch (error) {
			reportUnexpectedError('writes of claims', error);
			// Has no effect on writes whose result is known.
			resolveAll(batch, 'unavailable');
		}
	}

	private async commit(batch: readonly PendingWrite[]): Promise<void> {
		let remaining = batch;
		while (remaining.length > 0) {
			this.writeCount++;
			const conditions: RowCondition[] = remaining.map(({key, version}) => ({key, version}));
			const writes: RowWrite[] = remaining.map(({key, value}) => ({key, value}));
			const result = await this.options.table.transact({conditions, writes});
			if (result.ok) {
				resolveAll(remaining, 'written');
				return;
			}

			if (result.error.code === 'unavailable') {
				resolveAll(remaining, 'unavailable');
				return;
			}

			// Conflicting rows are dropped from the transaction, so that one claimed key does not delay the others.
			const conflicts = new Set(result.error.keys);
			resolveAll(remaining.filter(item => conflicts.has(item.key)), 'conflict');
			remaining = remaining.filter(item => !conflicts.has(item.key));
		}
	}

	private async delay(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			const timer = this.options.clock.setTimer(delayMs, () => {
				this.timers.delete(timer);
				resolve();
			});
			this.timers.add(timer);
		});
	}
}

function resolveAll(items: readonly PendingWrite[], result: 'written' | 'conflict' | 'unavailable'): void {
	for (const item of items) {
		item.resolve(result);
	}
}

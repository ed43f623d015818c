/**
Claims of requests that run at most once: a row for each key in the table service.
Claims and outcomes of one entry are committed together, one transaction at a time,
so that writes stay within the platform's budget.
*/
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import type {
	Row, RowCondition, RowWrite, TableService,
} from '../../store/common/table-service.js';
import {
	isSameClaim, parseClaim, type Claim, type KeptAnswer,
} from './claim.js';
import {outcomes} from './request-plan.js';

const mostInBatch = 200;
/** Answers up to this size are kept with their claim, so that a repeat gets the same answer. */
const keptAnswerBytes = 16_384;
/** How long an outcome is tried to be written. */
const settleTimeMs = 30_000;
const settleRetryMs = 200;
const releaseCheckMs = 1000;

/** Why a claim was not granted. */
export type ClaimRefusal
	/** The key was used before; this is what became of that request. */
	= | {readonly code: 'taken'; readonly claim: Claim}
		| {readonly code: 'unavailable'; readonly message: string};

/** A claim that was granted, to be settled later. */
export type GrantedClaim = {readonly key: string; readonly claim: Claim};

type Pending = {
	readonly key: string;
	readonly value: string;
	/** Version the row must have. */
	version: number;
	readonly resolve: (result: 'written' | 'conflict' | 'unavailable') => void;
};

/** What the claims of a process need. */
export type ClaimStoreOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly writer: string;
	/** Least time between two transactions. */
	readonly spacingMs: number;
};

/** Makes and settles claims. */
export class ClaimStore implements Disposable {
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	/** Transactions sent. */
	writeCount = 0;
	/** Outcomes that are not written yet. */
	private settling = 0;
	private pending: Pending[] = [];
	private isWriting = false;
	private readonly timers = new Set<Disposable>();

	private constructor(private readonly options: ClaimStoreOptions) {}

	/** Whether every outcome is written, or given up. */
	get isSettled(): boolean {
		return this.settling === 0;
	}

	/** Ends all waits: what was not written stays as it is in the store. */
	dispose(): void {
		for (const timer of this.timers) {
			timer.dispose();
		}

		this.timers.clear();
	}

	/**
	Claims a key for a request.
	@param key - the claim's row.
	@param claim - the request.
	@returns the claim, or why it was not granted.
	*/
	async claim(key: string, claim: Claim): Promise<Outcome<GrantedClaim, ClaimRefusal>> {
		const written = await this.write(key, JSON.stringify(claim), 0);
		if (written === 'written') {
			return ok({key, claim});
		}

		const row = await this.readRow(key);
		if (!row.ok) {
			void this.release(key, claim);
			return row;
		}

		const found = row.value ? parseClaim(row.value) : undefined;
		if (!row.value || !found) {
			void this.release(key, claim);
			return fail({code: 'unavailable', message: 'the claim could not be written'});
		}

		if (isSameClaim(found, claim)) {
			// Our own write took effect; only its answer was lost.
			return ok({key, claim});
		}

		// A request that is known not to have run leaves its key free for the next try.
		const isFree = found.state === outcomes.refused && found.fingerprint === claim.fingerprint;
		return isFree ? this.reclaim(key, claim, row.value) : fail({code: 'taken', claim: found});
	}

	/**
	Records what became of a claimed request. Tries again until it is written or the
	time allowed is over; then readers take the claim's state as unknown.
	@param granted - the claim.
	@param state - how the request ended.
	@param answer - the answer, where it is small enough to be kept.
	*/
	async settle(granted: GrantedClaim, state: Claim['state'], answer?: KeptAnswer): Promise<boolean> {
		this.settling++;
		const isWritten = await this.trySettle(granted, state, answer);
		this.settling--;
		return isWritten;
	}

	private async trySettle(granted: GrantedClaim, state: Claim['state'], answer?: KeptAnswer): Promise<boolean> {
		const isKept = answer && answer.text.length <= keptAnswerBytes;
		const value = JSON.stringify({...granted.claim, state, ...(isKept && {answer})});
		const untilMs = this.options.clock.nowMs() + settleTimeMs;
		while (this.options.clock.nowMs() < untilMs) {
			const row = await this.readRow(granted.key);
			const found = row.ok && row.value ? parseClaim(row.value) : undefined;
			if (row.ok && row.value && found && isSameClaim(found, granted.claim)) {
				if (state === outcomes.unknown && found.state !== 'claimed') {
					// What is known already is not made unknown by a write that was held up.
					return true;
				}

				const isWritten = row.value.value === value || await this.write(granted.key, value, row.value.version) === 'written';
				if (isWritten) {
					return true;
				}
			} else if (row.ok) {
				// Not ours any more; whoever holds it has read ours as settled.
				return false;
			}

			await this.pauseMs(settleRetryMs);
		}

		return false;
	}

	/** A write whose answer was lost may land late: its claim is given back, for nothing ran under it. */
	private async release(key: string, claim: Claim): Promise<void> {
		const untilMs = this.options.clock.nowMs() + settleTimeMs;
		while (this.options.clock.nowMs() < untilMs) {
			await this.pauseMs(releaseCheckMs);
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

		const again = await this.readRow(key);
		const found = again.ok && again.value ? parseClaim(again.value) : undefined;
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
			this.pending.push({
				key, value, version, resolve,
			});
			void this.writePending();
		});
	}

	/** One transaction in the air; what comes meanwhile goes with the next. */
	private async writePending(): Promise<void> {
		if (this.isWriting) {
			return;
		}

		this.isWriting = true;
		while (this.pending.length > 0) {
			const batch = this.takeBatch();
			await this.commit(batch);
			await this.pauseMs(this.options.spacingMs);
		}

		this.isWriting = false;
	}

	/** Two writes of one row can't stand in one transaction. */
	private takeBatch(): Pending[] {
		const keys = new Set<string>();
		const batch: Pending[] = [];
		const left: Pending[] = [];
		for (const item of this.pending) {
			if (batch.length < mostInBatch && !keys.has(item.key)) {
				keys.add(item.key);
				batch.push(item);
			} else {
				left.push(item);
			}
		}

		this.pending = left;
		return batch;
	}

	private async commit(batch: readonly Pending[]): Promise<void> {
		let left = batch;
		while (left.length > 0) {
			this.writeCount++;
			const conditions: RowCondition[] = left.map(({key, version}) => ({key, version}));
			const writes: RowWrite[] = left.map(({key, value}) => ({key, value}));
			const done = await this.options.table.transact({conditions, writes});
			if (done.ok) {
				resolveAll(left, 'written');
				return;
			}

			if (done.error.code === 'unavailable') {
				resolveAll(left, 'unavailable');
				return;
			}

			// One taken key must not hold up the others.
			const conflicts = new Set(done.error.keys);
			resolveAll(left.filter(item => conflicts.has(item.key)), 'conflict');
			left = left.filter(item => !conflicts.has(item.key));
		}
	}

	private async pauseMs(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			const timer = this.options.clock.setTimer(delayMs, () => {
				this.timers.delete(timer);
				resolve();
			});
			this.timers.add(timer);
		});
	}
}

function resolveAll(items: readonly Pending[], result: 'written' | 'conflict' | 'unavailable'): void {
	for (const item of items) {
		item.resolve(result);
	}
}

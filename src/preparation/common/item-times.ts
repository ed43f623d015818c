/** Learns from finished calls how long the items of each step take, so that a pool's capacity is not derived from declared times alone. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {ItemDurations} from './quotes.js';

/** Bounds of the learned duration as a multiple of the declared one. */
const minFactor = 0.05;
const maxFactor = 4;
/**
Share of a call's error that is corrected. With calls that mix three steps and vary by a tenth, the estimates were within 0.1 of the
declared time after 200 calls (0.18 with a share of 0.1), and a larger share only added noise.
*/
const stepSize = 0.2;
/**
Calls that carry less than about this share of a full call teach little: the error of their fixed time would otherwise count
as an error of their few items.
*/
const minSignificantShare = 0.25;

/** Learned duration of the items of each step, as a multiple of the declared duration of an item of its pool. */
export class ItemTimes implements ItemDurations {
	static create(): ItemTimes {
		return new ItemTimes();
	}

	private readonly factors = new Map<string, number>();

	/**
	Returns the duration of one item, in milliseconds: the declared one until calls of the step have finished.
	@param stepKey - the step; undefined for steps without a key, whose items take the declared time.
	@param capacity - capacity of the pool's upstreams.
	*/
	itemMs(stepKey: string | undefined, {itemMs}: BatchCapacity): number {
		return this.factorOf(stepKey) * itemMs;
	}

	/**
	Returns the time of one upstream that a piece takes in full calls, in milliseconds.
	@param stepKey - the step.
	@param capacity - capacity of the pool's upstreams.
	*/
	serverMs(stepKey: string | undefined, capacity: BatchCapacity): number {
		return (capacity.callMs / capacity.batchSize) + this.itemMs(stepKey, capacity);
	}

	/**
	Returns the expected duration of a call, in milliseconds.
	@param counts - number of pieces of each step.
	@param capacity - capacity of the pool's upstreams.
	*/
	expectedCallMs(counts: ReadonlyMap<string | undefined, number>, capacity: BatchCapacity): number {
		let sumMs = capacity.callMs;
		for (const [stepKey, count] of counts) {
			sumMs += count * this.itemMs(stepKey, capacity);
		}

		return sumMs;
	}

	/**
	Learns from a finished call by normalised least mean squares: its error is attributed to its steps in proportion to the declared
	time of their pieces.
	@param counts - number of pieces of each step.
	@param tookMs - duration of the call.
	@param slowness - ratio of actual to expected duration that is typical of the upstream. Above 1, the duration is divided by it, so
	that a slow upstream does not make items appear long.
	@param capacity - capacity of the pool's upstreams.
	*/
	recordCall(counts: ReadonlyMap<string | undefined, number>, tookMs: number, slowness: number, capacity: BatchCapacity): void {
		const declared = [...counts].map(([stepKey, count]) => ({stepKey, declaredMs: count * capacity.itemMs}));
		const declaredMs = declared.reduce((sum, step) => sum + step.declaredMs, 0);
		const errorMs = (tookMs / Math.max(1, slowness)) - this.expectedCallMs(counts, capacity);
		if (!Number.isFinite(errorMs) || !(declaredMs > 0)) {
			return;
		}

		// Bounds what one call that stalled can change.
		const boundedMs = Math.max(-declaredMs, Math.min(declaredMs, errorMs));
		const significantMs = minSignificantShare * capacity.batchSize * capacity.itemMs;
		const power = declared.reduce((sum, step) => sum + (step.declaredMs ** 2), significantMs ** 2);
		for (const {stepKey, declaredMs: stepMs} of declared) {
			if (stepKey !== undefined) {
				const factor = this.factorOf(stepKey) + (stepSize * boundedMs * stepMs / power);
				this.factors.set(stepKey, Math.max(minFactor, Math.min(maxFactor, factor)));
			}
		}
	}

	private factorOf(stepKey: string | undefined): number {
		return stepKey === undefined ? 1 : this.factors.get(stepKey) ?? 1;
	}
}

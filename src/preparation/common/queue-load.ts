/** Sums the queued work of a pool by rank, workspace and lateness. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import type {CallTimes} from './call-times.js';
import {isLate} from './piece-order.js';
import type {QueueLoad} from './quotes.js';
import type {BatchWork} from './work.js';

/** What the upstream time and the space of a piece depend on. */
export type LoadFactors = {
	/** Must count upstream time. */
	readonly times: CallTimes;
	readonly capacity: BatchCapacity;
	/** Average time for which a result uses space. */
	readonly meanHoldMs: number;
};

type LoadSum = {-readonly [Key in keyof QueueLoad]: QueueLoad[Key]};

/**
Returns the load of a queue, with one entry for each combination of rank, workspace and lateness that occurs.
@param pieces - the queued pieces.
@param factors - what the upstream time and the space of a piece depend on.
@param nowMs - the current time.
*/
export function queueLoadOf(pieces: readonly BatchPiece[], {times, capacity, meanHoldMs}: LoadFactors, nowMs: number): QueueLoad[] {
	// All pieces of a work have the same load, and a work may have thousands.
	const counts = new Map<BatchWork, {readonly item: BatchPiece; count: number}>();
	for (const item of pieces) {
		const counted = counts.get(item.work);
		if (counted) {
			counted.count++;
		} else {
			counts.set(item.work, {item, count: 1});
		}
	}

	const loads = new Map<string, LoadSum>();
	for (const [work, {item, count}] of counts) {
		const {rank, workspace = '', resultBytes} = work;
		const late = isLate(work, nowMs);
		const key = `${rank} ${late} ${workspace}`;
		let load = loads.get(key);
		if (!load) {
			load = {
				rank, workspace, serverMs: 0, spaceMs: 0, isLate: late,
			};
			loads.set(key, load);
		}

		load.serverMs += count * times.amountOf(item, capacity);
		load.spaceMs += capacity.roomBytes > 0 ? count * meanHoldMs * resultBytes / capacity.roomBytes : 0;
	}

	return [...loads.values()];
}

/** Sums the queued work of a pool by rank, workspace and lateness. */
import type {BatchCapacity} from '../../deployment/common/declaration.js';
import type {BatchPiece} from './batch-call.js';
import type {CallTimes} from './call-times.js';
import {isLate} from './piece-order.js';
import type {QueueLoad} from './quotes.js';

/** What the upstream time and the space of a piece depend on. */
export type LoadFactors = {
	/** Must count upstream time. */
	readonly times: CallTimes;
	readonly capacity: BatchCapacity;
	/** Average time for which a result uses space. */
	readonly meanHoldMs: number;
};

/**
Returns the load of a queue, with one entry for each combination of rank, workspace and lateness that occurs.
@param pieces - the queued pieces.
@param factors - what the upstream time and the space of a piece depend on.
@param nowMs - the current time.
*/
export function queueLoadOf(pieces: readonly BatchPiece[], {times, capacity, meanHoldMs}: LoadFactors, nowMs: number): QueueLoad[] {
	const loads = new Map<string, {rank: number; workspace: string; serverMs: number; spaceMs: number; isLate: boolean}>();
	for (const item of pieces) {
		const {rank, workspace = '', resultBytes} = item.work;
		const late = isLate(item.work, nowMs);
		const key = `${rank} ${late} ${workspace}`;
		let load = loads.get(key);
		if (!load) {
			load = {
				rank, workspace, serverMs: 0, spaceMs: 0, isLate: late,
			};
			loads.set(key, load);
		}

		load.serverMs += times.amountOf(item, capacity);
		load.spaceMs += capacity.roomBytes > 0 ? meanHoldMs * resultBytes / capacity.roomBytes : 0;
	}

	return [...loads.values()];
}

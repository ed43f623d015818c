/** Compares the sends that hosts repeated with what all of them together may repeat. */
import type {RepeatBounds} from '../../src/routing/common/windowed-budget.js';

/** Times at which callers sent the requests of a pool, and at which sends of them arrived at its servers. */
export type SendRecord = {
	readonly requestedMs: readonly number[];
	readonly arrivals: ReadonlyArray<{readonly id: string; readonly atMs: number}>;
};

/** The window in which the repeats exceed the bound most, or come closest to it. */
export type WorstWindow = {readonly repeats: number; readonly allowed: number};

/**
Finds the worst window. Each arrival of a request after its first is a repeat. The requests of a window are those of the window, of the one before or of the
one half a window before, whichever are most.
@param record - requests and arrivals.
@param bounds - the bounds on all hosts together.
*/
export function worstWindowOf({requestedMs, arrivals}: SendRecord, {ratio, slack, windowMs}: RepeatBounds): WorstWindow {
	const seen = new Set<string>();
	const repeatsMs: number[] = [];
	for (const {id, atMs} of arrivals.toSorted((left, right) => left.atMs - right.atMs)) {
		if (seen.has(id)) {
			repeatsMs.push(atMs);
		}

		seen.add(id);
	}

	const countIn = (times: readonly number[], endMs: number) => times.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length;
	let worst: WorstWindow = {repeats: 0, allowed: slack};
	for (const endMs of repeatsMs) {
		const repeats = countIn(repeatsMs, endMs);
		const requests = Math.max(...[0, windowMs / 2, windowMs].map(agoMs => countIn(requestedMs, endMs - agoMs)));
		const allowed = (ratio * requests) + slack;
		if (repeats - allowed > worst.repeats - worst.allowed) {
			worst = {repeats, allowed};
		}
	}

	return worst;
}

/** The budget of pieces that are sent again. */
import type {RepeatBudgets} from '../../routing/common/repeat-budgets.js';

/** What a scheduler may send again. */
export type PieceRepeats = {
	/**
	Returns how many repeats may be sent now.
	@param wanted - number of repeats that wait.
	@param nowMs - the current time.
	*/
	available(wanted: number, nowMs: number): number;
	/**
	Takes repeats that are available from the budget.
	@param count - number of repeats that are sent.
	@param nowMs - the current time.
	*/
	take(count: number, nowMs: number): void;
};

export const unlimitedRepeats: PieceRepeats = {available: () => Infinity, take: () => undefined};

/**
Returns the budget of the pieces of a pool.
@param budgets - the budgets of this host.
@param pool - the pool.
*/
export function pieceRepeatsOf(budgets: Pick<RepeatBudgets, 'available' | 'tryWithdraw' | 'reportSent'>, pool: string): PieceRepeats {
	return {
		available: (wanted, nowMs) => budgets.available(pool, nowMs, wanted),
		take(count, nowMs) {
			if (count > 0 && budgets.tryWithdraw(pool, nowMs, count)) {
				budgets.reportSent(pool, 'piece', count);
			}
		},
	};
}

/** The budgets of repeated sends of one host, one for each pool, with what operators see of them. */
import type {InjectionToken} from 'tsyringe';
import type {Logger} from '../../base/common/logger.js';
import type {Metrics} from '../../base/common/metrics.js';
import type {SlackShare} from './slack-share.js';
import {usedShare, WindowedBudget, type RepeatBounds} from './windowed-budget.js';

/** Minimum time between two log lines about declined repeats to one pool. */
const logIntervalMs = 1000;

export const repeatBudgetsToken: InjectionToken<RepeatBudgets> = Symbol('RepeatBudgets');

/** Dependencies and bounds. */
export type RepeatBudgetsOptions = {
	/** Bounds on all hosts together. */
	readonly bounds: RepeatBounds;
	/** This host's part of the slack. */
	readonly slack: SlackShare;
	readonly log: Logger;
	readonly metrics: Metrics;
};

/** Counts first sends and repeats, and decides which repeats may be sent. */
export class RepeatBudgets {
	/**
	Creates the budgets; that of a pool starts empty.
	@param options - dependencies and bounds.
	*/
	static create(options: RepeatBudgetsOptions): RepeatBudgets {
		return new RepeatBudgets(options);
	}

	private readonly budgets = new Map<string, WindowedBudget>();
	private readonly lastLoggedMs = new Map<string, number>();

	private constructor(private readonly options: RepeatBudgetsOptions) {}

	/**
	Records first sends, which allow repeats.
	@param pool - the pool.
	@param nowMs - the current time.
	@param count - the number of sends.
	*/
	countFirstSends(pool: string, nowMs: number, count = 1): void {
		this.budgetOf(pool).countFirstSends(nowMs, count);
	}

	/**
	Takes repeats from the budget of a pool if it has enough.
	@param pool - the pool.
	@param nowMs - the current time.
	@param count - the number of repeats to send together.
	@returns whether they may be sent.
	*/
	tryWithdraw(pool: string, nowMs: number, count = 1): boolean {
		const budget = this.budgetOf(pool);
		const isAllowed = budget.tryWithdraw(nowMs, count);
		if (!isAllowed) {
			this.reportDeclined(pool, budget, nowMs, count);
		}

		return isAllowed;
	}

	/**
	Returns how many repeats the budget of a pool allows now.
	@param pool - the pool.
	@param nowMs - the current time.
	@param wanted - the number of repeats that wait for the budget; logged if there are not enough.
	*/
	available(pool: string, nowMs: number, wanted: number): number {
		const budget = this.budgetOf(pool);
		const {repeats, allowed} = budget.describe(nowMs);
		const available = Math.max(0, Math.floor(allowed - repeats));
		if (available < wanted) {
			this.logSpent(pool, budget, nowMs);
		}

		return available;
	}

	/**
	Counts repeats that are sent, for operators.
	@param pool - the pool.
	@param kind - why they are sent again.
	@param count - the number of sends.
	*/
	reportSent(pool: string, kind: string, count = 1): void {
		this.options.metrics.increment('repeats.sent', count, {pool, kind});
	}

	private reportDeclined(pool: string, budget: WindowedBudget, nowMs: number, count: number): void {
		this.options.metrics.increment('repeats.declined', count, {pool});
		this.logSpent(pool, budget, nowMs);
	}

	private logSpent(pool: string, budget: WindowedBudget, nowMs: number): void {
		if (nowMs - (this.lastLoggedMs.get(pool) ?? -Infinity) >= logIntervalMs) {
			this.lastLoggedMs.set(pool, nowMs);
			const {repeats, firstSends, allowed, slack} = budget.describe(nowMs);
			this.options.log.info('The budget of repeated sends to a pool is spent.', {
				pool, repeats, firstSends, allowed: Math.floor(allowed), slack: Math.floor(slack),
			});
		}
	}

	private budgetOf(pool: string): WindowedBudget {
		let budget = this.budgets.get(pool);
		if (!budget) {
			const {bounds, slack} = this.options;
			budget = WindowedBudget.create(bounds, {partAt: nowMs => slack.partOf(pool, usedShare * bounds.slack, nowMs), fromMs: slack.usableFromMs(bounds.windowMs)});
			this.budgets.set(pool, budget);
		}

		return budget;
	}
}

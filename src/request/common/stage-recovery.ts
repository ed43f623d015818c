/** What follows once an attempt of a stage has ended without the result, and no other is under way. */
import {failureCodes, type FailureCode} from './request-plan.js';

/** What decides. */
export type RecoveryFacts = {
	/** What is told where nothing more is tried. */
	readonly code: FailureCode;
	readonly message: string;
	/** Whether the last attempt is known not to have run. */
	readonly isNotRun: boolean;
	/** Whether an attempt that was not run costs nothing. */
	readonly areRefusalsFree: boolean;
	readonly isRepeatable: boolean;
	/** Whether the request's answer is settled, so that a lost attempt is not made up for. */
	readonly isOver: boolean;
	/** Whether the end of any attempt is not known. */
	readonly hasUnknown: boolean;
	/** Whether there were as many attempts as there may be. */
	readonly areSpent: boolean;
	/** Whether it is too late to start on an upstream. */
	readonly isTooLate: boolean;
	/** Asks for a share of the retry budget; asked last, since asking spends it. */
	readonly mayRetry: () => boolean;
};

/** Another attempt, or why there is none. */
export type Recovery
	= | {readonly type: 'again'}
		| {readonly type: 'failed'; readonly code: FailureCode; readonly message: string};

/**
Decides whether there is another attempt.
@param facts - what decides.
*/
export function decideRecovery(facts: RecoveryFacts): Recovery {
	const {code, message, isNotRun} = facts;
	const spentCode = isNotRun ? failureCodes.overloaded : failureCodes.attemptsExhausted;
	if (facts.isOver) {
		return failed(code, message);
	}

	if (!isNotRun && !facts.isRepeatable) {
		return failed(facts.hasUnknown ? failureCodes.resultUnknown : code, message);
	}

	if (facts.areSpent) {
		return failed(spentCode, message);
	}

	if (facts.isTooLate) {
		return failed(failureCodes.deadlineExceeded, message);
	}

	const isFree = isNotRun && facts.areRefusalsFree;
	return isFree || facts.mayRetry()
		? {type: 'again'}
		: failed(spentCode, `${message}; the retry budget is spent`);
}

function failed(code: FailureCode, message: string): Recovery {
	return {type: 'failed', code, message};
}

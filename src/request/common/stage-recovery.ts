/** Decides whether another attempt at a stage is made when no live one is known to be working. */
import {failureCodes, type FailureCode} from './request-plan.js';

/** The facts on which the decision depends. */
export type RecoveryFacts = {
	/** The failure to report if there is no further attempt. */
	readonly code: FailureCode;
	readonly message: string;
	/** Whether the last attempt is known not to have run. */
	readonly isNotRun: boolean;
	/** Whether retrying an attempt that did not run is not charged to the retry budget. */
	readonly areRefusalsFree: boolean;
	readonly isRepeatable: boolean;
	/** Whether the answer to the request is already final, so that a lost attempt is not replaced. */
	readonly isRecoveryStopped: boolean;
	/** Whether the result of any ended attempt is unknown. */
	readonly hasUnknown: boolean;
	/** Whether the maximum number of attempts or refusals has been reached. */
	readonly areAttemptsExhausted: boolean;
	/** Whether it is too late to start on an upstream. */
	readonly isTooLate: boolean;
	/** Takes one retry from the retry budget if there is one left; called last, since a successful call spends it. */
	readonly mayRetry: () => boolean;
};

/** Another attempt, or the reason why there is none. */
export type Recovery
	= | {readonly type: 'again'}
		| {readonly type: 'failed'; readonly code: FailureCode; readonly message: string; /** Whether the budget may allow another attempt later. */ readonly isTemporary: boolean};

/**
Decides whether another attempt is made.
@param facts - the facts on which the decision depends.
@returns another attempt, or the failure to report.
*/
export function decideRecovery(facts: RecoveryFacts): Recovery {
	const {code, message, isNotRun} = facts;
	const exhaustedCode = isNotRun ? failureCodes.overloaded : failureCodes.attemptsExhausted;
	if (facts.isRecoveryStopped) {
		return failed(code, message);
	}

	if (!isNotRun && !facts.isRepeatable) {
		return failed(facts.hasUnknown ? failureCodes.resultUnknown : code, message);
	}

	if (facts.areAttemptsExhausted) {
		return failed(exhaustedCode, message);
	}

	if (facts.isTooLate) {
		return failed(failureCodes.deadlineExceeded, message);
	}

	const isFree = isNotRun && facts.areRefusalsFree;
	return isFree || facts.mayRetry()
		? {type: 'again'}
		: failed(exhaustedCode, `${message}; the retry budget is spent`, true);
}

function failed(code: FailureCode, message: string, isTemporary = false): Recovery {
	return {
		type: 'failed', code, message, isTemporary,
	};
}

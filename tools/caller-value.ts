/**
What a run was worth to callers, summed from the log lines of all hosts. Credit counts from a caller's first try;
waiting that ends unserved is charged by its length, without steps; a second try that fails is charged like a second
refusal. What never reached a host is not in its logs, and so not in the sum.
*/
import {numberOf, textOf, type LogLine} from '../src/cli/common/log-lines.js';
import {isFinal, judge, verdicts} from '../src/cli/common/verdicts.js';
import {requestLogMessages} from '../src/request/common/request-log-messages.js';

/** What requests with one target are worth. */
export type RequestValue = {readonly targetMs: number; readonly inTime: number; readonly late: number};

/** The parts of a sum, in the unit of the worths. */
export type CallerValue = {
	/** What first tries could have earned. */
	readonly owed: number;
	readonly credit: number;
	readonly waited: number;
	readonly failedAgain: number;
	/** Credit less charges, as a share of what was owed. */
	readonly share: number;
};

/** Waiting up to this part of the target is free: a caller that is refused at once has lost nothing. */
const freeWaitShare = 0.125;
/** Waiting this part of the target and ending unserved costs all that the request was worth, less the share below. */
const fullChargeWaitShare = 0.75;
/** What unserved waiting of full length costs, as a share of what the request was worth. */
const maxWaitCostShare = 0.1;
/** What a try costs that came back and was not served either. */
const failedRetryCostShare = 0.3;
/** Clocks of callers and the way here: a try that began less than this ago is a first one. */
const maxFirstTryAgeMs = 150;

/**
Sums what callers got.
@param lines - of all hosts.
@param requestValues - by target; requests with another target count for nothing.
*/
export function sumCallerValue(lines: readonly LogLine[], requestValues: readonly RequestValue[]): CallerValue {
	const sum = {
		owed: 0, credit: 0, waited: 0, failedAgain: 0,
	};
	for (const line of lines) {
		const worth = requestValues.find(({targetMs}) => targetMs === numberOf(line, 'targetMs'));
		if (worth && isFinal(line)) {
			addRequest(sum, line, worth);
		}
	}

	const value = sum.credit - sum.waited - sum.failedAgain;
	return {...sum, share: sum.owed === 0 ? 0 : value / sum.owed};
}

function addRequest(sum: {owed: number; credit: number; waited: number; failedAgain: number}, line: LogLine, worth: RequestValue): void {
	const sinceFirstTryMs = numberOf(line, 'sinceFirstTryMs');
	const isFirst = sinceFirstTryMs < maxFirstTryAgeMs;
	const {verdict} = judge(line, []);
	sum.owed += isFirst ? worth.inTime : 0;
	if (verdict === verdicts.served || verdict === verdicts.late) {
		const answeredMs = sinceFirstTryMs + (numberOf(line, 'firstMs') || numberOf(line, 'tookMs'));
		sum.credit += answeredMs <= worth.targetMs ? worth.inTime : worth.late;
		return;
	}

	sum.failedAgain += isFirst ? 0 : failedRetryCostShare * worth.inTime;
	if (!wasSentToUpstream(line)) {
		sum.waited += maxWaitCostShare * worth.inTime * chargedWaitShare(numberOf(line, 'tookMs') / worth.targetMs);
	}
}

/** Whether an upstream was asked to run the request itself: time there is not waiting. */
function wasSentToUpstream(line: LogLine): boolean {
	return line.message === requestLogMessages.ended && textOf(line, 'attempts') !== '';
}

function chargedWaitShare(waitInTargets: number): number {
	return Math.min(1, Math.max(0, (waitInTargets - freeWaitShare) / (fullChargeWaitShare - freeWaitShare)));
}

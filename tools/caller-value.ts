/**
Computes the value of a run to its callers from the log lines of all hosts. The time to an answer counts from the caller's
first try. A wait that ends without service is charged by its length, linearly between two bounds; a repeated try that fails is
charged like a second refusal. Requests that never reached a host are in no log, and so not in the sum.
*/
import {numberOf, textOf, type LogLine} from '../src/cli/common/log-lines.js';
import {isFinal, verdictOf, verdicts} from '../src/cli/common/verdicts.js';
import {requestLogMessages} from '../src/request/common/request-log-messages.js';

/** Value of a request with a certain target time: if it is answered in time, and if it is answered late. */
export type RequestValue = {readonly targetMs: number; readonly inTime: number; readonly late: number};

/** The parts of the sum, in the unit of the request values. */
export type CallerValue = {
	/** Maximum credit: the value of all first tries if they had been answered in time. */
	readonly owed: number;
	readonly credit: number;
	readonly waited: number;
	readonly failedAgain: number;
	/** Credit less charges, as a share of the maximum credit. */
	readonly share: number;
};

/** Waiting up to this share of the target is not charged, because a caller that is refused immediately has lost nothing. */
const freeWaitShare = 0.125;
/** Waiting for this share of the target or longer, without being served, is charged in full, by the share below. */
const fullChargeWaitShare = 0.75;
/** Full charge for waiting without being served, as a share of the value of the request. */
const maxWaitCostShare = 0.1;
/** Charge for a repeated try that is not served either, as a share of the value of the request. */
const failedRetryCostShare = 0.3;
/** A try that begins less than this after the first one counts as the first one itself; this allows for differences between the callers' clocks and for network latency. */
const maxFirstTryAgeMs = 150;

/**
Sums the value to callers.
@param lines - log lines of all hosts.
@param requestValues - request values by target; requests with any other target are ignored.
@returns the sum and its parts.
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
	const {verdict} = verdictOf(line, []);
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

/** Whether the request itself was sent to an upstream; time spent there is not charged as waiting. */
function wasSentToUpstream(line: LogLine): boolean {
	return line.message === requestLogMessages.ended && textOf(line, 'attempts') !== '';
}

function chargedWaitShare(waitInTargets: number): number {
	return Math.min(1, Math.max(0, (waitInTargets - freeWaitShare) / (fullChargeWaitShare - freeWaitShare)));
}

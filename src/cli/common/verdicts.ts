/** What became of a request, judged by the last line of its own; the messages named here are those the parts write. */
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {numberOf, textOf, type LogLine} from './log-lines.js';

/** What became of a request. */
export const verdicts = {
	served: 'served',
	late: 'late',
	refused: 'refused',
	cut: 'cut',
	failed: 'failed',
	callerLeft: 'callerLeft',
	unknown: 'unknown',
} as const;
export type Verdict = typeof verdicts[keyof typeof verdicts];

/** A verdict, and why. */
export type RequestVerdict = {readonly verdict: Verdict; readonly cause: string};

const {ended, refusedAtDoor: refusedForPredictedWait, turnedAway: refusedOnAdmission, poolWaits: poolBacklog} = requestLogMessages;
/** Statuses from here on are failures of the upstream. */
const minServerErrorStatus = 500;

/** Whether a line says what became of a request. */
export function isFinal({message}: LogLine): boolean {
	return message === ended || message === refusedForPredictedWait || message === refusedOnAdmission;
}

/**
Judges a request by its last line.
@param last - the line.
@param around - lines of the same seconds.
*/
export function verdictOf(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	switch (last.message) {
		case refusedForPredictedWait: {
			const prediction = `reckoned at ${textOf(last, 'predictedMs')} ms of ${textOf(last, 'targetMs')} ms`;
			const retryAdvice = `told to come back in ${textOf(last, 'retryAfterMs')} ms`;
			return {verdict: verdicts.refused, cause: `the queues of its steps: ${prediction}; ${retryAdvice}${describeLongestQueue(around)}`};
		}

		case refusedOnAdmission: {
			const declaration = `declaration ${textOf(last, 'version') || 'none'}`;
			return {verdict: verdicts.refused, cause: `${textOf(last, 'reason')} (status ${textOf(last, 'status')}, ${declaration})`};
		}

		default: {
			return verdictOfEnded(last, around);
		}
	}
}

/** Judges a request that was let in. */
function verdictOfEnded(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	if (textOf(last, 'code') === 'callerGone') {
		return {verdict: verdicts.callerLeft, cause: `its caller left after ${textOf(last, 'tookMs')} ms, ${describeTimeSplit(last)}${describeLongestQueue(around)}`};
	}

	const cause = `${textOf(last, 'reason')}; ${textOf(last, 'attempts') || 'nothing was sent'}`;
	switch (textOf(last, 'outcome')) {
		case 'completed': {
			return verdictOfCompleted(last, around);
		}

		case 'refused': {
			return {verdict: verdicts.refused, cause};
		}

		default: {
			const isTruncated = numberOf(last, 'firstMs') > 0;
			return {verdict: isTruncated ? verdicts.cut : verdicts.failed, cause};
		}
	}
}

/** Judges a request whose answer has come whole: it may be late, or an upstream's own error. */
function verdictOfCompleted(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	const attempts = textOf(last, 'attempts');
	const status = numberOf(last, 'status');
	if (status >= minServerErrorStatus) {
		return {verdict: verdicts.failed, cause: `the upstream's own answer was ${status}: ${attempts}`};
	}

	const responseTimeMs = responseTimeOf(last);
	const targetMs = numberOf(last, 'targetMs');
	return targetMs > 0 && responseTimeMs > targetMs
		? {verdict: verdicts.late, cause: `${responseTimeMs} ms of a target of ${targetMs} ms, ${describeTimeSplit(last)}${describeLongestQueue(around)}`}
		: {verdict: verdicts.served, cause: `served within its target: ${attempts}`};
}

/** Time to the first event, or to the end where the answer has no events. */
function responseTimeOf(line: LogLine): number {
	return numberOf(line, 'firstMs') || numberOf(line, 'tookMs');
}

/** The longest part of a request's time. */
function describeTimeSplit(line: LogLine): string {
	const preparedMs = numberOf(line, 'preparedMs');
	const upstreamMs = responseTimeOf(line) - preparedMs;
	return preparedMs > upstreamMs
		? `most of it for its steps (${preparedMs} ms; ${upstreamMs} ms for the upstream)`
		: `most of it for the upstream (${upstreamMs} ms; ${preparedMs} ms for its steps)`;
}

/** The queue that stood longest around a request, where one stood. */
function describeLongestQueue(around: readonly LogLine[]): string {
	const [longest] = around
		.filter(({message}) => message === poolBacklog)
		.toSorted((left, right) => numberOf(right, 'oldestMs') - numberOf(left, 'oldestMs'));
	if (!longest || numberOf(longest, 'oldestMs') <= 0) {
		return '';
	}

	const waiting = `${textOf(longest, 'waiting')} pieces waiting before ${textOf(longest, 'servers')} servers`;
	return `; pool ${textOf(longest, 'pool')} had ${waiting}, the oldest for ${textOf(longest, 'oldestMs')} ms`;
}

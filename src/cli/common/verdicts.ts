/** Determines the outcome of a request from its last log line, which is recognized by the messages that the components log. */
import {chainRefusals} from '../../preparation/common/chain-admission.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {numberOf, textOf, type LogLine} from './log-lines.js';

/** Possible outcomes of a request. */
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

/** A verdict with its cause. */
export type RequestVerdict = {readonly verdict: Verdict; readonly cause: string};

const {ended, refusedForPredictedWait, refusedByQuotes, refusedOnAdmission, poolBacklog} = requestLogMessages;
/** Lowest HTTP status that counts as a failure of the upstream. */
const minServerErrorStatus = 500;

/** Checks whether a line states the outcome of a request. */
export function isFinal({message}: LogLine): boolean {
	return message === ended || message === refusedForPredictedWait || message === refusedByQuotes || message === refusedOnAdmission;
}

/**
Determines the verdict on a request from its last log line.
@param last - the last line of the request.
@param around - log lines from around the request, among which the longest queue is found.
@returns the verdict with its cause.
*/
export function verdictOf(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	switch (last.message) {
		case refusedForPredictedWait: {
			const prediction = `predicted ${textOf(last, 'predictedMs')} ms of a target of ${textOf(last, 'targetMs')} ms`;
			const retryAdvice = `the caller was asked to retry after ${textOf(last, 'retryAfterMs')} ms`;
			return {verdict: verdicts.refused, cause: `the queues of its steps were too long: ${prediction}; ${retryAdvice}${describeLongestQueue(around)}`};
		}

		case refusedByQuotes: {
			return {verdict: verdicts.refused, cause: describeQuotes(last) + describeLongestQueue(around)};
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

/** Describes why the quotes of the pools did not allow a request, and what its caller was told. */
function describeQuotes(line: LogLine): string {
	const pool = `pool ${textOf(line, 'pool')}`;
	const latePredictedMs = textOf(line, 'latePredictedMs');
	const late = latePredictedMs === '' ? 'there was no spare capacity to serve it late' : `behind all other work ${latePredictedMs} ms, too late for its caller`;
	const cause = textOf(line, 'reason') === chainRefusals.noCapacity ? `demand for ${pool} was above its capacity` : `the queue of ${pool} was too long`;
	const sender = `workspace ${textOf(line, 'workspace') || 'none'}, rank ${textOf(line, 'rank')}`;
	const retryAdvice = `the caller was asked to retry after ${textOf(line, 'retryAfterMs')} ms`;
	return `${cause}: predicted ${textOf(line, 'predictedMs')} ms of a target of ${textOf(line, 'targetMs')} ms, ${late}; ${sender}; ${retryAdvice}`;
}

/** Describes that a request was admitted although it was predicted to miss its target; empty for all others. */
function describeLateAdmission(line: LogLine): string {
	const latePredictedMs = textOf(line, 'latePredictedMs');
	return latePredictedMs === '' ? '' : `; it was admitted behind all other work, predicted ${latePredictedMs} ms`;
}

/** Determines the verdict on a request that was admitted. */
function verdictOfEnded(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	if (textOf(last, 'code') === 'callerGone') {
		const cause = `its caller disconnected after ${textOf(last, 'tookMs')} ms, ${describeTimeSplit(last)}`;
		return {verdict: verdicts.callerLeft, cause: cause + describeLateAdmission(last) + describeLongestQueue(around)};
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

/** Determines the verdict on a request with a complete response, which may be late or an error of the upstream. */
function verdictOfCompleted(last: LogLine, around: readonly LogLine[]): RequestVerdict {
	const attempts = textOf(last, 'attempts');
	const status = numberOf(last, 'status');
	if (status >= minServerErrorStatus) {
		return {verdict: verdicts.failed, cause: `the upstream responded with status ${status}: ${attempts}`};
	}

	const responseTimeMs = responseTimeOf(last);
	const targetMs = numberOf(last, 'targetMs');
	return targetMs > 0 && responseTimeMs > targetMs
		? {verdict: verdicts.late, cause: `${responseTimeMs} ms of a target of ${targetMs} ms, ${describeTimeSplit(last)}${describeLateAdmission(last)}${describeLongestQueue(around)}`}
		: {verdict: verdicts.served, cause: `served within its target: ${attempts}`};
}

/** Time in milliseconds to the first event of the response, or to its end if it has no events. */
function responseTimeOf(line: LogLine): number {
	return numberOf(line, 'firstMs') || numberOf(line, 'tookMs');
}

/** Describes which part of the response time was longer: that of the steps or that of the upstream. */
function describeTimeSplit(line: LogLine): string {
	const preparedMs = numberOf(line, 'preparedMs');
	const upstreamMs = responseTimeOf(line) - preparedMs;
	return preparedMs > upstreamMs
		? `most of it for its steps (${preparedMs} ms; ${upstreamMs} ms for the upstream)`
		: `most of it for the upstream (${upstreamMs} ms; ${preparedMs} ms for its steps)`;
}

/** Describes the queue with the longest wait around a request, or returns an empty string if no pieces were waiting. */
function describeLongestQueue(around: readonly LogLine[]): string {
	const [longest] = around
		.filter(({message}) => message === poolBacklog)
		.toSorted((left, right) => numberOf(right, 'oldestMs') - numberOf(left, 'oldestMs'));
	if (!longest || numberOf(longest, 'oldestMs') <= 0) {
		return '';
	}

	const waiting = `${textOf(longest, 'waiting')} pieces waiting for ${textOf(longest, 'servers')} servers`;
	return `; pool ${textOf(longest, 'pool')} had ${waiting}, the oldest for ${textOf(longest, 'oldestMs')} ms`;
}

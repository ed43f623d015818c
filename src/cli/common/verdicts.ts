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
export type Judgement = {readonly verdict: Verdict; readonly cause: string};

const {ended, refusedForPredictedWait: refusedAtDoor, refusedOnAdmission: turnedAway, poolBacklog: poolWaits} = requestLogMessages;
/** Statuses from here on are failures of the upstream. */
const firstServerError = 500;

/** Whether a line says what became of a request. */
export function isFinal({message}: LogLine): boolean {
	return message === ended || message === refusedAtDoor || message === turnedAway;
}

/**
Judges a request by its last line.
@param last - the line.
@param around - lines of the same seconds.
*/
export function judge(last: LogLine, around: readonly LogLine[]): Judgement {
	switch (last.message) {
		case refusedAtDoor: {
			const reckoned = `reckoned at ${textOf(last, 'predictedMs')} ms of ${textOf(last, 'targetMs')} ms`;
			const comeBack = `told to come back in ${textOf(last, 'retryAfterMs')} ms`;
			return {verdict: verdicts.refused, cause: `the queues of its steps: ${reckoned}; ${comeBack}${worstWait(around)}`};
		}

		case turnedAway: {
			const declaration = `declaration ${textOf(last, 'version') || 'none'}`;
			return {verdict: verdicts.refused, cause: `${textOf(last, 'reason')} (status ${textOf(last, 'status')}, ${declaration})`};
		}

		default: {
			return judgeEnd(last, around);
		}
	}
}

/** Judges a request that was let in. */
function judgeEnd(last: LogLine, around: readonly LogLine[]): Judgement {
	if (textOf(last, 'code') === 'callerGone') {
		return {verdict: verdicts.callerLeft, cause: `its caller left after ${textOf(last, 'tookMs')} ms, ${whereTimeWent(last)}${worstWait(around)}`};
	}

	const cause = `${textOf(last, 'reason')}; ${textOf(last, 'attempts') || 'nothing was sent'}`;
	switch (textOf(last, 'outcome')) {
		case 'completed': {
			return judgeCompleted(last, around);
		}

		case 'refused': {
			return {verdict: verdicts.refused, cause};
		}

		default: {
			const isCut = numberOf(last, 'firstMs') > 0;
			return {verdict: isCut ? verdicts.cut : verdicts.failed, cause};
		}
	}
}

/** Judges a request whose answer has come whole: it may be late, or an upstream's own error. */
function judgeCompleted(last: LogLine, around: readonly LogLine[]): Judgement {
	const attempts = textOf(last, 'attempts');
	const status = numberOf(last, 'status');
	if (status >= firstServerError) {
		return {verdict: verdicts.failed, cause: `the upstream's own answer was ${status}: ${attempts}`};
	}

	const answeredMs = answeredAfterMs(last);
	const targetMs = numberOf(last, 'targetMs');
	return targetMs > 0 && answeredMs > targetMs
		? {verdict: verdicts.late, cause: `${answeredMs} ms of a target of ${targetMs} ms, ${whereTimeWent(last)}${worstWait(around)}`}
		: {verdict: verdicts.served, cause: `served within its target: ${attempts}`};
}

/** Time to the first event, or to the end where the answer has no events. */
function answeredAfterMs(line: LogLine): number {
	return numberOf(line, 'firstMs') || numberOf(line, 'tookMs');
}

/** The longest part of a request's time. */
function whereTimeWent(line: LogLine): string {
	const preparedMs = numberOf(line, 'preparedMs');
	const upstreamMs = answeredAfterMs(line) - preparedMs;
	return preparedMs > upstreamMs
		? `most of it for its steps (${preparedMs} ms; ${upstreamMs} ms for the upstream)`
		: `most of it for the upstream (${upstreamMs} ms; ${preparedMs} ms for its steps)`;
}

/** The queue that stood longest around a request, where one stood. */
function worstWait(around: readonly LogLine[]): string {
	const [worst] = around
		.filter(({message}) => message === poolWaits)
		.toSorted((left, right) => numberOf(right, 'oldestMs') - numberOf(left, 'oldestMs'));
	if (!worst || numberOf(worst, 'oldestMs') <= 0) {
		return '';
	}

	const waiting = `${textOf(worst, 'waiting')} pieces waiting before ${textOf(worst, 'servers')} servers`;
	return `; pool ${textOf(worst, 'pool')} had ${waiting}, the oldest for ${textOf(worst, 'oldestMs')} ms`;
}

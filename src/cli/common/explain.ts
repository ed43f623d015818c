/** From log lines to the cause of what became of a request; the messages named here are those the parts write. */
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

/** A request's story. */
export type Explanation = {
	readonly requestId: string;
	readonly verdict: Verdict;
	readonly cause: string;
	/** Its own lines, in order. */
	readonly lines: readonly LogLine[];
	/** Lines of the same seconds that tell how pools, store, peers and servers stood. */
	readonly around: readonly LogLine[];
};

const ended = 'A request has ended.';
const refusedAtDoor = 'A request was refused at the door: its steps would wait too long.';
const turnedAway = 'A request was turned away at the door.';
const poolWaits = 'Pieces wait for a pool.';
/** Lines that tell of the surroundings of a request: what changed what hosts believe, and queues that stand. */
const surroundingParts = new Set(['batches', 'store', 'peers', 'servers', 'declaration', 'entry']);
/** Queues are told of once a second: the line of the second before a decision is the one it was made on. */
const beforeMs = 1000;
const mostAround = 40;
/** Statuses from here on are failures of the upstream. */
const firstServerError = 500;

/**
Explains one request.
@param requestId - as its caller sent it.
@param lines - of all hosts, in the order of time.
*/
export function explainRequest(requestId: string, lines: readonly LogLine[]): Explanation {
	const own = lines.filter(line => line.request === requestId);
	const around = own.length === 0 ? [] : surroundings(own, lines);
	const last = own.findLast(line => isFinal(line));
	return {
		requestId, lines: own, around, ...last ? judge(last, around) : {verdict: verdicts.unknown, cause: noEndCause(own)},
	};
}

/** Whether a line says what became of a request. */
export function isFinal({message}: LogLine): boolean {
	return message === ended || message === refusedAtDoor || message === turnedAway;
}

/**
Judges a request by its last line.
@param last - the line.
@param around - lines of the same seconds.
*/
export function judge(last: LogLine, around: readonly LogLine[]): {readonly verdict: Verdict; readonly cause: string} {
	switch (last.message) {
		case refusedAtDoor: {
			const wait = worstWait(around);
			return {
				verdict: verdicts.refused,
				cause: `the queues of its steps: reckoned at ${textOf(last, 'predictedMs')} ms of ${textOf(last, 'targetMs')} ms; told to come back in ${textOf(last, 'retryAfterMs')} ms${wait}`,
			};
		}

		case turnedAway: {
			return {verdict: verdicts.refused, cause: `${textOf(last, 'reason')} (status ${textOf(last, 'status')}, declaration ${textOf(last, 'version') || 'none'})`};
		}

		default: {
			return judgeEnd(last, around);
		}
	}
}

function judgeEnd(last: LogLine, around: readonly LogLine[]): {readonly verdict: Verdict; readonly cause: string} {
	const reason = textOf(last, 'reason');
	const attempts = textOf(last, 'attempts');
	if (textOf(last, 'code') === 'callerGone') {
		return {verdict: verdicts.callerLeft, cause: `its caller left after ${textOf(last, 'tookMs')} ms, ${whereTimeWent(last)}${worstWait(around)}`};
	}

	switch (textOf(last, 'outcome')) {
		case 'completed': {
			const status = numberOf(last, 'status');
			const firstMs = numberOf(last, 'firstMs') || numberOf(last, 'tookMs');
			const targetMs = numberOf(last, 'targetMs');
			if (status >= firstServerError) {
				return {verdict: verdicts.failed, cause: `the upstream's own answer was ${status}: ${attempts}`};
			}

			return targetMs > 0 && firstMs > targetMs
				? {verdict: verdicts.late, cause: `${firstMs} ms of a target of ${targetMs} ms, ${whereTimeWent(last)}${worstWait(around)}`}
				: {verdict: verdicts.served, cause: `served within its target: ${attempts}`};
		}

		case 'refused': {
			return {verdict: verdicts.refused, cause: `${reason}; ${attempts || 'nothing was sent'}`};
		}

		default: {
			const isCut = numberOf(last, 'firstMs') > 0;
			return {verdict: isCut ? verdicts.cut : verdicts.failed, cause: `${reason}; ${attempts || 'nothing was sent'}`};
		}
	}
}

/** The longest part of a request's time. */
function whereTimeWent(line: LogLine): string {
	const preparedMs = numberOf(line, 'preparedMs');
	const firstMs = numberOf(line, 'firstMs') || numberOf(line, 'tookMs');
	const engineMs = firstMs - preparedMs;
	return preparedMs > engineMs
		? `most of it for its steps (${preparedMs} ms; ${engineMs} ms for the upstream)`
		: `most of it for the upstream (${engineMs} ms; ${preparedMs} ms for its steps)`;
}

/** The queue that was longest around a request, where one stood. */
function worstWait(around: readonly LogLine[]): string {
	const [worst] = around.filter(({message}) => message === poolWaits).toSorted((left, right) => numberOf(right, 'oldestMs') - numberOf(left, 'oldestMs'));
	return worst && numberOf(worst, 'oldestMs') > 0
		? `; pool ${textOf(worst, 'pool')} had ${textOf(worst, 'waiting')} pieces waiting before ${textOf(worst, 'servers')} servers, the oldest for ${textOf(worst, 'oldestMs')} ms`
		: '';
}

function noEndCause(own: readonly LogLine[]): string {
	return own.length === 0
		? 'no host wrote of it: it reached none (no connection, or cut before its head was read), or its lines were dropped'
		: 'no host wrote of its end: its host was lost, or its lines were dropped';
}

function surroundings(own: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
	const last = own.at(-1)!;
	const tookMs = numberOf(last, 'tookMs');
	const fromMs = Date.parse(own[0].time) - tookMs - beforeMs;
	const toMs = Date.parse(last.time);
	return lines.filter(line => {
		const atMs = Date.parse(line.time);
		return line.request === undefined && surroundingParts.has(line.part) && atMs >= fromMs && atMs <= toMs;
	}).slice(-mostAround);
}

/** How often each verdict came, by host and by what the lines give as its reason. */
export type OutcomeCount = {readonly verdict: Verdict; readonly host: string; readonly route: string; readonly count: number};

/**
Counts what became of all requests.
@param lines - of all hosts.
*/
export function countOutcomes(lines: readonly LogLine[]): OutcomeCount[] {
	const counts = new Map<string, OutcomeCount>();
	for (const line of lines) {
		if (isFinal(line)) {
			const {verdict} = judge(line, []);
			const route = textOf(line, 'route') || textOf(line, 'status');
			const key = `${verdict} ${line.host} ${route}`;
			counts.set(key, {
				verdict, host: line.host, route, count: (counts.get(key)?.count ?? 0) + 1,
			});
		}
	}

	return [...counts.values()].toSorted((left, right) => right.count - left.count);
}

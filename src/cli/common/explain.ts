/** From the log lines of all hosts to one request's story: what became of it, why, and what stood around it. */
import {numberOf, type LogLine} from './log-lines.js';
import {
	isFinal, verdictOf, verdicts, type RequestVerdict,
} from './verdicts.js';

/** A request's story. */
export type Explanation = RequestVerdict & {
	readonly requestId: string;
	/** Its own lines, in order. */
	readonly lines: readonly LogLine[];
	/** Lines of the same seconds that tell how pools, store, peers and servers stood. */
	readonly around: readonly LogLine[];
};

/** Parts whose lines tell of the surroundings of a request: what changed what hosts believe, and queues that stand. */
const surroundingParts = new Set(['batches', 'store', 'peers', 'servers', 'declaration', 'entry']);
/** Queues are told of once a second: the line of the second before a decision is the one it was made on. */
const lookBackMs = 1000;
/** Most lines of the surroundings that are shown: the last ones. */
const maxSurroundingLines = 40;

/**
Explains one request.
@param requestId - as its caller sent it.
@param lines - of all hosts, in the order of time.
*/
export function explainRequest(requestId: string, lines: readonly LogLine[]): Explanation {
	const requestLines = lines.filter(line => line.request === requestId);
	const around = surroundingLines(requestLines, lines);
	const finalLine = requestLines.findLast(line => isFinal(line));
	return {
		requestId, lines: requestLines, around, ...finalLine ? verdictOf(finalLine, around) : {verdict: verdicts.unknown, cause: missingEndCause(requestLines)},
	};
}

function missingEndCause(requestLines: readonly LogLine[]): string {
	return requestLines.length === 0
		? 'no host wrote of it: it reached none (no connection, or cut before its head was read), or its lines were dropped'
		: 'no host wrote of its end: its host was lost, or its lines were dropped';
}

/** Lines of the surroundings from before a request came until its last line; none where no host wrote of it. */
function surroundingLines(requestLines: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
	const first = requestLines.at(0);
	const last = requestLines.at(-1);
	if (!first || !last) {
		return [];
	}

	const fromMs = Date.parse(first.time) - numberOf(last, 'tookMs') - lookBackMs;
	const toMs = Date.parse(last.time);
	return lines.filter(line => {
		const atMs = Date.parse(line.time);
		return line.request === undefined && surroundingParts.has(line.part) && atMs >= fromMs && atMs <= toMs;
	}).slice(-maxSurroundingLines);
}

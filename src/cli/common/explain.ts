/** From the log lines of all hosts to one request's story: what became of it, why, and what stood around it. */
import {numberOf, type LogLine} from './log-lines.js';
import {
	isFinal, judge, verdicts, type Judgement,
} from './verdicts.js';

/** A request's story. */
export type Explanation = Judgement & {
	readonly requestId: string;
	/** Its own lines, in order. */
	readonly lines: readonly LogLine[];
	/** Lines of the same seconds that tell how pools, store, peers and servers stood. */
	readonly around: readonly LogLine[];
};

/** Parts whose lines tell of the surroundings of a request: what changed what hosts believe, and queues that stand. */
const surroundingParts = new Set(['batches', 'store', 'peers', 'servers', 'declaration', 'entry']);
/** Queues are told of once a second: the line of the second before a decision is the one it was made on. */
const beforeMs = 1000;
/** Most lines of the surroundings that are shown: the last ones. */
const mostAround = 40;

/**
Explains one request.
@param requestId - as its caller sent it.
@param lines - of all hosts, in the order of time.
*/
export function explainRequest(requestId: string, lines: readonly LogLine[]): Explanation {
	const own = lines.filter(line => line.request === requestId);
	const around = surroundings(own, lines);
	const last = own.findLast(line => isFinal(line));
	return {
		requestId, lines: own, around, ...last ? judge(last, around) : {verdict: verdicts.unknown, cause: noEndCause(own)},
	};
}

function noEndCause(own: readonly LogLine[]): string {
	return own.length === 0
		? 'no host wrote of it: it reached none (no connection, or cut before its head was read), or its lines were dropped'
		: 'no host wrote of its end: its host was lost, or its lines were dropped';
}

/** Lines of the surroundings from before a request came until its last line; none where no host wrote of it. */
function surroundings(own: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
	const first = own.at(0);
	const last = own.at(-1);
	if (!first || !last) {
		return [];
	}

	const fromMs = Date.parse(first.time) - numberOf(last, 'tookMs') - beforeMs;
	const toMs = Date.parse(last.time);
	return lines.filter(line => {
		const atMs = Date.parse(line.time);
		return line.request === undefined && surroundingParts.has(line.part) && atMs >= fromMs && atMs <= toMs;
	}).slice(-mostAround);
}

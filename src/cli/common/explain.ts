/** Explains the outcome of one request from the log lines of all hosts: the verdict, its cause, and what hosts logged around that time. */
import {numberOf, type LogLine} from './log-lines.js';
import {
	isFinal, verdictOf, verdicts, type RequestVerdict,
} from './verdicts.js';

/** The explanation of one request. */
export type Explanation = RequestVerdict & {
	readonly requestId: string;
	/** Log lines of the request, ordered by time. */
	readonly lines: readonly LogLine[];
	/** Log lines from around the request, on the state of pools, store, peers and servers. */
	readonly around: readonly LogLine[];
};

/** Logger parts whose lines give the context of a request: changes of a host's view of the fleet, and queues. */
const surroundingParts = new Set(['batches', 'store', 'peers', 'servers', 'declaration', 'entry']);
/** Queues are logged once a second, so the line that a decision was based on may be up to a second older than the decision. */
const lookBackMs = 1000;
/** Maximum number of context lines that are shown; the latest ones are kept. */
const maxSurroundingLines = 40;

/**
Explains one request.
@param requestId - the request id, as the caller sent it.
@param lines - log lines of all hosts, ordered by time.
@returns the verdict with its cause and the log lines that it is based on.
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
		? 'no host logged it: it reached no host (no connection, or the connection was lost before its headers were read), or its log lines were dropped'
		: 'no host logged its end: its host was lost, or its log lines were dropped';
}

/** Returns the context lines from shortly before the request arrived until its last line; none if no host logged the request. */
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

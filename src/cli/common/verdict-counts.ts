/** Counts what became of requests, from the log lines of all hosts. */
import {textOf, type LogLine} from './log-lines.js';
import {isFinal, verdictOf, type Verdict} from './verdicts.js';

/** How often a verdict came at one host for one route; what was turned away has no route and stands by its status. */
export type VerdictCount = {readonly verdict: Verdict; readonly host: string; readonly route: string; readonly count: number};

/**
Counts what became of all requests.
@param lines - of all hosts.
@returns the counts, the greatest first.
*/
export function countVerdicts(lines: readonly LogLine[]): VerdictCount[] {
	const counts = new Map<string, VerdictCount>();
	for (const line of lines) {
		if (isFinal(line)) {
			const {verdict} = verdictOf(line, []);
			const route = textOf(line, 'route') || textOf(line, 'status');
			const key = `${verdict} ${line.host} ${route}`;
			counts.set(key, {
				verdict, host: line.host, route, count: (counts.get(key)?.count ?? 0) + 1,
			});
		}
	}

	return [...counts.values()].toSorted((left, right) => right.count - left.count);
}

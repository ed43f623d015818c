/** Counts the verdicts on requests, from the log lines of all hosts. */
import {textOf, type LogLine} from './log-lines.js';
import {isFinal, verdictOf, type Verdict} from './verdicts.js';

/** Number of requests with a verdict on one host and route. A request that was refused on admission has no route and is counted by its status. */
export type VerdictCount = {readonly verdict: Verdict; readonly host: string; readonly route: string; readonly count: number};

/**
Counts the verdicts on all requests.
@param lines - log lines of all hosts.
@returns the counts, in descending order.
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

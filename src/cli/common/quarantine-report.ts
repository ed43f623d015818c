/** Which requests ended servers, gathered from the log lines of all hosts. */
import {quarantineLogMessages} from '../../quarantine/common/quarantine-log-messages.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {textOf, type LogLine} from './log-lines.js';

/** How a content stands as its last line tells. */
export const contentStates = {suspected: 'suspected', barred: 'barred', lifted: 'lifted'} as const;
export type ContentState = typeof contentStates[keyof typeof contentStates];

/** What the logs tell of one content under which servers ended. */
export type ContentReport = {
	readonly content: string;
	state: ContentState;
	/** Starts of servers that ended. */
	readonly servers: string[];
	/** Ids of tries whose calls broke off: `pumicehatch explain` tells more of each. */
	readonly requests: string[];
	/** Tries that were refused at the door. */
	refusedCount: number;
};

const stateByMessage = new Map<string, ContentState>([
	[quarantineLogMessages.barred, contentStates.barred],
	[quarantineLogMessages.tried, contentStates.barred],
	[quarantineLogMessages.lifted, contentStates.lifted],
]);

/**
Gathers what is known of contents under which servers ended.
@param lines - of all hosts, in the order of time.
@returns those with the most ends first.
*/
export function reportQuarantine(lines: readonly LogLine[]): ContentReport[] {
	const reports = new Map<string, ContentReport>();
	for (const line of lines) {
		const content = textOf(line, 'content');
		if (content !== '') {
			const report = reports.get(content) ?? {
				content, state: contentStates.suspected, servers: [], requests: [], refusedCount: 0,
			};
			reports.set(content, report);
			addLine(report, line);
		}
	}

	return [...reports.values()].filter(({servers}) => servers.length > 0).toSorted((left, right) => right.servers.length - left.servers.length);
}

function addLine(report: ContentReport, line: LogLine): void {
	report.state = stateByMessage.get(line.message) ?? report.state;
	switch (line.message) {
		case quarantineLogMessages.ended: {
			addOnce(report.servers, textOf(line, 'server'));

			break;
		}

		case quarantineLogMessages.brokeOff: {
			addOnce(report.requests, textOf(line, 'request'));

			break;
		}

		case requestLogMessages.turnedAway: {
			report.refusedCount++;

			break;
		}
	// No default
	}
}

function addOnce(list: string[], item: string): void {
	if (!list.includes(item)) {
		list.push(item);
	}
}

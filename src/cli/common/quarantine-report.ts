/** Reports which requests, and which parts of prompts, crashed servers, from the log lines of all hosts. */
import {quarantineLogMessages} from '../../quarantine/common/quarantine-log-messages.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {textOf, type LogLine} from './log-lines.js';

/** State of a request content, by its last log line. */
export const contentStates = {suspected: 'suspected', barred: 'barred', lifted: 'lifted'} as const;
export type ContentState = typeof contentStates[keyof typeof contentStates];

/** Report on one request content, or one part of prompts, during which servers crashed. */
export type ContentReport = {
	/** Id of the content, or `part` and the key of the part. */
	readonly content: string;
	state: ContentState;
	/** Server processes that crashed. */
	readonly servers: string[];
	/** Ids of the requests whose connections were lost; `pumicehatch explain` shows the details of each. */
	readonly requests: string[];
	/** Number of requests that were refused on admission. */
	refusedCount: number;
};

const stateByMessage = new Map<string, ContentState>([
	[quarantineLogMessages.barred, contentStates.barred],
	[quarantineLogMessages.trial, contentStates.barred],
	[quarantineLogMessages.lifted, contentStates.lifted],
	[quarantineLogMessages.partBarred, contentStates.barred],
	[quarantineLogMessages.partTrial, contentStates.barred],
	[quarantineLogMessages.partLifted, contentStates.lifted],
]);

/**
Reports on the request contents during which servers crashed.
@param lines - log lines of all hosts, ordered by time.
@returns the reports, those with the most crashes first.
*/
export function reportQuarantine(lines: readonly LogLine[]): ContentReport[] {
	const reports = new Map<string, ContentReport>();
	for (const line of lines) {
		for (const content of subjectsOf(line)) {
			const report = reports.get(content) ?? {
				content, state: contentStates.suspected, servers: [], requests: [], refusedCount: 0,
			};
			reports.set(content, report);
			addLine(report, line);
		}
	}

	return [...reports.values()].filter(({servers}) => servers.length > 0).toSorted((left, right) => right.servers.length - left.servers.length);
}

/** The content and the parts that a line is about. The line of a lost call names all shared parts of its prompt. */
function subjectsOf(line: LogLine): string[] {
	const content = textOf(line, 'content');
	const parts = line.message === quarantineLogMessages.connectionLost ? textOf(line, 'promptParts').split(' ') : [textOf(line, 'promptPart')];
	return [...content === '' ? [] : [content], ...parts.filter(part => part !== '').map(part => `part ${part}`)];
}

function addLine(report: ContentReport, line: LogLine): void {
	report.state = stateByMessage.get(line.message) ?? report.state;
	switch (line.message) {
		case quarantineLogMessages.serverCrashed:
		case quarantineLogMessages.partCrashed: {
			addOnce(report.servers, textOf(line, 'server'));

			break;
		}

		case quarantineLogMessages.connectionLost: {
			addOnce(report.requests, textOf(line, 'request'));

			break;
		}

		case requestLogMessages.refusedOnAdmission: {
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

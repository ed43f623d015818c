/** The commands `pumicehatch explain`, `logs summary` and `logs quarantine`: outcomes of requests, from log lines alone. */
import {readFileSync} from 'node:fs';
import {messageOf, type InputProblem} from '../../base/common/errors.js';
import {fail, ok, type Outcome} from '../../base/common/outcome.js';
import {explainRequest} from '../common/explain.js';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import {readLogLines, type LogLine, type LogReading} from '../common/log-lines.js';
import {reportQuarantine} from '../common/quarantine-report.js';
import {formatTable} from '../common/tables.js';
import {countVerdicts} from '../common/verdict-counts.js';
import {note, print, reportProblems} from './output.js';

/** Flags of the commands that read log lines. */
export type LogFlags = {readonly json?: boolean; readonly file?: string};

const standardInput = 0;
/** Fields that are not listed after the message of a line. */
const unlistedFields = new Set(['time', 'host', 'part', 'level', 'message', 'request']);

/** Reads the log lines from the given file or from standard input. */
function readLogs({file}: LogFlags): Outcome<LogReading, InputProblem[]> {
	try {
		const reading = readLogLines(readFileSync(file ?? standardInput, 'utf8'));
		if (reading.droppedCount > 0) {
			note(`pumicehatch: hosts dropped ${reading.droppedCount} log lines; missing lines may be among them.`);
		}

		return ok(reading);
	} catch (error) {
		return fail([{code: 'unreadable', message: messageOf(error), place: {source: file ?? 'standard input'}}]);
	}
}

/** Prints the verdict on one request and its cause. */
export function explain(requestId: string, flags: LogFlags): ExitCode {
	const reading = readLogs(flags);
	if (!reading.ok) {
		return reportProblems(flags.json, reading.error);
	}

	const explanation = explainRequest(requestId, reading.value.lines);
	print(flags.json, explanation, () => [
		`${requestId}: ${explanation.verdict}: ${explanation.cause}`,
		...explanation.lines.map(line => formatLine(line)),
		...explanation.around.length > 0 ? ['lines around it:', ...explanation.around.map(line => formatLine(line))] : [],
	].join('\n'));
	return explanation.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
}

/** Prints how many requests had each outcome, by host and route. */
export function summary(flags: LogFlags): ExitCode {
	const reading = readLogs(flags);
	if (!reading.ok) {
		return reportProblems(flags.json, reading.error);
	}

	const {lines, droppedCount, unreadCount} = reading.value;
	const counts = countVerdicts(lines);
	print(flags.json, {counts, droppedCount, unreadCount}, () =>
		formatTable(['requests', 'became', 'host', 'route'], counts.map(({count, verdict, host, route}) => [count, verdict, host, route])));
	return exitCodes.ok;
}

/** Prints the request contents during which servers crashed. */
export function quarantine(flags: LogFlags): ExitCode {
	const reading = readLogs(flags);
	if (!reading.ok) {
		return reportProblems(flags.json, reading.error);
	}

	const reports = reportQuarantine(reading.value.lines);
	const rows = reports.map(({content, state, servers, refusedCount, requests}) => [content, state, servers.length, refusedCount, requests.join(' ')]);
	print(flags.json, reports, () => formatTable(['content', 'state', 'ended', 'refused', 'tries'], rows));
	return exitCodes.ok;
}

/** Formats a log line for people: the fixed columns first, then all other fields as `name=value`. */
function formatLine(line: LogLine): string {
	const fields = Object.entries(line)
		.filter(([name]) => !unlistedFields.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `  ${line.time} ${line.host} ${line.part}: ${line.message} ${fields.join(' ')}`;
}

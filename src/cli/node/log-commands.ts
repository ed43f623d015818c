/** `pumicehatch explain`, `pumicehatch logs summary` and `pumicehatch logs quarantine`: what became of requests, from log lines alone. */
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

/** Flags of the commands that read logs. */
export type LogFlags = {readonly json?: boolean; readonly file?: string};

const standardInput = 0;
/** Fields that are not listed behind a line's message. */
const unlistedFields = new Set(['time', 'host', 'part', 'level', 'message', 'request']);

/** Reads the log lines that a command is given. */
function readLogs({file}: LogFlags): Outcome<LogReading, InputProblem[]> {
	try {
		const reading = readLogLines(readFileSync(file ?? standardInput, 'utf8'));
		if (reading.droppedCount > 0) {
			note(`pumicehatch: hosts dropped ${reading.droppedCount} lines; what is missing may be among them.`);
		}

		return ok(reading);
	} catch (error) {
		return fail([{code: 'unreadable', message: messageOf(error), place: {source: file ?? 'standard input'}}]);
	}
}

/** Tells what became of one request, and why. */
export function explain(requestId: string, flags: LogFlags): ExitCode {
	const reading = readLogs(flags);
	if (!reading.ok) {
		return reportProblems(flags.json, reading.error);
	}

	const explanation = explainRequest(requestId, reading.value.lines);
	print(flags.json, explanation, () => [
		`${requestId}: ${explanation.verdict}: ${explanation.cause}`,
		...explanation.lines.map(line => formatLine(line)),
		...explanation.around.length > 0 ? ['around it:', ...explanation.around.map(line => formatLine(line))] : [],
	].join('\n'));
	return explanation.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
}

/** Counts what became of all requests. */
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

/** Lists requests under which servers ended. */
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

/** One line as people read it: the columns first, then every other field by its name. */
function formatLine(line: LogLine): string {
	const fields = Object.entries(line)
		.filter(([name]) => !unlistedFields.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `  ${line.time} ${line.host} ${line.part}: ${line.message} ${fields.join(' ')}`;
}

/** `pumicehatch explain` and `pumicehatch logs summary`: what became of requests, from log lines alone. */
import {readFileSync} from 'node:fs';
import {messageOf} from '../../base/common/errors.js';
import {countOutcomes, explainRequest} from '../common/explain.js';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import {readLogLines, type LogLine, type LogReading} from '../common/log-lines.js';
import {formatTable} from '../common/tables.js';
import {note, print, reportProblems} from './output.js';

/** Flags of the commands that read logs. */
export type LogFlags = {readonly json?: boolean; readonly file?: string};

const standardInput = 0;
/** Fields that stand in columns of their own. */
const shownFields = new Set(['time', 'host', 'part', 'level', 'message', 'request']);

function read({json, file}: LogFlags): LogReading | ExitCode {
	try {
		const reading = readLogLines(readFileSync(file ?? standardInput, 'utf8'));
		if (reading.droppedCount > 0) {
			note(`pumicehatch: hosts dropped ${reading.droppedCount} lines; what is missing may be among them.`);
		}

		return reading;
	} catch (error) {
		return reportProblems(json, [{code: 'unreadable', message: messageOf(error), place: {source: file ?? 'standard input'}}]);
	}
}

/** Tells what became of one request, and why. */
export function explain(requestId: string, flags: LogFlags): ExitCode {
	const reading = read(flags);
	if (typeof reading === 'number') {
		return reading;
	}

	const explanation = explainRequest(requestId, reading.lines);
	print(flags.json, explanation, () => [
		`${requestId}: ${explanation.verdict}: ${explanation.cause}`,
		...explanation.lines.map(line => rowOf(line)),
		...explanation.around.length > 0 ? ['around it:', ...explanation.around.map(line => rowOf(line))] : [],
	].join('\n'));
	return explanation.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
}

/** Counts what became of all requests. */
export function summary(flags: LogFlags): ExitCode {
	const reading = read(flags);
	if (typeof reading === 'number') {
		return reading;
	}

	const counts = countOutcomes(reading.lines);
	print(flags.json, {counts, droppedCount: reading.droppedCount, unreadCount: reading.unreadCount}, () =>
		formatTable(['requests', 'became', 'host', 'route'], counts.map(({count, verdict, host, route}) => [count, verdict, host, route])));
	return exitCodes.ok;
}

function rowOf(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !shownFields.has(name)).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return `  ${line.time} ${line.host} ${line.part}: ${line.message} ${fields.join(' ')}`;
}

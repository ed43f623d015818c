/** Parses the log lines of hosts: one JSON object per line, possibly preceded by text that a log collector added. */
import {z} from 'zod';

const lineSchema = z.looseObject({
	time: z.string(),
	part: z.string(),
	message: z.string(),
	host: z.string(),
	request: z.string().optional(),
});

/** The line with which a host logs that it dropped lines; it has no `time` field. */
const droppedSchema = z.looseObject({part: z.literal('logs'), count: z.number()});

/** One log line of a host. */
export type LogLine = z.infer<typeof lineSchema>;

/** Result of reading log lines. */
export type LogReading = {
	/** Log lines, ordered by time. */
	readonly lines: readonly LogLine[];
	/** Number of non-empty lines that are not log lines. */
	readonly unreadCount: number;
	/** Number of lines that hosts logged as dropped. */
	readonly droppedCount: number;
};

/**
Reads log lines of any number of hosts.
@param text - the lines, in any order.
@returns the log lines, the number of lines that are no log lines, and the number of dropped lines.
*/
export function readLogLines(text: string): LogReading {
	const lines: LogLine[] = [];
	let unreadCount = 0;
	let droppedCount = 0;
	for (const row of text.split('\n')) {
		const value = parseRow(row);
		const line = lineSchema.safeParse(value);
		const dropped = droppedSchema.safeParse(value);
		if (line.success) {
			lines.push(line.data);
		} else if (dropped.success) {
			droppedCount += dropped.data.count;
		} else if (row.trim() !== '') {
			unreadCount++;
		}
	}

	return {lines: lines.toSorted(compareByTime), unreadCount, droppedCount};
}

/** Returns a numeric field, or 0 if it is missing or not a number. */
export function numberOf(line: LogLine, field: string): number {
	const value = line[field];
	return typeof value === 'number' ? value : 0;
}

/** Returns a field as text, or an empty string if it is neither a string nor a number. */
export function textOf(line: LogLine, field: string): string {
	const value = line[field];
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

/** Compares the times as text: all hosts write them in the same format, in which the order of the texts is that of the times. */
function compareByTime(left: LogLine, right: LogLine): number {
	return left.time < right.time ? -1 : Number(left.time > right.time);
}

/** Parses the JSON object of a row, skipping text that a log collector put before it. */
function parseRow(row: string): unknown {
	const start = row.indexOf('{');
	try {
		return start === -1 ? undefined : JSON.parse(row.slice(start));
	} catch {
		// The caller counts the row as a line that is not a log line.
		return undefined;
	}
}

/** Log lines as hosts write them, read back: one JSON object a line, with whatever a collector put before it. */
import {z} from 'zod';

const lineSchema = z.looseObject({
	time: z.string(),
	part: z.string(),
	message: z.string(),
	host: z.string(),
	request: z.string().optional(),
});

/** The line by which a host says that it wrote less than there was; it has no time of its own. */
const droppedSchema = z.looseObject({part: z.literal('logs'), count: z.number()});

/** One line of a host. */
export type LogLine = z.infer<typeof lineSchema>;

/** What was read of logs. */
export type LogReading = {
	/** In the order of time. */
	readonly lines: readonly LogLine[];
	/** Lines that are no log lines. */
	readonly unreadCount: number;
	/** Lines that hosts say they dropped. */
	readonly droppedCount: number;
};

/**
Reads lines of any number of hosts.
@param text - the lines, in any order.
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

/** A field that is a number, or 0. */
export function numberOf(line: LogLine, field: string): number {
	const value = line[field];
	return typeof value === 'number' ? value : 0;
}

/** A field as text; empty where there is none. */
export function textOf(line: LogLine, field: string): string {
	const value = line[field];
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

/** Hosts write the time in one form, so the text's order is the time's. */
function compareByTime(left: LogLine, right: LogLine): number {
	return left.time < right.time ? -1 : Number(left.time > right.time);
}

/** The object of a row, past whatever a collector put before it. */
function parseRow(row: string): unknown {
	const start = row.indexOf('{');
	try {
		return start === -1 ? undefined : JSON.parse(row.slice(start));
	} catch {
		// Counted by the caller as a line that is none.
		return undefined;
	}
}

/** Plain tables for people. */

/**
Lines up rows under headings.
@param headings - one for each column.
@param rows - the cells.
@returns the text, one line for each row.
*/
export function formatTable(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const cells = [headings, ...rows].map(row => row.map(String));
	const widths = headings.map((_, column) => Math.max(...cells.map(row => row[column].length)));
	return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n');
}

/**
Writes a share as a percentage.
@param part - a part.
@param whole - of this.
*/
export function formatShare(part: number, whole: number): string {
	return whole === 0 ? '-' : `${((part / whole) * 100).toFixed(1)}%`;
}

/**
Writes milliseconds.
@param valueMs - a duration.
*/
export function formatMs(valueMs: number | undefined): string {
	return valueMs === undefined ? '-' : `${valueMs.toFixed(1)} ms`;
}

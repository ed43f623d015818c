/** Formats results as text for people. */

/**
Formats a table with aligned columns.
@param headings - the heading of each column.
@param rows - the cells of each row.
@returns the text: a line of headings, then one line for each row.
*/
export function formatTable(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const cells = [headings, ...rows].map(row => row.map(String));
	const widths = headings.map((_, column) => Math.max(...cells.map(row => row[column].length)));
	return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n');
}

/**
Formats a share as a percentage.
@param part - the numerator.
@param total - the denominator.
@returns the percentage, or `-` if the denominator is 0.
*/
export function formatShare(part: number, total: number): string {
	return total === 0 ? '-' : `${((part / total) * 100).toFixed(1)}%`;
}

/**
Formats a duration in milliseconds.
@param valueMs - the duration.
@returns the duration with its unit, or `-` if it is undefined.
*/
export function formatMs(valueMs: number | undefined): string {
	return valueMs === undefined ? '-' : `${valueMs.toFixed(1)} ms`;
}

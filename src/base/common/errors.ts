/** Error classes; errors are thrown only for broken invariants and where libraries are called. */
import ModernError from 'modern-errors';

/** Base of every error class of this project. */
export const BaseError = ModernError.subclass('BaseError');

/** An invariant of the program is broken; the process must stop. */
export const InvariantError = BaseError.subclass('InvariantError');

/** An external system did not respond as its protocol requires, or not in time. */
export const UnavailableError = BaseError.subclass('UnavailableError');

/**
Checks an invariant, and throws if it is broken.
@param condition - the invariant.
@param message - describes the violation.
@throws InvariantError when the condition is false.
*/
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}

/**
Returns the message of a thrown value of any type.
@param thrown - the caught value.
@returns its message.
*/
export function messageOf(thrown: unknown): string {
	return BaseError.normalize(thrown).message;
}

/** The position of a problem in an input. */
export type SourceLocation = {
	/** Name of the input: a file name, `body`, `header Deadline-Ms`, the type of a frame. */
	readonly source: string;
	/** Path to the value in the input, such as `/workspaces/a/deadlineMs`. */
	readonly path?: string;
	/** Line, counted from 1. */
	readonly line?: number;
	/** Column, counted from 1. */
	readonly column?: number;
};

/** A problem found in an input. */
export type InputProblem = {
	readonly code: string;
	readonly message: string;
	readonly place: SourceLocation;
};

/**
Formats a problem as one line that begins with its location.
@param problem - the problem.
@returns the line, such as `fleet.jsonc:3:5 /workspaces/a: unknown field (unknownField)`.
*/
export function formatProblem(problem: InputProblem): string {
	const {source, path, line, column} = problem.place;
	const position = line === undefined ? source : `${source}:${line}:${column ?? 1}`;
	const where = path === undefined || path === '' ? position : `${position} ${path}`;
	return `${where}: ${problem.message} (${problem.code})`;
}

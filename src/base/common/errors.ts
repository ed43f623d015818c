/** Error classes: thrown only for broken invariants and at the edges of libraries. */
import ModernError from 'modern-errors';

/** Root of every error class of this project. */
export const BaseError = ModernError.subclass('BaseError');

/** The program contradicts itself; the process must stop. */
export const InvariantError = BaseError.subclass('InvariantError');

/** An outside system did not answer as its protocol says, or not in time. */
export const UnavailableError = BaseError.subclass('UnavailableError');

/**
Stops the process's current work when something that must hold does not.
@param condition - what must hold.
@param message - what it means that it does not.
@throws InvariantError when the condition is false.
*/
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}

/**
Gives the message of anything thrown.
@param thrown - the caught value.
@returns its message.
*/
export function messageOf(thrown: unknown): string {
	return BaseError.normalize(thrown).message;
}

/** Where in an input something is wrong. */
export type SourceLocation = {
	/** The input: a file's name, `body`, `header Deadline-Ms`, a frame's type. */
	readonly source: string;
	/** Path to the value in the input, as `/workspaces/a/deadlineMs`. */
	readonly path?: string;
	/** Line, counted from 1. */
	readonly line?: number;
	/** Column, counted from 1. */
	readonly column?: number;
};

/** One thing that is wrong with an input. */
export type InputProblem = {
	readonly code: string;
	readonly message: string;
	readonly place: SourceLocation;
};

/**
Writes a problem on one line, place first.
@param problem - what is wrong.
@returns the line, as `fleet.jsonc:3:5 /workspaces/a: unknown field (unknownField)`.
*/
export function formatProblem(problem: InputProblem): string {
	const {source, path, line, column} = problem.place;
	const position = line === undefined ? source : `${source}:${line}:${column ?? 1}`;
	const where = path === undefined || path === '' ? position : `${position} ${path}`;
	return `${where}: ${problem.message} (${problem.code})`;
}

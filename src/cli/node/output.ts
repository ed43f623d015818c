/** Writing results and errors. */
import process from 'node:process';
import {formatProblem, type InputProblem} from '../../base/common/errors.js';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import type {CallFailure} from './entry-client.js';

/**
Writes a result: as JSON where asked, else as text.
@param isJson - what was asked.
@param value - the result.
@param text - the same for people.
*/
export function print(isJson: boolean | undefined, value: unknown, text: () => string): void {
	process.stdout.write(`${isJson ? JSON.stringify(value, undefined, '\t') : text()}\n`);
}

/**
Writes a note on what goes on; not part of the result.
@param sentence - the note.
*/
export function note(sentence: string): void {
	process.stderr.write(`${sentence}\n`);
}

/**
Tells that a call failed.
@param isJson - whether as JSON.
@param failure - what failed.
@returns the exit code.
*/
export function reportFailure(isJson: boolean | undefined, failure: CallFailure): ExitCode {
	if (isJson) {
		process.stdout.write(`${JSON.stringify(failure.body ?? {message: failure.message})}\n`);
	}

	note(`pumicehatch: ${failure.message}`);
	return failure.exitCode;
}

/**
Tells what is wrong with an input.
@param isJson - whether as JSON.
@param problems - everything that is wrong.
@returns the exit code.
*/
export function reportProblems(isJson: boolean | undefined, problems: readonly InputProblem[]): ExitCode {
	if (isJson) {
		process.stdout.write(`${JSON.stringify({problems}, undefined, '\t')}\n`);
	}

	for (const problem of problems) {
		note(formatProblem(problem));
	}

	return exitCodes.badInput;
}

/** Writes results and errors of commands. */
import process from 'node:process';
import {formatProblem, type InputProblem} from '../../base/common/errors.js';
import {exitCodes, type ExitCode} from '../common/exit-codes.js';
import type {CallFailure} from './entry-client.js';

/**
Writes a result to standard output, as JSON or as text.
@param isJson - whether to write JSON.
@param value - the result.
@param text - formats the result for people.
*/
export function print(isJson: boolean | undefined, value: unknown, text: () => string): void {
	process.stdout.write(`${isJson ? JSON.stringify(value, undefined, '\t') : text()}\n`);
}

/**
Writes a message on progress or an error to standard error, apart from the result.
@param sentence - the message.
*/
export function note(sentence: string): void {
	process.stderr.write(`${sentence}\n`);
}

/**
Reports that a call failed.
@param isJson - whether to write the failure as JSON to standard output as well.
@param failure - the failure.
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
Reports the problems of an input.
@param isJson - whether to write the problems as JSON to standard output as well.
@param problems - all problems found.
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

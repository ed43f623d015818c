/**
Errors that no caller can handle: those of work that nothing awaits, and of functions that timers, sockets and events call. Such an error ends neither the process nor
other work. It is reported, and the owner of the failed part releases what the part had taken.
*/
import type {Disposable} from './disposable.js';
import {InvariantError} from './errors.js';

/** Makes an unexpected error visible; must not throw. `place` names the failed part, and is one of a fixed set of names. */
export type UnexpectedErrorHandler = (place: string, error: unknown) => void;

/** Throws an error where nothing catches it. */
function throwUncaught(error: unknown): void {
	queueMicrotask(() => {
		throw error;
	});
}

/** Without a handler, as in tests, unexpected errors stay uncaught. */
const throwingHandler: UnexpectedErrorHandler = (_place, error) => {
	throwUncaught(error);
};

let currentHandler = throwingHandler;

/**
Sets the handler of the process.
@param handler - receives all unexpected errors from now on.
@returns a disposable that restores the former handler.
*/
export function setUnexpectedErrorHandler(handler: UnexpectedErrorHandler): Disposable {
	const former = currentHandler;
	currentHandler = handler;
	return {
		dispose() {
			currentHandler = former;
		},
	};
}

/**
Reports an error that the failed part can't pass to a caller. A broken invariant ends the process.
@param place - name of the failed part.
@param error - what was thrown.
*/
export function reportUnexpectedError(place: string, error: unknown): void {
	if (error instanceof InvariantError) {
		throwUncaught(error);
	} else {
		currentHandler(place, error);
	}
}

/**
Calls a function and reports what it throws.
@param place - name of the part that is called.
@param run - the function.
*/
export function guard(place: string, run: () => void): void {
	try {
		run();
	} catch (error) {
		reportUnexpectedError(place, error);
	}
}

/**
Lets work run that nothing awaits, and reports its error.
@param place - name of the work.
@param work - the work.
@param onFailed - releases what the work had taken, or ends what waits for it; called after the error was reported.
*/
export function detach(place: string, work: Promise<unknown>, onFailed?: (error: unknown) => void): void {
	// eslint-disable-next-line @typescript-eslint/no-floating-promises -- never rejects
	reportRejection(place, work, onFailed);
}

async function reportRejection(place: string, work: Promise<unknown>, onFailed: ((error: unknown) => void) | undefined): Promise<void> {
	try {
		await work;
	} catch (error) {
		reportUnexpectedError(place, error);
		guard(place, () => onFailed?.(error));
	}
}

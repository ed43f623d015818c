/** Reports why a process ends by itself, in one structured line on standard error. */
import process from 'node:process';
import {messageOf} from '../common/errors.js';

const maxStackLength = 4000;

/**
Writes why the process ends. The line is written before the call returns, so that the process may exit next; lines of the log may be lost then.
@param reason - what can't go on.
@param error - the cause.
*/
export function reportEnd(reason: string, error: unknown): void {
	const line = {
		time: new Date().toISOString(), level: 'error', part: 'process', message: 'The process ends because of an error.', reason, error: messageOf(error),
		...(error instanceof Error && {name: error.name, stack: error.stack?.slice(0, maxStackLength)}),
	};
	process.stderr.write(`${JSON.stringify(line)}\n`);
}

/** Reports errors that nothing has handled, among them unhandled rejections. Node.js ends the process after them. */
export function reportUnhandledErrors(): void {
	process.on('uncaughtExceptionMonitor', (error, origin) => {
		reportEnd(origin, error);
	});
}

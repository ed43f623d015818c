/** Exit codes of the command line, as listed in docs/OPERATING.md. */
export const exitCodes = {
	ok: 0,
	/** The operation failed. */
	failed: 1,
	/** The command, a file or a value is invalid. */
	badInput: 2,
	/** The same settings have been changed by someone else. */
	conflict: 3,
	/** The entry or the store behind it did not respond; it is not known whether anything changed. */
	unavailable: 4,
	/** A declaration differs from the settings in force. */
	drift: 10,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/**
Maps the HTTP status of a response to an exit code.
@param status - the HTTP status.
@returns the exit code.
*/
export function exitCodeOfStatus(status: number): ExitCode {
	switch (status) {
		case 409: {
			return exitCodes.conflict;
		}

		case 400:
		case 404:
		case 413:
		case 422: {
			return exitCodes.badInput;
		}

		case 503: {
			return exitCodes.unavailable;
		}

		default: {
			return status < 400 ? exitCodes.ok : exitCodes.failed;
		}
	}
}

/** Exit codes of the command line; listed in docs/OPERATING.md. */
export const exitCodes = {
	ok: 0,
	/** Something did not work. */
	failed: 1,
	/** The command, a file or a value is wrong. */
	badInput: 2,
	/** Someone else changed the same settings. */
	conflict: 3,
	/** The entry or the store behind it did not answer; nothing is known to have changed. */
	unavailable: 4,
	/** A declaration differs from what is in force. */
	drift: 10,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/**
Gives the exit code for an answer's HTTP status.
@param status - the status.
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

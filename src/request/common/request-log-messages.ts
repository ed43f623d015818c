/** Log messages that `pumicehatch explain` matches, shared by the components that log them and the command. */
export const requestLogMessages = {
	ended: 'A request has ended.',
	refusedForPredictedWait: 'A request was refused at the door: its steps would wait too long.',
	refusedByQuotes: 'A request was refused at the door: its pools have no room for it before its caller leaves.',
	refusedOnAdmission: 'A request was turned away at the door.',
	poolBacklog: 'Pieces wait for a pool.',
} as const;

/** Maximum length of a text of a caller in a log line. */
const maxLoggedChars = 128;

/**
Shortens a text of a caller for a log line; callers may send long headers.
@param text - the text.
*/
export function shortenForLog(text: string | undefined): string | undefined {
	return text?.slice(0, maxLoggedChars);
}

/** Why this host stops reading what a faulty server sends without an end. */

/** The reasons, as attempts, logs and traces name them. */
export const endlessReasons = {
	framing: 'too many bytes that are no response',
	noEvent: 'too many bytes without an event',
	event: 'an event is larger than is taken',
} as const;

const reasons: ReadonlySet<string> = new Set(Object.values(endlessReasons));

/**
Returns whether an attempt was ended because its server sent bytes without an end.
@param reason - why the attempt has ended.
*/
export function isEndless(reason: string): boolean {
	return reasons.has(reason);
}

/** Why this host reads no further what a faulty server sends. */

/** The reasons, as attempts, logs and traces name them. */
export const unreadableReasons = {
	status: 'the status is none of HTTP',
	framing: 'too many bytes that are no response',
	noEvent: 'too many bytes without an event',
	event: 'an event is larger than is taken',
} as const;

const reasons: ReadonlySet<string> = new Set(Object.values(unreadableReasons));

/**
Returns whether an attempt was ended because what its server sent is not read.
@param reason - why the attempt has ended.
*/
export function isUnreadable(reason: string): boolean {
	return reasons.has(reason);
}

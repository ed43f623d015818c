/** Changes to a server, and the log messages for them. */
import type {UpstreamServer} from './upstream-server.js';

/** Reasons for which a server is gone. */
export const goneReasons = {
	startedAgain: 'it has started again',
	dropped: 'its entry was dropped',
	lapsed: 'its entry did not come back after the store\'s return',
	unreadable: 'its entry can\'t be read',
	addressTaken: 'its address answers as another server',
} as const;
export type GoneReason = typeof goneReasons[keyof typeof goneReasons];

/** A change to a server; one whose entry is missing may still come back. */
export type ServerChange = {
	readonly server: UpstreamServer;
	readonly change: 'joined' | 'leaving' | 'missing' | 'cold' | 'gone';
	/** Set if the server is gone. */
	readonly reason?: GoneReason;
};

/** Log message for each kind of change. */
export const changeMessages = {
	joined: 'A server is listed.',
	leaving: 'A server is listed.',
	missing: 'A server\'s entry is missing; it may still come back.',
	cold: 'A server is cold; its request rate is limited.',
	gone: 'A server is gone.',
} as const satisfies Record<ServerChange['change'], string>;

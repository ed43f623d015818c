/** What may change about a server, and how it is told. */
import type {UpstreamServer} from './upstream-server.js';

/** Why a server is gone. */
export const goneReasons = {
	startedAgain: 'it has started again',
	dropped: 'its entry was dropped',
	lapsed: 'its entry did not come back after the store\'s return',
	unreadable: 'its entry can\'t be read',
	addressTaken: 'its address answers as another server',
} as const;
export type GoneReason = typeof goneReasons[keyof typeof goneReasons];

/** What changed about a server; one that is missing may still come back. */
export type ServerChange = {
	readonly server: UpstreamServer;
	readonly change: 'joined' | 'leaving' | 'missing' | 'cold' | 'gone';
	/** Where it is gone. */
	readonly reason?: GoneReason;
};

/** What logs say of each change. */
export const changeMessages = {
	joined: 'A server is listed.',
	leaving: 'A server is listed.',
	missing: 'A server\'s entry is missing; it may still come back.',
	cold: 'A server is cold; it gets no more than it bears.',
	gone: 'A server is gone.',
} as const satisfies Record<ServerChange['change'], string>;

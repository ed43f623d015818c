/** How the life of a request reaches upstreams: through agents, or straight. */
import type {Event} from '../../base/common/emitter.js';
import type {Message} from '../../wire/common/messages.js';

/** A message about work on an upstream. */
export type UpstreamMessage = {readonly upstreamId: string; readonly message: Message};

/** Sends work to upstreams and tells what becomes of it. */
export type UpstreamLinks = {
	readonly onDidReceive: Event<UpstreamMessage>;
	/** The way to an upstream is cut. */
	readonly onDidLose: Event<string>;
	/** The same incarnation is reached again. */
	readonly onDidReconnect: Event<string>;
	/** Another incarnation stands where one was. */
	readonly onDidReplace: Event<string>;
	/** An upstream may be chosen that could not be before. */
	readonly onDidJoin: Event<string>;
	/** @returns false if nothing was sent. */
	send(upstreamId: string, message: Message): boolean;
};

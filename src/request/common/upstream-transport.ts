/** The transport between a request and its upstreams, either through agents or directly. */
import type {Event} from '../../base/common/emitter.js';
import type {Message} from '../../wire/common/messages.js';

/** A message about work on an upstream. */
export type UpstreamMessage = {readonly upstreamId: string; readonly message: Message};

/** Sends messages to upstreams, and reports received messages and changes of connections. */
export type UpstreamTransport = {
	readonly onDidReceive: Event<UpstreamMessage>;
	/** Fires with the upstream's id when the connection to an upstream is lost. */
	readonly onDidDisconnect: Event<string>;
	/** Fires with the upstream's id when the same incarnation is connected again. */
	readonly onDidReconnect: Event<string>;
	/** Fires with the upstream's id when a new incarnation has taken the place of the former one. */
	readonly onDidReplaceIncarnation: Event<string>;
	/** Fires with the upstream's id when an upstream becomes available that could not be chosen before. */
	readonly onDidBecomeAvailable: Event<string>;
	/** @returns whether the message was sent. */
	send(upstreamId: string, message: Message): boolean;
};

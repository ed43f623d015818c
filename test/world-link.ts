/** The connection of an entry to an agent, in the world of the request fuzzer: messages wait on it until they are delivered. */
import type {Message} from '../src/wire/common/messages.js';
import type {WorldEntry} from './world-entry.js';
import type {WorldUpstream} from './world-upstream.js';

/** One connection, which may be cut and made again. */
export class WorldLink {
	isUp = false;
	/** New each time it is made. */
	connectionId = 0;
	/** Whether the agent has slept since it last heard from the entry. */
	isStale = false;
	toUpstream: Message[] = [];
	toEntry: Message[] = [];

	constructor(readonly entry: WorldEntry, readonly upstream: WorldUpstream) {}

	/** Makes the connection. */
	connect(connectionId: number): void {
		this.isUp = true;
		this.connectionId = connectionId;
		this.isStale = false;
		const type = this.entry.connected(this.upstream) ? 'incarnationGone' : 'reconnected';
		this.toEntry.push({type: 'report', settingsRevision: 1, state: this.upstream.gate.isLeaving ? 'leaving' : 'serving'});
		this.entry.broadcast({type, upstreamId: this.upstream.upstreamId});
		this.entry.broadcast({type: 'candidatesChanged'});
	}

	/**
	Breaks the connection.
	@param isAgentNotified - false for an agent that is dead.
	*/
	disconnect(isAgentNotified: boolean, nowMs: number): void {
		if (!this.isUp) {
			return;
		}

		const {entry, upstream} = this;
		this.isUp = false;
		this.toUpstream = [];
		this.toEntry = [];
		entry.members.disconnected(upstream.upstreamId, upstream.incarnation);
		if (isAgentNotified) {
			upstream.perform(upstream.gate.connectionLost(this.connectionId, nowMs));
		}

		entry.broadcast({type: 'connectionLost', upstreamId: upstream.upstreamId});
	}

	/** Sends a message to the agent, if the connection is up. */
	send(message: Message): void {
		if (this.isUp) {
			this.toUpstream.push(message);
		}
	}

	/** One message each way arrives. */
	deliver(): void {
		this.deliverToUpstream();
		this.deliverToEntry();
	}

	private deliverToUpstream(): void {
		if (!this.isUp || this.upstream.isPaused) {
			return;
		}

		const message = this.toUpstream.shift();
		if (message?.type === 'pong') {
			this.isStale = false;
		} else if (message) {
			this.upstream.receive(message, this.connectionId, this.isStale);
		}
	}

	private deliverToEntry(): void {
		const message = this.isUp ? this.toEntry.shift() : undefined;
		if (message) {
			this.entry.receive(message, this.upstream.upstreamId);
		}
	}
}

/** Connection of an entry to an agent in the simulation of the request fuzzer; messages queue on it until a command delivers them. */
import type {Message} from '../src/wire/common/messages.js';
import type {SimulatedEntry} from './simulated-entry.js';
import type {SimulatedUpstream} from './simulated-upstream.js';

/** One connection, which can be lost and established again. */
export class SimulatedLink {
	isUp = false;
	/** A new number each time the connection is established. */
	connectionId = 0;
	/** Whether the agent was suspended since it last received the reply of the entry to a ping. */
	isStale = false;
	toUpstream: Message[] = [];
	toEntry: Message[] = [];

	constructor(readonly entry: SimulatedEntry, readonly upstream: SimulatedUpstream) {}

	/** Establishes the connection, and notifies the requests of the entry. */
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
	Closes the connection and drops the messages on it.
	@param isAgentNotified - false if the agent has crashed.
	@param nowMs - current time.
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

	/** Queues a message for the agent; without a connection, it is dropped. */
	send(message: Message): void {
		if (this.isUp) {
			this.toUpstream.push(message);
		}
	}

	/** Delivers one message in each direction. */
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

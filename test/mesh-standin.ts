/** Fake of the mesh of connections to peers: records sent messages, and lets a test inject received ones. */
import {Emitter} from '../src/base/common/emitter.js';
import type {PeerMessage} from '../src/peers/node/peer-mesh.js';
import {encodeFrame, FrameDecoder} from '../src/wire/common/frame-codec.js';
import type {Message} from '../src/wire/common/messages.js';

/** A message that was sent, with its target: the id of a host, or `all` for a broadcast. */
export type SentMessage = {readonly to: string; readonly message: Message};

/** Fake mesh: sends always succeed, and events are fired by the test. */
export class MeshStandin {
	static create(): MeshStandin {
		return new MeshStandin();
	}

	readonly sent: SentMessage[] = [];
	private readonly received = Emitter.create<PeerMessage>();
	private readonly connected = Emitter.create<string>();

	get onDidReceive() {
		return this.received.event;
	}

	get onDidConnect() {
		return this.connected.event;
	}

	send(to: string, message: Message): boolean {
		this.sent.push({to, message});
		return true;
	}

	broadcast(message: Message): void {
		this.sent.push({to: 'all', message});
	}

	/**
	Fires the event of a peer that has connected.
	@param hostId - the peer.
	*/
	connect(hostId: string): void {
		this.connected.fire(hostId);
	}

	/**
	Fires the event of a message received from a peer, after encoding and decoding it as a real connection does.
	@param hostId - the peer.
	@param message - the message as the peer sent it.
	@throws Error if the encoded frame can't be decoded.
	*/
	receive(hostId: string, message: Message): void {
		const decoded = FrameDecoder.create().push(encodeFrame(message));
		if (!decoded.ok) {
			throw new Error(decoded.error.message);
		}

		for (const each of decoded.value) {
			this.received.fire({hostId, message: each});
		}
	}
}

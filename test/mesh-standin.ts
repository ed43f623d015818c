/** A stand-in of the connections to peers: keeps what is sent, and lets a test say what comes. */
import {Emitter} from '../src/base/common/emitter.js';
import type {PeerMessage} from '../src/peers/node/peer-mesh.js';
import {encodeFrame, FrameDecoder} from '../src/wire/common/frame-codec.js';
import type {Message} from '../src/wire/common/messages.js';

/** A message that was sent, to a host or to `all`. */
export type SentMessage = {readonly to: string; readonly message: Message};

/** Stands in for a mesh. */
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

	/** A host connects. */
	connect(hostId: string): void {
		this.connected.fire(hostId);
	}

	/**
	A peer's message comes, as it is after its way over a connection.
	@param hostId - the peer.
	@param message - as it was sent.
	@throws Error if it can't be read.
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

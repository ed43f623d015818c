/** One authenticated connection between two processes of the system. */
import type {Socket} from 'node:net';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {formatProblem} from '../../base/common/errors.js';
import {encodeFrame, FrameDecoder} from '../common/frame-codec.js';
import type {Identity, Message} from '../common/messages.js';
import {
	answerHello, answerWelcome, isProofValid, makeHello, type ServerHandshake, type WireKey,
} from './handshake.js';

/** Time limit of the handshake, however slowly its bytes arrive. */
const handshakeTimeoutMs = 3000;
/** Maximum size of what a side that has not authenticated may send of one message. */
const maxHandshakeBytes = 64 * 1024;

/** Identity, keys and limits with which a process connects to others. */
export type WireOptions = {
	readonly identity: Identity;
	readonly keys: () => readonly WireKey[];
	readonly maxFrameBytes?: number;
	/** Upper bound on buffered outgoing bytes; above it the connection is closed, because the peer evidently does not read. */
	readonly maxBufferedBytes?: number;
};

const defaultMaxBufferedBytes = 64 * 1024 * 1024;

type MessageHandler = (message: Message) => void;

/** Sends and receives messages; open once both sides have authenticated. */
export class WireConnection implements Disposable {
	/**
	Starts the handshake on a socket.
	@param socket - a connected or connecting socket; the connection takes ownership of it.
	@param options - identity and keys of this side.
	@param isClient - whether this side opened the connection.
	@returns the connection, not open yet.
	*/
	static create(socket: Socket, options: WireOptions, isClient: boolean): WireConnection {
		return new WireConnection(socket, options, isClient);
	}

	private readonly decoder: FrameDecoder;
	private readonly didOpen = Emitter.create<Identity>();
	private readonly didClose = Emitter.create<string>();
	private readonly didReceive = Emitter.create<Message>();
	private readonly didReceiveData = Emitter.create<void>();
	private handler: MessageHandler;
	private peerIdentity: Identity | undefined;
	private isClosed = false;
	private closeReason = 'closed by the other side';
	private readonly handshakeTimer: NodeJS.Timeout;

	private constructor(private readonly socket: Socket, private readonly options: WireOptions, isClient: boolean) {
		this.decoder = FrameDecoder.create(options.maxFrameBytes);
		this.handler = isClient ? this.startAsClient() : this.startAsServer();
		socket.setNoDelay(true);
		this.handshakeTimer = setTimeout(() => {
			this.close('the handshake timed out');
		}, handshakeTimeoutMs);
		socket.on('data', (piece: Uint8Array) => {
			this.handleData(piece);
		});
		socket.on('error', error => {
			this.closeReason = error.message;
		});
		socket.on('close', () => {
			this.handleClose();
		});
	}

	/** Fires once, when the other side has authenticated. */
	get onDidOpen() {
		return this.didOpen.event;
	}

	/** Fires once when the connection is closed, with the reason. */
	get onDidClose() {
		return this.didClose.event;
	}

	/** Fires whenever bytes are received, also within a message, which shows that the other side is alive and the connection works. */
	get onDidReceiveData() {
		return this.didReceiveData.event;
	}

	/** Fires for each message after the handshake. */
	get onDidReceive() {
		return this.didReceive.event;
	}

	/** Identity of the other side, once it has authenticated. */
	get peer(): Identity | undefined {
		return this.peerIdentity;
	}

	get isOpen(): boolean {
		return this.peerIdentity !== undefined && !this.isClosed;
	}

	/**
	Sends a message.
	@param message - the message.
	@returns false if nothing was written because the connection is not open.
	*/
	send(message: Message): boolean {
		return this.isOpen && this.sendFrame(encodeFrame(message));
	}

	/**
	Sends a message that is already encoded, so that a message for many receivers is encoded only once.
	@param frame - the message as encoded by `encodeFrame`.
	@returns false if nothing was written because the connection is not open.
	*/
	sendFrame(frame: Uint8Array): boolean {
		if (!this.isOpen || this.socket.destroyed) {
			return false;
		}

		this.socket.write(frame);
		if (this.socket.writableLength > (this.options.maxBufferedBytes ?? defaultMaxBufferedBytes)) {
			this.close('the other side does not read: too many bytes wait to be sent');
		}

		return true;
	}

	/**
	Closes the connection at once.
	@param reason - passed to the listeners of `onDidClose`.
	*/
	close(reason: string): void {
		this.closeReason = reason;
		this.socket.destroy();
		this.handleClose();
	}

	dispose(): void {
		this.close('disposed');
	}

	private startAsClient(): MessageHandler {
		const hello = makeHello(this.options.identity, this.options.keys());
		this.socket.once('connect', () => {
			this.write(hello);
		});
		return message => {
			const answer = message.type === 'welcome'
				? answerWelcome(hello, message, this.options.keys())
				: {problem: `expected welcome, got ${message.type}`};
			if ('problem' in answer || message.type !== 'welcome') {
				this.close('problem' in answer ? answer.problem : 'malformed handshake');
				return;
			}

			this.write({type: 'proof', mac: answer.proof});
			this.open(message.identity);
		};
	}

	private startAsServer(): MessageHandler {
		let handshake: ServerHandshake | undefined;
		let identity: Identity | undefined;
		return message => {
			if (message.type === 'hello' && !handshake) {
				const answer = answerHello(message, this.options.identity, this.options.keys());
				if ('problem' in answer) {
					this.close(answer.problem);
					return;
				}

				handshake = answer;
				identity = message.identity;
				this.write(answer.welcome);
			} else if (message.type === 'proof' && handshake && identity && isProofValid(handshake, message.mac)) {
				this.open(identity);
			} else {
				this.close('the client did not prove that it has the key');
			}
		};
	}

	private open(identity: Identity): void {
		clearTimeout(this.handshakeTimer);
		this.peerIdentity = identity;
		this.handler = message => {
			this.didReceive.fire(message);
		};

		this.didOpen.fire(identity);
	}

	private handleData(piece: Uint8Array): void {
		this.didReceiveData.fire();
		const messages = this.decoder.push(piece);
		if (!messages.ok) {
			this.close(formatProblem(messages.error));
			return;
		}

		for (const message of messages.value) {
			if (!this.isClosed) {
				this.handler(message);
			}
		}

		if (!this.isOpen && !this.isClosed && this.decoder.pendingBytes > maxHandshakeBytes) {
			this.close('a message of the handshake is too large');
		}
	}

	private write(message: Message): void {
		this.socket.write(encodeFrame(message));
	}

	private handleClose(): void {
		if (!this.isClosed) {
			this.isClosed = true;
			clearTimeout(this.handshakeTimer);
			this.didClose.fire(this.closeReason);
			this.didOpen.dispose();
			this.didClose.dispose();
			this.didReceive.dispose();
			this.didReceiveData.dispose();
		}
	}
}

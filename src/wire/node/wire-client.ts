/** Maintains a connection to another process and reopens it whenever it is lost. */
import {connect as connectTcp} from 'node:net';
import {connect as connectTls} from 'node:tls';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import {Emitter} from '../../base/common/emitter.js';
import {jitter, type Random} from '../../base/common/random.js';
import {WireConnection, type WireOptions} from './wire-connection.js';
import type {Endpoint, TlsMaterial} from './wire-server.js';

const firstRetryMs = 50;
const maxRetryMs = 2000;

/** Options of a client. */
export type WireClientOptions = WireOptions & {
	readonly clock: Clock;
	readonly random: Random;
	readonly tls?: TlsMaterial;
};

/** A client that reconnects with exponential backoff and jitter. */
export class WireClient implements Disposable {
	static create(endpoint: Endpoint, options: WireClientOptions): WireClient {
		return new WireClient(endpoint, options);
	}

	private readonly didConnect = Emitter.create<WireConnection>();
	private connection: WireConnection | undefined;
	private retryTimer: Disposable | undefined;
	private retryMs = firstRetryMs;
	private isDisposed = false;

	private constructor(readonly endpoint: Endpoint, private readonly options: WireClientOptions) {
		// The first attempt is deferred, so that the owner can register its listeners first.
		this.retryTimer = options.clock.setTimer(0, () => {
			this.open();
		});
	}

	/** Fires each time a connection is authenticated. */
	get onDidConnect() {
		return this.didConnect.event;
	}

	dispose(): void {
		this.isDisposed = true;
		this.retryTimer?.dispose();
		this.connection?.dispose();
		this.didConnect.dispose();
	}

	private open(): void {
		const {address: host, port} = this.endpoint;
		const {tls} = this.options;
		// Peers are addressed by IP address, so the certificate is verified against the authority only, not against a host name.
		const socket = tls
			? connectTls({
				host, port, cert: tls.certificate, key: tls.key, ca: tls.authority, checkServerIdentity: () => undefined,
			})
			: connectTcp({host, port});
		const connection = WireConnection.create(socket, this.options, true);
		this.connection = connection;
		connection.onDidOpen(() => {
			this.retryMs = firstRetryMs;
			this.didConnect.fire(connection);
		});
		connection.onDidClose(() => {
			this.scheduleReconnect();
		});
	}

	private scheduleReconnect(): void {
		if (this.isDisposed) {
			return;
		}

		const delayMs = jitter(this.options.random, this.retryMs);
		this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
		this.retryTimer = this.options.clock.setTimer(delayMs, () => {
			this.open();
		});
	}
}
